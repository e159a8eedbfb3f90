//! Streams and long prompts at engines of unequal speed, played step by step.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times and tokens of the play are small"
)]

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use zinniastall_gateway::decide::{
    capacity::{Capacity, Figures, Run},
    fit::{Fit, Measure, Need, choose_fitting, paced},
    place::{Candidate, Choice, Constraints, choose},
};

const ENGINES: usize = 10;
const INSTANCES: usize = 6;
const SLOTS: u32 = 48;
/// Longest gap that streams permit.
const GAP: Duration = Duration::from_millis(400);
/// Decode step of an engine at full speed, and steps that produce one event.
const STEP_US: u64 = 7_000;
const STEPS_PER_EVENT: u32 = 7;
/// Prompt tokens that a step prefills at most, and those that an engine prefills per millisecond.
const CHUNK: u64 = 4_096;
const TOKENS_PER_MS: f64 = 70.0;
/// Rate that instances assume.
const NOMINAL_TOKENS_PER_MS: f64 = 44.0;
/// Interval of the instances' load reports.
const REPORT_US: u64 = 100_000;
/// Mean time between two arrivals, and length of the play.
const ARRIVAL_US: u64 = 8_000;
const PLAY_US: u64 = 30_000_000;

#[derive(Debug, Clone)]
struct Request {
    is_long: bool,
    by: usize,
    nominal: Duration,
    nominal_ahead: Duration,
    unread: u64,
    tokens: u32,
    generated: u32,
    sent: u64,
    last: Option<u64>,
    longest: u64,
}

#[derive(Debug, Default)]
struct Engine {
    speed: f64,
    waiting: Vec<Request>,
    running: Vec<Request>,
    now: u64,
    /// Requests and nominal prefill by instance, as of the last reports.
    reported: [(u32, Duration); INSTANCES],
}

/// Outcomes of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Share {
    placed: u32,
    rejected: u32,
    stalled: u32,
}

impl Share {
    fn stalled(&self) -> f64 {
        f64::from(self.stalled) / f64::from(self.placed.max(1))
    }
}

impl Engine {
    /// Returns the speed now: each engine is 2.5 times slower for 1.5 s of every 10 s.
    fn speed(&self, at: usize) -> f64 {
        let phase = (self.now / 1_000 + 1_370 * at as u64) % 10_000;
        if phase < 1_500 {
            self.speed / 2.5
        } else {
            self.speed
        }
    }

    fn own(&self, by: usize) -> (u32, Duration) {
        let all = self.waiting.iter().chain(&self.running);
        let own = all.filter(|request| request.by == by);
        own.fold((0, Duration::ZERO), |(flights, reading), request| {
            let unread = if request.last.is_none() {
                request.nominal
            } else {
                Duration::ZERO
            };
            (flights + 1, reading + unread)
        })
    }

    /// Returns the load as one instance knows it.
    fn load(&self, by: usize) -> (u32, Duration) {
        let others = self
            .reported
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != by);
        others.fold(self.own(by), |(flights, reading), (_, load)| {
            (flights + load.0, reading + load.1)
        })
    }

    fn run(
        &mut self,
        at: usize,
        until: u64,
        learned: &mut [Capacity],
        base: Instant,
        shares: &mut [Share; 2],
    ) {
        while !(self.waiting.is_empty() && self.running.is_empty()) && self.now < until {
            let mut budget = CHUNK;
            for request in &mut self.waiting {
                let read = request.unread.min(budget);
                request.unread -= read;
                budget -= read;
            }
            let reading = (CHUNK - budget) as f64 / TOKENS_PER_MS * 1_000.0;
            let batch = 1.0 + self.running.len() as f64 / 200.0;
            let step = (STEP_US as f64 * batch + reading) / self.speed(at);
            self.now += step as u64;
            let now = base + Duration::from_micros(self.now);
            let name = format!("e{at}");
            let run = Run {
                target: &name,
                service: "s",
                incarnation: 1,
            };
            for request in &mut self.running {
                request.generated += 1;
                if !request.generated.is_multiple_of(STEPS_PER_EVENT) {
                    continue;
                }
                let capacity = &mut learned[request.by];
                if let Some(last) = request.last.replace(self.now) {
                    let gap = self.now - last;
                    request.longest = request.longest.max(gap);
                    capacity.event(run, Duration::from_micros(gap), now);
                } else {
                    let took = Duration::from_micros(self.now - request.sent);
                    let expected = request.nominal_ahead + request.nominal;
                    capacity.answer_began(run, expected, took, now);
                }
            }
            for done in self
                .running
                .extract_if(.., |request| request.generated >= request.tokens)
            {
                let stalled = done.longest > GAP.as_micros() as u64;
                shares[usize::from(done.is_long)].stalled += u32::from(stalled);
            }
            let free = SLOTS as usize - self.running.len().min(SLOTS as usize);
            let read = self.waiting.extract_if(.., |request| request.unread == 0);
            let read: Vec<Request> = read.take(free).collect();
            self.running.extend(read);
        }
        self.now = self.now.max(until);
    }
}

fn figures(capacity: &mut Capacity, engine: usize, now: Instant) -> Figures {
    let name = format!("e{engine}");
    let run = Run {
        target: &name,
        service: "s",
        incarnation: 1,
    };
    capacity.figures(run, now)
}

/// Returns a prompt's candidate at an engine with a load, at the nominal rate, and how well it fits.
fn weigh(
    (flights, ahead): (u32, Duration),
    nominal: Duration,
    figures: Figures,
    tie_breaker: u64,
) -> (Candidate, Fit) {
    let candidate = Candidate {
        wait: ahead
            + Duration::from_millis(33) * flights.saturating_sub(SLOTS)
            + Duration::from_micros(700) * flights,
        permit_wait: Duration::ZERO,
        prefill_ahead: ahead,
        occupancy: f64::from(flights) / f64::from(SLOTS),
        prefill: nominal,
        is_ejected: false,
        tie_breaker,
    };
    let need = Need {
        own_gap: GAP,
        service_gap: GAP,
        prefill: nominal,
        prefill_ahead: ahead,
        is_full: flights >= SLOTS,
    };
    let measure = Measure {
        figures,
        memory: 0.0,
        nominal,
    };
    (candidate, need.fit(&measure))
}

/// Plays the load; `is_on` tells whether what is learned is used. Returns the outcomes of the short
/// streams and of the long prompts.
fn play(is_on: bool, seed: u64) -> [Share; 2] {
    let mut random = StdRng::seed_from_u64(seed);
    let base = Instant::now();
    let mut learned: Vec<Capacity> = (0..INSTANCES).map(|_| Capacity::default()).collect();
    let engine = |at| Engine {
        speed: if at % 4 == 3 { 0.55 } else { 1.0 },
        ..Engine::default()
    };
    let mut engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
    let mut shares = [Share::default(); 2];
    let (mut now, mut reported) = (0, 0);
    while now < PLAY_US {
        now += random.random_range(0..2 * ARRIVAL_US);
        for (at, engine) in engines.iter_mut().enumerate() {
            engine.run(at, now, &mut learned, base, &mut shares);
        }
        if now >= reported + REPORT_US {
            reported = now;
            for engine in &mut engines {
                engine.reported = std::array::from_fn(|by| engine.own(by));
            }
        }
        let is_long = random.random_bool(0.32);
        let by = random.random_range(0..INSTANCES);
        // Two of three long prompts find their shared parts cached.
        let tokens = match is_long {
            true if random.random_bool(0.66) => 2_900,
            true => 9_200,
            false => 830,
        };
        let nominal = Duration::from_secs_f64(tokens as f64 / NOMINAL_TOKENS_PER_MS / 1_000.0);
        let at_now = base + Duration::from_micros(now);
        let (mut candidates, mut fits) = (Vec::new(), Vec::new());
        for (at, engine) in engines.iter().enumerate() {
            let figures = figures(&mut learned[by], at, at_now);
            let (candidate, fit) = weigh(engine.load(by), nominal, figures, random.random());
            candidates.push(if is_on {
                paced(candidate, &figures)
            } else {
                candidate
            });
            fits.push(fit);
        }
        let constraints = Constraints {
            left: Duration::from_secs(if is_long { 5 } else { 12 }),
            objective: Duration::from_millis(if is_long { 1_000 } else { 800 }),
            rank: usize::from(is_long),
            route_rank: usize::from(is_long),
            gap: GAP,
            opens_soon: false,
            urgent_objective: None,
        };
        let choice = if is_on {
            choose_fitting(&candidates, &fits, &[], constraints)
        } else {
            choose(&candidates, &[], constraints)
        };
        let share = &mut shares[usize::from(is_long)];
        let Choice::Local(at) = choice else {
            share.rejected += 1;
            continue;
        };
        share.placed += 1;
        let has_full = is_on && fits[at] == Fit::Full;
        assert!(
            !has_full || fits.iter().all(|fit| *fit == Fit::Full),
            "{fits:?}"
        );
        let (_, ahead) = engines[at].load(by);
        engines[at].waiting.push(Request {
            is_long,
            by,
            nominal,
            nominal_ahead: ahead,
            unread: tokens,
            tokens: if is_long { 49 } else { 290 },
            generated: 0,
            sent: now,
            last: None,
            longest: 0,
        });
    }
    shares
}

fn total(is_on: bool) -> [Share; 2] {
    let mut total = [Share::default(); 2];
    for seed in 1..=6 {
        for (sum, share) in total.iter_mut().zip(play(is_on, seed)) {
            sum.placed += share.placed;
            sum.rejected += share.rejected;
            sum.stalled += share.stalled;
        }
    }
    total
}

/// A quarter of the engines are slow, and any engine is slow for moments. Expected waits do not show
/// that, so that streams go to engines on which they stall. With what instances learn from their own
/// answers alone, fewer streams stall, and hardly more requests are admitted than before.
#[test]
fn streams_avoid_engines_on_which_they_stall() {
    let [short, long] = total(false);
    let [short_learned, long_learned] = total(true);
    println!(
        "nominal: short {short:?} {:.3}, long {long:?}",
        short.stalled()
    );
    println!(
        "learned: short {short_learned:?} {:.3}, long {long_learned:?}",
        short_learned.stalled()
    );
    assert!(short_learned.stalled() < short.stalled() * 0.6);
    assert!(long_learned.stalled() < long.stalled() * 0.6);
    let admitted = short.placed + long.placed;
    let admitted_learned = short_learned.placed + long_learned.placed;
    assert!(f64::from(admitted_learned) < f64::from(admitted) * 1.02);
    let in_time = |share: Share| share.placed - share.stalled;
    assert!(in_time(long_learned) >= in_time(long));
}
