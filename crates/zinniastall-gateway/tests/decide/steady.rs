//! Pauses of streams at engines that prefill long prompts, simulated step by step.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use zinniastall_gateway::decide::place::{Candidate, Choice, Constraints, choose};

/// Duration of a step without prefill.
const STEP_US: u64 = 4_000;
/// Longest prefill within one step: 4,096 tokens.
const MAX_PREFILL_US: u64 = 100_000;
/// Steps that produce one event.
const STEPS_PER_EVENT: u32 = 7;
/// Longest pause that callers tolerate.
const MAX_GAP_US: u64 = 600_000;
/// Requests that an engine runs at once.
const SLOTS: f64 = 64.0;
/// Most instances that share the engines.
const MAX_INSTANCES: usize = 12;

/// Engines and the load on them.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    engines: usize,
    instances: usize,
    /// Time between two reports of the instances to each other.
    report_interval_us: u64,
    /// Time between two long prompts, and between two short ones.
    long_interval_us: u64,
    short_interval_us: u64,
}

/// A region with long prompts for 1.3 times what its engines can prefill.
const OVERLOADED: Scenario = Scenario {
    engines: 4,
    instances: 4,
    report_interval_us: 100_000,
    long_interval_us: 25_000,
    short_interval_us: 83_000,
};
/// A large region with long prompts for seven tenths of what its engines can prefill. It has so
/// many instances that each hears from the others only now and then.
const LARGE: Scenario = Scenario {
    engines: 16,
    instances: 12,
    report_interval_us: 300_000,
    long_interval_us: 11_600,
    short_interval_us: 20_000,
};

/// A request at an engine.
#[derive(Debug, Clone)]
struct Request {
    is_long: bool,
    /// Instance that sent it.
    by: usize,
    /// Prefill time that the instance expects: it takes parts for held that the engine has evicted.
    expected: u64,
    /// Prefill time that is left.
    remaining: u64,
    tokens: u32,
    generated: u32,
    arrived: u64,
    last: Option<u64>,
    pause: u64,
    first: u64,
}

impl Request {
    /// Returns a long prompt with a short response, or a short prompt with a long response.
    fn new(is_long: bool, by: usize, arrived: u64) -> Self {
        let reading = if is_long { 130_000 } else { 15_000 };
        Self {
            is_long,
            by,
            expected: reading * 3 / 4,
            remaining: reading,
            tokens: if is_long { 49 } else { 294 },
            generated: 0,
            arrived,
            last: None,
            pause: 0,
            first: 0,
        }
    }

    fn generate_token(&mut self, now: u64) {
        self.generated += 1;
        if !self.generated.is_multiple_of(STEPS_PER_EVENT) {
            return;
        }
        match self.last.replace(now) {
            Some(last) => self.pause = self.pause.max(now - last),
            None => self.first = now - self.arrived,
        }
    }

    fn is_in_time(&self, objective: u64) -> bool {
        self.first <= objective && self.pause <= MAX_GAP_US
    }
}

/// An engine that prefills prompts in chunks, between the decode steps of running streams.
#[derive(Debug, Default)]
struct Engine {
    waiting: VecDeque<Request>,
    running: Vec<Request>,
    done: Vec<Request>,
    now: u64,
}

impl Engine {
    /// Runs all steps that end by `until`.
    fn run(&mut self, until: u64) {
        while !(self.waiting.is_empty() && self.running.is_empty()) {
            let prefill = self
                .waiting
                .iter()
                .map(|request| request.remaining)
                .sum::<u64>();
            let end = self.now + STEP_US + prefill.min(MAX_PREFILL_US);
            if end > until {
                return;
            }
            self.step(end);
        }
        self.now = until;
    }

    fn step(&mut self, end: u64) {
        self.now = end;
        for request in &mut self.running {
            request.generate_token(end);
        }
        let is_done = |request: &mut Request| request.generated >= request.tokens;
        self.done.extend(self.running.extract_if(.., is_done));
        let mut prefill = MAX_PREFILL_US;
        while let Some(next) = self.waiting.front_mut() {
            let read = next.remaining.min(prefill);
            next.remaining -= read;
            prefill -= read;
            if next.remaining > 0 {
                return;
            }
            self.running.extend(self.waiting.pop_front());
        }
    }

    fn crowd(&self) -> f64 {
        let flights = self.waiting.len() + self.running.len();
        f64::from(u32::try_from(flights).unwrap()) / SLOTS
    }

    /// Returns the prefill time of an instance's requests whose responses have not begun, as the
    /// instance counts it.
    fn pending_prefill(&self, by: usize) -> u64 {
        let all = self.waiting.iter().chain(&self.running);
        let its = all.filter(|request| request.by == by && request.last.is_none());
        its.map(|request| request.expected).sum()
    }
}

/// What the instances know of one engine: each its own requests, and the others' from their last
/// reports.
#[derive(Debug, Default)]
struct Reports {
    reported: [u64; MAX_INSTANCES],
}

impl Reports {
    fn candidate(&self, engine: &Engine, request: &Request) -> Candidate {
        let others = self.reported.iter().sum::<u64>() - self.reported[request.by];
        let before = Duration::from_micros(engine.pending_prefill(request.by) + others);
        Candidate {
            wait: before,
            permit_wait: Duration::ZERO,
            prefill_ahead: before,
            occupancy: engine.crowd(),
            prefill: Duration::from_micros(request.expected),
            is_ejected: false,
            tie_breaker: 0,
        }
    }

    fn update(&mut self, engine: &Engine) {
        self.reported = std::array::from_fn(|by| engine.pending_prefill(by));
    }
}

/// Outcomes of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Share {
    asked: usize,
    in_time: usize,
    late: usize,
}

impl Share {
    fn count(&mut self, request: &Request) {
        let objective = u64::try_from(objective(request.is_long).as_micros()).unwrap();
        if request.is_in_time(objective) {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }
}

/// Simulates twenty seconds without retries of refused requests. Returns the outcomes of the long
/// prompts and of the short ones.
fn simulate(scenario: Scenario, decide: impl Fn(&[Candidate], bool) -> Choice) -> [Share; 2] {
    let mut engines: Vec<(Engine, Reports)> =
        (0..scenario.engines).map(|_| Default::default()).collect();
    let times = |each: u64, is_long| (0..20_000_000 / each).map(move |at| (at * each, is_long));
    let times =
        times(scenario.long_interval_us, true).chain(times(scenario.short_interval_us, false));
    let mut due: Vec<(u64, bool)> = times.collect();
    due.sort_unstable();
    let mut shares = [Share::default(); 2];
    let mut last_report = 0;
    let mut random = StdRng::seed_from_u64(1);
    for (at, (now, is_long)) in due.into_iter().enumerate() {
        shares[usize::from(!is_long)].asked += 1;
        let is_report_due = now >= last_report + scenario.report_interval_us;
        last_report = if is_report_due { now } else { last_report };
        for (engine, reports) in &mut engines {
            engine.run(now);
            if is_report_due {
                reports.update(engine);
            }
        }
        let request = Request::new(is_long, at % scenario.instances, now);
        let compared = engines.iter().map(|(engine, reports)| Candidate {
            tie_breaker: random.random(),
            ..reports.candidate(engine, &request)
        });
        let candidates: Vec<Candidate> = compared.collect();
        if let Choice::Local(at) = decide(&candidates, is_long) {
            engines[at].0.waiting.push_back(request);
        }
    }
    for (engine, _) in &mut engines {
        engine.run(60_000_000);
        for request in &engine.done {
            shares[usize::from(!request.is_long)].count(request);
        }
    }
    shares
}

fn constraints(is_long: bool, gap: Duration) -> Constraints {
    Constraints {
        left: Duration::from_secs(5),
        objective: objective(is_long),
        rank: usize::from(is_long),
        route_rank: usize::from(is_long),
        gap,
        opens_soon: false,
        urgent_objective: None,
    }
}

fn objective(is_long: bool) -> Duration {
    Duration::from_millis(if is_long { 1_000 } else { 800 })
}

/// More long prompts arrive than the engines can prefill, so each step prefills a full chunk, and
/// an event takes seven steps. Responses that began in time then pause for most of a second, which
/// makes them as useless as late ones. With the queue bounded by the pause that streams tolerate,
/// few of them pause for so long, and more long prompts are answered in time.
#[test]
fn streams_go_on_while_long_prompts_are_read() {
    let gap = Duration::from_micros(MAX_GAP_US);
    let unbound =
        |targets: &[Candidate], is_long| choose(targets, &[], constraints(is_long, Duration::ZERO));
    let bound = |targets: &[Candidate], is_long| choose(targets, &[], constraints(is_long, gap));
    let [long, short] = simulate(OVERLOADED, unbound);
    let [long_bound, short_bound] = simulate(OVERLOADED, bound);
    println!("unbounded: long {long:?}, short {short:?}");
    println!("bounded: long {long_bound:?}, short {short_bound:?}");
    assert!(short.late * 2 > short.asked, "{short:?}");
    assert!(short_bound.late * 10 < short_bound.asked, "{short_bound:?}");
    assert!(short_bound.in_time * 10 > short_bound.asked * 7);
    assert!(long_bound.in_time > 3 * long.in_time);
}

/// Many instances share many engines and hear from each other late. If each picks the engine that
/// it takes for the best, all pick the same one: some engines build up long prefill queues, in
/// which streams pause and responses are late, while others are idle.
#[test]
fn many_instances_do_not_all_pick_one_engine() {
    let gap = Duration::from_micros(MAX_GAP_US);
    let all = |targets: &[Candidate], is_long| {
        let places = targets.iter().enumerate();
        let (at, best) = places
            .min_by_key(|(_, candidate)| (candidate.cost(), candidate.tie_breaker))
            .unwrap();
        match choose(&[*best], &[], constraints(is_long, gap)) {
            Choice::Local(_) => Choice::Local(at),
            other => other,
        }
    };
    let few = |targets: &[Candidate], is_long| choose(targets, &[], constraints(is_long, gap));
    let [long, short] = simulate(LARGE, all);
    let [long_few, short_few] = simulate(LARGE, few);
    println!("all compared: long {long:?}, short {short:?}");
    println!("few compared: long {long_few:?}, short {short_few:?}");
    assert!(long_few.in_time * 5 > long.in_time * 6);
    assert!(short_few.in_time > short.in_time * 4);
}

/// The longest prompts take longer to prefill than any stream may pause. They still get a target
/// whose queue is empty, however full its batch and whatever their rank; otherwise they would be
/// refused for as long as any stream runs.
#[test]
fn a_prompt_that_takes_longer_than_any_pause_is_admitted() {
    let huge = |wait| Candidate {
        wait: Duration::from_millis(wait),
        permit_wait: Duration::ZERO,
        prefill_ahead: Duration::from_millis(wait),
        occupancy: 1.5,
        prefill: Duration::from_secs(2),
        is_ejected: false,
        tie_breaker: 0,
    };
    for rank in 0..4 {
        let constraints = Constraints {
            rank,
            route_rank: rank,
            ..constraints(false, Duration::from_micros(MAX_GAP_US))
        };
        let choice = choose(&[huge(0)], &[], constraints);
        assert_eq!(choice, Choice::Local(0), "rank {rank}");
        let refused = choose(&[huge(250)], &[], constraints);
        assert!(matches!(refused, Choice::Refuse(_)), "{refused:?}");
    }
}

/// Guards against streams that pause behind long prompts of an urgent account, and against short
/// requests that an account's rank keeps from targets on which they would do no harm.
#[test]
fn an_accounts_rank_leaves_the_bound_on_pauses_alone() {
    let reading = Candidate {
        wait: Duration::from_millis(150),
        permit_wait: Duration::ZERO,
        prefill_ahead: Duration::from_millis(150),
        occupancy: 0.2,
        prefill: Duration::from_millis(180),
        is_ejected: false,
        tie_breaker: 0,
    };
    let short = Candidate {
        prefill: Duration::from_millis(10),
        ..reading
    };
    for rank in 0..3 {
        let by_route = |is_long| Constraints {
            rank,
            route_rank: usize::from(is_long),
            ..constraints(is_long, Duration::from_micros(MAX_GAP_US))
        };
        let long = choose(&[reading], &[], by_route(true));
        assert!(matches!(long, Choice::Refuse(_)), "rank {rank}: {long:?}");
        assert_eq!(
            choose(&[short], &[], by_route(false)),
            Choice::Local(0),
            "rank {rank}"
        );
    }
}
