//! The return schedule, under the load that it answers and under a faulty network.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use zinniastall_gateway::decide::{
    place::{Candidate, Choice, Constraints, choose},
    returns::{
        GRACE, MAX_DELAY, Schedules, latest_delay,
        promises::{MAX_PROMISES, Promise, Promises, State},
        schedule::{Request, SLOT, Schedule},
    },
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const SERVICE: &str = "model";
/// Deadline and objective of all requests.
const TIMES: (Duration, Duration) = (ms(5_000), ms(800));
/// Prefill of a request.
const PREFILL: Duration = ms(50);
/// The same in microseconds.
const WORK: u64 = 50_000;
/// Requests that the engines together prefill in a millisecond.
const CAPACITY: f64 = 8.0 / 50.0;
const ENGINES: usize = 8;
const INSTANCES: usize = 8;
/// Length of the run and the peak in it, in milliseconds.
const RUN_MS: u64 = 12_000;
const PEAK_MS: std::ops::Range<u64> = 3_000..4_500;

/// What became of the requests.
#[derive(Debug, Default)]
struct Tally {
    returns: u32,
    rejected_returns: u32,
    promised: u32,
    broken: u32,
    served: u32,
}

/// A region whose engines prefill one prompt after the other, and whose callers return once.
struct Region {
    is_scheduled: bool,
    random: SmallRng,
    start: Instant,
    backlog_us: [u64; ENGINES],
    schedules: Vec<Schedules>,
    holder: Promises,
    tally: Tally,
}

impl Region {
    /// Plays the run: half of the capacity, and twice the capacity in the peak.
    fn play(is_scheduled: bool) -> Tally {
        let mut region = Self {
            is_scheduled,
            random: SmallRng::seed_from_u64(7),
            start: Instant::now(),
            backlog_us: [0; ENGINES],
            schedules: (0..INSTANCES).map(|_| Schedules::default()).collect(),
            holder: Promises::default(),
            tally: Tally::default(),
        };
        let mut returning: Vec<(u64, u64)> = Vec::new();
        for at in 0..RUN_MS {
            region.backlog_us = region
                .backlog_us
                .map(|backlog| backlog.saturating_sub(1_000));
            let load = if PEAK_MS.contains(&at) { 2.0 } else { 0.5 };
            for _ in 0..4 {
                if region.random.random_bool(CAPACITY * load / 4.0) {
                    returning.extend(region.arrive(at, None));
                }
            }
            for (_, key) in returning
                .extract_if(.., |(due, _)| *due <= at)
                .collect::<Vec<_>>()
            {
                region.arrive(at, Some(key));
            }
        }
        region.tally
    }

    /// Decides a first attempt, or a return by its key; returns when a rejected one comes back, and
    /// its key.
    fn arrive(&mut self, at: u64, key: Option<u64>) -> Option<(u64, u64)> {
        let now = self.start + ms(at);
        let instance = self.random.random_range(0..INSTANCES);
        self.tally.returns += u32::from(key.is_some());
        let mut choice = self.choose(instance, false, now);
        let mut is_due = |key| self.holder.redeem(key, now) == State::Due;
        if matches!(choice, Choice::Refuse(_)) && key.is_some_and(&mut is_due) {
            choice = self.choose(instance, true, now);
            self.tally.broken += u32::from(matches!(choice, Choice::Refuse(_)));
        }
        match choice {
            Choice::Local(engine) => {
                self.backlog_us[engine] += WORK;
                self.schedules[instance].admit(SERVICE, WORK, now);
                self.tally.served += 1;
                None
            }
            Choice::Refuse(_) if key.is_some() => {
                self.tally.rejected_returns += 1;
                None
            }
            Choice::Refuse(after) => {
                let (key, delay) = self.reject(instance, after, now);
                let delay = delay.min(latest_delay(TIMES.0)).as_millis();
                // The caller's timer and its connection take some milliseconds.
                let late = self.random.random_range(0..5);
                Some((at + late + u64::try_from(delay).unwrap(), key))
            }
            other => panic!("{other:?}"),
        }
    }

    fn choose(&mut self, instance: usize, is_promised: bool, now: Instant) -> Choice {
        let due = self.schedules[instance].due(SERVICE, 0, now) * INSTANCES as u64 / ENGINES as u64;
        let due = if is_promised { 0 } else { due };
        let candidates = self.backlog_us.map(|backlog| {
            let tie_breaker = self.random.random();
            candidate(Duration::from_micros(backlog + due), tie_breaker)
        });
        let limits = constraints(TIMES.0, TIMES.1, 0);
        let limits = if is_promised {
            limits.promised()
        } else {
            limits
        };
        choose(&candidates, &[], limits)
    }

    /// Returns the key of a rejected request, and when its caller is told to return.
    fn reject(&mut self, instance: usize, after: Duration, now: Instant) -> (u64, Duration) {
        if !self.is_scheduled {
            return (0, after);
        }
        let (key, spread) = self.random.random();
        let request = request(WORK, TIMES.0);
        let booked = self.schedules[instance].book(SERVICE, &request, spread, now);
        let Some(booking) = booked else {
            return (0, latest_delay(TIMES.0));
        };
        let promise = Promise {
            until: booking.slot_end + GRACE,
            due: booking.delay,
            ..promise(key, 1, 0)
        };
        self.holder.add(&promise, now).unwrap();
        self.tally.promised += 1;
        (key, booking.delay)
    }
}

fn candidate(wait: Duration, tie_breaker: u64) -> Candidate {
    Candidate {
        wait,
        permit_wait: Duration::ZERO,
        prefill_ahead: wait,
        occupancy: 0.0,
        prefill: PREFILL,
        is_ejected: false,
        tie_breaker,
    }
}

fn constraints(left: Duration, objective: Duration, rank: usize) -> Constraints {
    Constraints {
        left,
        objective,
        rank,
        route_rank: rank,
        gap: Duration::ZERO,
        opens_soon: false,
        urgent_objective: None,
    }
}

const fn request(work: u64, left: Duration) -> Request {
    Request {
        work,
        priority: 0,
        left,
        service_time: Duration::ZERO,
    }
}

const fn promise(key: u64, id: u32, due: u64) -> Promise {
    Promise {
        key,
        id,
        due: ms(due),
        until: ms(due + 1_000),
    }
}

/// Answers a peak of twice the capacity whose callers return once: without the schedule they return
/// together into the same peak, and most are rejected again.
#[test]
fn under_a_fifth_of_the_returns_from_a_peak_are_rejected() {
    let before = Region::play(false);
    let after = Region::play(true);
    println!("before: {before:?}\nafter: {after:?}");
    assert!(before.rejected_returns * 2 > before.returns, "{before:?}");
    assert!(after.rejected_returns * 5 < after.returns, "{after:?}");
    assert!(after.served >= before.served, "{before:?} {after:?}");
    assert!(after.broken * 100 < after.promised, "{after:?}");
}

/// A promised request is placed as if no more urgent one existed, within its whole objective; once
/// that has passed, within its late wait.
#[test]
fn a_promise_widens_the_limits() {
    let busy = |wait| [candidate(ms(wait), 0)];
    let limits = constraints(ms(4_000), ms(800), 2);
    assert!(matches!(choose(&busy(500), &[], limits), Choice::Refuse(_)));
    assert_eq!(choose(&busy(790), &[], limits.promised()), Choice::Local(0));
    let beyond = choose(&busy(810), &[], limits.promised());
    assert!(matches!(beyond, Choice::Refuse(_)));
    let late = constraints(ms(4_000), Duration::ZERO, 2).promised();
    assert_eq!(choose(&busy(1_390), &[], late), Choice::Local(0));
    assert!(matches!(choose(&busy(1_410), &[], late), Choice::Refuse(_)));
}

/// Guards against promises that outlive the room that was booked for them.
#[test]
fn promises_expire_and_the_oldest_are_evicted() {
    let (mut promises, now) = (Promises::default(), Instant::now());
    promises.add(&promise(1, 1, 500), now).unwrap();
    assert_eq!(promises.redeem(1, now + ms(1_500)), State::None);
    promises.expire(now + ms(1_500));
    assert!(promises.is_empty());
    for key in 0..=MAX_PROMISES as u64 {
        promises.add(&promise(key, 1, 500), now).unwrap();
    }
    assert_eq!(promises.len(), MAX_PROMISES);
    assert_eq!(promises.redeem(0, now + ms(500)), State::None);
    assert_eq!(promises.redeem(1, now + ms(500)), State::Due);
}

proptest! {
    /// Conserved: no booking takes more than a slot's room, however requests and times vary.
    #[test]
    fn bookings_never_exceed_a_slots_room(
        steps in prop::collection::vec((0u64..400, 0u64..300_000, 0u64..300_000, 0u64..15_000), 1..120),
    ) {
        let mut now = Instant::now();
        let mut schedule = Schedule::new(now);
        for (wait, admitted, work, left) in steps {
            now += ms(wait);
            schedule.admit(admitted, now);
            let room = schedule.room(now);
            let before: Vec<u64> = schedule.booked(now).collect();
            let booking = schedule.book(&request(work, ms(left)), 0.5, now);
            let after: Vec<u64> = schedule.booked(now).collect();
            let mut taken = 0;
            for (at, after) in after.iter().enumerate() {
                let before = before.get(at).copied().unwrap_or(0);
                prop_assert!(*after == before || *after <= room, "{after} of {room}");
                taken += after - before;
            }
            prop_assert_eq!(taken, booking.map_or(0, |_| work));
            if let Some(booking) = booking {
                prop_assert!(booking.delay >= ms(250) && booking.delay <= MAX_DELAY);
                prop_assert!(booking.delay <= latest_delay(ms(left)));
                prop_assert!(booking.slot_end <= booking.delay + SLOT);
            }
        }
    }

    /// Conserved: a holder redeems a promise at most once, whatever the network loses, repeats or
    /// reorders.
    #[test]
    fn a_promise_is_redeemed_at_most_once(
        mut messages in prop::collection::vec((0usize..4, 0u32..3, 0u64..1_200, any::<bool>()), 1..200),
    ) {
        let start = Instant::now();
        // All copies of a promise arrive within its life; which come at all, and when, is random.
        messages.sort_by_key(|(.., at, _)| *at);
        let mut promises = Promises::default();
        let mut given: [HashSet<u32>; 4] = Default::default();
        let mut redeemed = [0; 4];
        for (key, id, at, is_question) in messages {
            let now = start + ms(at);
            if is_question {
                let state = promises.redeem(key as u64, now);
                redeemed[key] += usize::from(state == State::Due);
            } else {
                promises.add(&promise(key as u64, id, 300), now).unwrap();
                given[key].insert(id);
            }
            prop_assert!(redeemed[key] <= given[key].len());
        }
    }
}
