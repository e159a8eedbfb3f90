//! Engines divided between long prompts and short streams: the load played step by step, and
//! properties of the plans.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use zinniastall_gateway::decide::{
    division::{self, Arrivals, Demand, Engine, Plan, Side, Work, is_called_for, long_side},
    place::{Candidate, Choice, Constraints, choose},
    prefill::Rates,
};

const ENGINES: usize = 20;
const SLOTS: u32 = 48;
const INSTANCES: usize = 6;
/// Longest pause that callers tolerate.
const GAP: Duration = Duration::from_millis(400);
/// Prompt tokens in one step, and in one millisecond.
const CHUNK: u64 = 4_096;
const TOKENS_PER_MS: u64 = 70;
/// Tokens in one event.
const STRIDE: u64 = 7;
const REPORT_US: u64 = 100_000;
const DECISION_US: u64 = 1_000_000;
const END_US: u64 = 20_000_000;
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Requests per second, and tokens of the prompts and answers of each kind.
#[derive(Debug, Clone, Copy)]
struct Load {
    per_second: [u64; 2],
    prompt: [u64; 2],
    answer: [u64; 2],
}

/// Seven tenths of what the engines can serve, half of it long prompts.
const MIXED: Load = Load {
    per_second: [50, 110],
    prompt: [9_200, 830],
    answer: [49, 290],
};
/// Short streams that last for eight seconds.
const LASTING: Load = Load {
    per_second: [20, 110],
    answer: [49, 650],
    ..MIXED
};

#[derive(Debug, Clone)]
struct Request {
    side: Side,
    by: usize,
    expected: Duration,
    unread: u64,
    tokens: u64,
    generated: u64,
    arrived: u64,
    first: Option<u64>,
    last: u64,
    pause: u64,
}

/// An engine that prefills prompts in chunks, between the decode steps of running streams.
#[derive(Debug, Default)]
struct Simulated {
    index: u64,
    waiting: VecDeque<Request>,
    running: Vec<Request>,
    done: Vec<Request>,
    now: u64,
    /// In-flight requests and expected prefill of each instance, by its last report.
    reported: [(u32, Duration); INSTANCES],
}

impl Simulated {
    fn run(&mut self, until: u64) {
        while !(self.waiting.is_empty() && self.running.is_empty()) {
            let room = (SLOTS as usize).saturating_sub(self.running.len());
            let unread = self.waiting.iter().take(room).map(|next| next.unread);
            let chunk = unread.sum::<u64>().min(CHUNK);
            let decode = 4_000 + 5_000 * self.running.len() as u64 / u64::from(SLOTS);
            let step = decode + chunk * 1_000 / TOKENS_PER_MS;
            let end = self.now + step * self.slowness() / 100;
            if end > until {
                return;
            }
            self.step(end, chunk);
        }
        self.now = until;
    }

    /// Returns the duration of a step in hundredths of the usual one: a quarter of the engines run
    /// at 0.55 of the speed, and each is 2.5 times slower for three seconds of twenty.
    fn slowness(&self) -> u64 {
        let lasting = if self.index.is_multiple_of(4) {
            182
        } else {
            100
        };
        let is_slow = (self.now / 1_000_000 + self.index * 7) % 20 < 3;
        if is_slow { lasting * 5 / 2 } else { lasting }
    }

    fn step(&mut self, end: u64, mut chunk: u64) {
        self.now = end;
        for request in &mut self.running {
            request.generated += 1;
            if request.generated.is_multiple_of(STRIDE) {
                if request.first.is_some() {
                    request.pause = request.pause.max(end - request.last);
                }
                request.first.get_or_insert(end - request.arrived);
                request.last = end;
            }
        }
        let is_done = |request: &mut Request| request.generated >= request.tokens;
        self.done.extend(self.running.extract_if(.., is_done));
        while self.running.len() < SLOTS as usize
            && let Some(next) = self.waiting.front_mut()
        {
            let read = next.unread.min(chunk);
            (next.unread, chunk) = (next.unread - read, chunk - read);
            if next.unread > 0 {
                return;
            }
            self.running.extend(self.waiting.pop_front());
        }
    }

    fn load(&self, by: usize) -> (u32, Duration) {
        let all = self.waiting.iter().chain(&self.running);
        let its: Vec<&Request> = all.filter(|request| request.by == by).collect();
        let unread = its.iter().filter(|request| request.first.is_none());
        let prefill = unread.map(|request| request.expected).sum();
        (u32::try_from(its.len()).unwrap(), prefill)
    }

    fn candidate(&self, request: &Request, tie_breaker: u64) -> Candidate {
        let own = self.load(request.by);
        let others = (0..INSTANCES).filter(|by| *by != request.by);
        let others = others.map(|by| self.reported[by]);
        let (flights, ahead) = others.fold(own, |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let queued = flights.saturating_sub(SLOTS);
        Candidate {
            wait: ahead + Duration::from_millis(33) * queued + Duration::from_micros(700) * flights,
            permit_wait: Duration::ZERO,
            prefill_ahead: ahead,
            occupancy: f64::from(flights) / f64::from(SLOTS),
            prefill: request.expected,
            is_ejected: false,
            tie_breaker,
        }
    }
}

/// Outcomes of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    asked: f64,
    /// Answers that began within the objective.
    in_time: f64,
    /// Streams with a pause above the bound.
    stalled: f64,
}

impl Outcome {
    fn served(&self) -> f64 {
        self.in_time / self.asked
    }

    fn stalls(&self) -> f64 {
        self.stalled / self.asked
    }
}

fn constraints(side: Side) -> Constraints {
    let is_long = usize::from(side == Side::Long);
    Constraints {
        left: Duration::from_secs(5),
        objective: Duration::from_millis([800, 1_000][is_long]),
        rank: is_long,
        route_rank: is_long,
        gap: GAP,
        opens_soon: false,
        urgent_objective: None,
    }
}

/// Simulates several regions, which differ in the arrivals and in the engines on either side.
/// Returns the outcomes of long prompts and of short streams.
fn simulate(load: Load, is_divided: bool) -> [Outcome; 2] {
    let mut sum = [Outcome::default(); 2];
    for seed in SEEDS {
        let outcomes = simulate_region(load, is_divided, seed);
        for (sum, outcome) in sum.iter_mut().zip(outcomes) {
            sum.asked += outcome.asked;
            sum.in_time += outcome.in_time;
            sum.stalled += outcome.stalled;
        }
    }
    println!("{load:?}: divided {is_divided}, seeds {SEEDS:?}, {sum:?}");
    sum
}

/// Simulates twenty seconds of one region without retries.
fn simulate_region(load: Load, is_divided: bool, seed: u64) -> [Outcome; 2] {
    let service = format!("s{seed}");
    let (rates, start) = (Rates::default(), Instant::now());
    let mut engines: Vec<Simulated> = (0..ENGINES as u64)
        .map(|index| Simulated {
            index,
            ..Simulated::default()
        })
        .collect();
    let names = engine_names(ENGINES);
    let listed = names.iter().map(|name| Engine {
        name,
        is_slow: false,
    });
    let listed: Vec<Engine<'_>> = listed.collect();
    let mut random = StdRng::seed_from_u64(seed);
    let (mut arrivals, mut plan, mut long) = (Arrivals::default(), None, IndexSet::new());
    let (mut reported, mut decided, mut now) = (0, 0, 0);
    let mut outcomes = [Outcome::default(); 2];
    let sum: u64 = load.per_second.iter().sum();
    while now < END_US {
        now += random.random_range(0..2_000_000 / sum);
        let kind = usize::from(random.random_range(0..sum) >= load.per_second[0]);
        let by = random.random_range(0..INSTANCES);
        let expected = rates.expected(load.prompt[kind], 0);
        let side = Side::of(expected, GAP);
        assert_eq!(side == Side::Long, kind == 0);
        outcomes[kind].asked += 1.0;
        for engine in &mut engines {
            engine.run(now);
            if now >= reported + REPORT_US {
                engine.reported = std::array::from_fn(|by| engine.load(by));
            }
        }
        reported = if now >= reported + REPORT_US {
            now
        } else {
            reported
        };
        let at = start + Duration::from_micros(now);
        // The decider sees the arrivals at one instance.
        if by == 0 {
            let work = Work::new(expected, load.answer[kind], SLOTS);
            arrivals.record(side, work, at);
        }
        if is_divided && now >= decided + DECISION_US {
            decided = now;
            let demand = arrivals.demand(at);
            plan = demand.and_then(|demand| Plan::next(plan, demand, ENGINES));
            long = plan.map_or_else(IndexSet::new, |plan| {
                long_side(&service, &listed, plan.long)
            });
        }
        let request = Request {
            side,
            by,
            expected,
            unread: load.prompt[kind],
            tokens: load.answer[kind],
            generated: 0,
            arrived: now,
            first: None,
            last: 0,
            pause: 0,
        };
        let candidates = engines
            .iter()
            .map(|one| one.candidate(&request, random.random()));
        let candidates: Vec<Candidate> = candidates.collect();
        let is_own = |name: &String| long.contains(name.as_str()) == (side == Side::Long);
        let is_own: Vec<bool> = names.iter().map(is_own).collect();
        let all = constraints(side);
        let choice = match plan {
            Some(_) => division::choose((&candidates, &[]), (side, &is_own), &[], all).0,
            None => choose(&candidates, &[], all),
        };
        if let Choice::Local(at) = choice {
            engines[at].waiting.push_back(request);
        }
    }
    for engine in &mut engines {
        engine.run(END_US * 4);
        for request in &engine.done {
            let outcome = &mut outcomes[usize::from(request.side == Side::Short)];
            let objective = constraints(request.side).objective.as_micros();
            let is_in_time = request
                .first
                .is_some_and(|first| u128::from(first) <= objective);
            outcome.in_time += f64::from(u8::from(is_in_time));
            let is_stalled = u128::from(request.pause) > GAP.as_micros();
            outcome.stalled += f64::from(u8::from(is_stalled));
        }
    }
    outcomes
}

fn engine_names(engines: usize) -> Vec<String> {
    (0..engines).map(|at| format!("engine-{at}")).collect()
}

fn listed(names: &[String]) -> Vec<Engine<'_>> {
    let engine = |name| Engine {
        name,
        is_slow: false,
    };
    names.iter().map(|name| engine(name.as_str())).collect()
}

/// Guards against streams that stall behind long prompts at the same engine.
#[test]
fn streams_stall_half_as_often_on_engines_of_their_own() {
    let [long, short] = simulate(MIXED, false);
    let [long_divided, short_divided] = simulate(MIXED, true);
    assert!(short.stalls() > 0.2, "{short:?}");
    assert!(short_divided.stalls() < 0.6 * short.stalls());
    assert!(long_divided.served() > 0.95 * long.served());
    assert!(short_divided.served() > short.served());
}

/// Guards against a division by prefill alone: a few engines are full of streams that last for
/// seconds, and refuse the others while the long side has free slots.
#[test]
fn no_kind_is_served_less_where_streams_last_for_seconds() {
    for per_second in [[20, 70], [20, 110]] {
        let load = Load {
            per_second,
            ..LASTING
        };
        let (whole, divided) = (simulate(load, false), simulate(load, true));
        for (whole, divided) in whole.iter().zip(&divided) {
            assert!(divided.served() >= 0.95 * whole.served(), "{divided:?}");
        }
        assert!(divided[1].stalls() < 0.6 * whole[1].stalls());
    }
}

/// Guards against a division where an event takes so few steps that long prompts break no bound.
#[test]
fn a_division_is_called_for_where_chunks_break_the_bound() {
    let rates = Rates::default();
    assert!(is_called_for(GAP, 7, &rates));
    assert!(is_called_for(GAP, 4, &rates), "within a fifth of the bound");
    assert!(!is_called_for(GAP, 3, &rates));
    assert!(!is_called_for(Duration::ZERO, 7, &rates), "no bound in use");
}

/// Guards against a division for a kind that is not in use any more, or for chance arrivals.
#[test]
fn demand_needs_both_kinds_for_a_while() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let work = Work::new(Duration::from_millis(200), 96, 48);
    assert_eq!(work.decode, Duration::from_millis(18));
    let mut arrivals = Arrivals::default();
    arrivals.record(Side::Long, work, at(0));
    assert_eq!(arrivals.demand(at(1_500)), None);
    arrivals.record(Side::Short, work, at(100));
    assert_eq!(arrivals.demand(at(500)), None);
    let demand = arrivals.demand(at(1_000)).unwrap();
    assert!(
        (demand.long / demand.short - 1.0).abs() < 0.05,
        "{demand:?}"
    );
    // Prompts that are mostly cached keep engines busy for less.
    let (prefill, uncached) = (work.prefill, work.prefill / 10);
    arrivals.record_placed(Side::Long, prefill, uncached, at(1_000));
    let cached = arrivals.demand(at(1_000)).unwrap();
    assert!(cached.long < 0.2 * demand.long, "{cached:?}");
    assert_eq!(arrivals.demand(at(10_050)), None);
}

proptest! {
    /// Guards against a side without engines, and against engines that change sides all the time.
    #[test]
    fn plans_have_two_sides_and_move_little(
        rounds in proptest::collection::vec((0.0..50.0, 0.0..50.0, 0_usize..40), 1..30),
    ) {
        let mut previous: Option<Plan> = None;
        for (long, short, engines) in rounds {
            let plan = Plan::next(previous, Demand { long, short }, engines);
            prop_assert!(engines >= division::MIN_ENGINES || plan.is_none());
            if let (Some(plan), Some(before)) = (plan, previous) {
                let lost = before.engines.saturating_sub(plan.engines);
                prop_assert!(plan.long.abs_diff(before.long) <= 1 + lost);
            }
            prop_assert!(plan.is_none_or(|plan| plan.is_possible()));
            previous = plan;
        }
    }

    /// Guards against instances that list the engines in another order and disagree on the sides,
    /// and against an engine that comes and moves all others.
    #[test]
    fn all_instances_agree_on_the_sides(engines in 4_usize..40, long in 1_u32..40, seed: u64) {
        let names = engine_names(engines);
        let mut shuffled = names.clone();
        let mut random = StdRng::seed_from_u64(seed);
        shuffled.sort_by_cached_key(|_| random.random::<u64>());
        let side = long_side("s", &listed(&names), long);
        let other = long_side("s", &listed(&shuffled), long);
        prop_assert_eq!(&side, &other);
        let expected = usize::try_from(long).unwrap().min(engines - 1);
        prop_assert_eq!(side.len(), expected);
        let more = long_side("s", &listed(&names[1..]), long);
        prop_assert!(more.iter().filter(|name| !side.contains(*name)).count() <= 1);
    }

    /// Guards against a plan that moves back and forth under a steady demand.
    #[test]
    fn a_steady_demand_settles(long in 0.1..10.0, short in 0.1..10.0, from in 1_u32..20) {
        let mut plan = Some(Plan { long: from, engines: 21 });
        let demand = Demand { long, short };
        for _ in 0..20 {
            plan = Plan::next(plan, demand, 21);
        }
        prop_assert_eq!(Plan::next(plan, demand, 21), plan);
        let share = 21.0 * long / (long + short);
        prop_assert!((f64::from(plan.unwrap().long) - share).abs() <= 1.0);
    }
}

/// Guards against long prompts at engines that read them slowly.
#[test]
fn slow_engines_are_left_to_the_short_side() {
    let names = engine_names(6);
    let mut engines = listed(&names);
    for slow in &mut engines[..4] {
        slow.is_slow = true;
    }
    let long = long_side("s", &engines, 3);
    assert_eq!(long.len(), 2);
    assert!(long.contains("engine-4") && long.contains("engine-5"));
    for engine in &mut engines {
        engine.is_slow = true;
    }
    assert_eq!(long_side("s", &engines, 3).len(), 3);
}
