//! Admission control: queueing, refusals, ejection and concurrency limits.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use zinniastall_route::{
    admit::{Queue, Waiter},
    eject::{self, Detector},
    limit::Limit,
    outcome::Reason,
};

use super::config;

/// Mean time between starts.
const INTERVAL: Duration = Duration::from_millis(100);

fn waiter(id: u64, client: &str, rank: usize, deadline: Instant) -> Waiter {
    Waiter {
        id,
        client: client.into(),
        weight: if client == "heavy" { 3 } else { 1 },
        rank,
        deadline,
        service_time: Duration::ZERO,
    }
}

fn far(now: Instant) -> Instant {
    now + Duration::from_hours(1)
}

// One client sends a burst of a thousand requests. Later requests of another client must not wait
// behind all of them.
#[test]
fn burst_of_one_client_does_not_starve_another() {
    let now = Instant::now();
    let mut queue = Queue::new(10_000);
    for id in 0..1000 {
        let waiter = waiter(id, "burst", 0, far(now));
        queue.enqueue(&waiter, INTERVAL, now).unwrap();
    }
    let wait = queue.enqueue(&waiter(1000, "other", 0, far(now)), INTERVAL, now);
    assert!(wait.unwrap() <= INTERVAL * 2);
    let starts: Vec<_> = (0..3).filter_map(|_| queue.pop()).collect();
    assert!(starts.contains(&1000), "{starts:?}");
}

#[test]
fn shares_follow_weights() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    for id in 0..300 {
        let client = if id % 2 == 0 { "heavy" } else { "light" };
        let waiter = waiter(id, client, 0, far(now));
        queue.enqueue(&waiter, INTERVAL, now).unwrap();
    }
    let starts = (0..120).filter_map(|_| queue.pop());
    let heavy = starts.filter(|id| id % 2 == 0).count();
    assert!((85..=95).contains(&heavy), "{heavy} of 120");
}

#[test]
fn classes_start_by_rank_without_starvation() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    for id in 0..200 {
        let waiter = waiter(id, "a", usize::from(id % 2 == 0), far(now));
        queue.enqueue(&waiter, INTERVAL, now).unwrap();
    }
    let starts = (0..80).filter_map(|_| queue.pop());
    let low = starts.filter(|id| id % 2 == 0).count();
    assert_eq!(low, 10);
}

// A request is due in one second while ten seconds of work wait. It must be refused at once, with a
// retry after ten seconds: a refusal at the deadline would leave no time to try elsewhere.
#[test]
fn infeasible_deadlines_are_refused_on_arrival() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    for id in 0..100 {
        queue
            .enqueue(&waiter(id, "a", 0, far(now)), INTERVAL, now)
            .unwrap();
    }
    let due = now + Duration::from_secs(1);
    let refusal = queue
        .enqueue(&waiter(100, "a", 0, due), INTERVAL, now)
        .unwrap_err();
    assert_eq!(refusal.reason, Reason::DeadlineNotFeasible);
    let retry = refusal.retry_after.unwrap();
    assert!(
        (INTERVAL * 90..=INTERVAL * 110).contains(&retry),
        "{retry:?}"
    );
}

#[test]
fn crowded_queues_refuse_clients_beyond_their_share() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    let mut arrive = |id, client| queue.enqueue(&waiter(id, client, 0, far(now)), INTERVAL, now);
    arrive(0, "other").unwrap();
    let refused = (1..100).find_map(|id| arrive(id, "burst").err()).unwrap();
    assert_eq!(refused.reason, Reason::ShareUsedUp);
    assert!(arrive(200, "other").is_ok());
}

proptest! {
    #![proptest_config(config())]

    /// In any sequence of arrivals, starts and removals, each waiting request is started or removed
    /// exactly once, and the queue stays within its limit.
    #[test]
    fn requests_leave_the_queue_exactly_once(
        steps in prop::collection::vec((0_u8..4, 0_usize..3, 0_u64..40), 0..200),
    ) {
        let now = Instant::now();
        let mut queue = Queue::new(20);
        let mut waiting = HashMap::new();
        for (id, (step, rank, pick)) in (100..).zip(steps) {
            match step {
                0 | 1 => {
                    let client = ["a", "b", "heavy"][rank];
                    let waiter = waiter(id, client, rank, far(now));
                    if queue.enqueue(&waiter, INTERVAL, now).is_ok() {
                        waiting.insert(id, waiter);
                    }
                }
                2 => {
                    let first = queue.peek(4);
                    prop_assert_eq!(first.is_empty(), queue.is_empty());
                    let picked = first.get(rank).or(first.first()).copied();
                    if let Some(id) = picked {
                        prop_assert!(queue.take(id) && !queue.take(id));
                        prop_assert!(waiting.remove(&id).is_some());
                    }
                }
                _ => {
                    let removed = queue.remove(100 + pick);
                    prop_assert_eq!(removed, waiting.remove(&(100 + pick)).is_some());
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(queue.len() <= 20);
        }
        while let Some(id) = queue.pop() {
            prop_assert!(waiting.remove(&id).is_some());
        }
        prop_assert!(waiting.is_empty());
    }

    /// Ejection leaves at least the minimum share of targets usable, and never ejects a working
    /// target.
    #[test]
    fn ejection_has_a_floor(failing in prop::collection::vec(any::<bool>(), 0..20)) {
        let now = Instant::now();
        let ejected: Vec<_> = failing.iter().map(|failing| {
            let mut detector = Detector::default();
            if *failing {
                (0..3).for_each(|_| detector.failed(now));
            }
            detector.ejected_until(now)
        }).collect();
        let usable = eject::usable(&ejected, 0.5);
        prop_assert!(usable.iter().filter(|usable| **usable).count() * 2 >= failing.len());
        for (failing, usable) in failing.iter().zip(&usable) {
            prop_assert!(*failing || *usable);
        }
    }

    /// A limit stays between one request and the number of the target's slots.
    #[test]
    fn limits_have_bounds(slots in 0_u32..64, steps in prop::collection::vec(0_u8..3, 0..200)) {
        let mut limit = Limit::new(slots);
        let mut now = Instant::now();
        for step in steps {
            now += INTERVAL;
            match step {
                0 => limit.answered(limit.requests()),
                1 => limit.refused(now),
                _ => limit.reported(1000, now),
            }
            prop_assert!((1..=slots.max(1)).contains(&limit.requests()));
        }
    }
}

#[test]
fn answer_ends_ejection() {
    let now = Instant::now();
    let mut detector = Detector::default();
    (0..3).for_each(|_| detector.failed(now));
    let until = detector.ejected_until(now).unwrap();
    assert_eq!(detector.ejected_until(until), None);
    detector.failed(until);
    assert!(detector.ejected_until(until).unwrap() - until > until - now);
    detector.answered();
    assert_eq!(detector.ejected_until(now), None);
}

// If a limit did not grow, callers would wait at the instance while half of each target's slots
// were idle.
#[test]
fn used_limit_grows_to_all_slots() {
    for slots in [1, 2, 4, 16] {
        let mut limit = Limit::new(slots);
        for _ in 0..1_000 {
            limit.answered(limit.requests());
        }
        assert!(limit.requests() >= slots, "{} of {slots}", limit.requests());
    }
}
