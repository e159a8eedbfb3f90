//! Slow start: cold targets get few requests, also from instances whose views differ.

use std::time::{Duration, Instant};

use zinniastall_gateway::decide::slow_start::{Pacer, sender};

/// Request rate that a cold target sustains, in thousandths of a request per second.
const RATE_MILLI: u64 = 2_200;
/// Most requests that a cold target sustains within one second: one and a half times the rate, plus
/// three.
const MAX_PER_SECOND: usize = 6;

/// Returns the largest number of requests within any second.
fn max_per_second(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let within = |start: &u64| {
        times
            .iter()
            .filter(|at| (*start..start + 1_000).contains(at))
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

fn send_times(pace: &mut Pacer, from: u64, to: u64, base: Instant) -> Vec<u64> {
    let open = |at: &u64| pace.try_acquire(RATE_MILLI, base + Duration::from_millis(*at));
    (from..to).step_by(5).filter(open).collect()
}

/// A zone's targets come back cold while an instance restarts: the sender that was chosen before
/// continues, and the one that is chosen now starts. Both together must stay under what the target
/// sustains, or it crashes again.
#[test]
fn two_senders_together_stay_under_the_bound() {
    let base = Instant::now();
    let (mut first, mut second) = (Pacer::default(), Pacer::default());
    for shift in 0..20 {
        let mut times = send_times(&mut first, 0, 6_000, base);
        times.extend(send_times(&mut second, 2_000 + shift * 25, 6_000, base));
        let peak = max_per_second(times);
        assert!(peak <= MAX_PER_SECOND, "{peak} within a second");
        (first, second) = (Pacer::default(), Pacer::default());
    }
}

/// The same where targets sustain more. Two senders at nine tenths of the rate each would together
/// exceed one and a half times the rate plus three, from a rate of ten on.
#[test]
fn two_senders_stay_under_the_bound_at_any_rate() {
    let base = Instant::now();
    for rate in [1_u32, 2, 5, 10, 20, 50] {
        let times = |shift: u64| {
            let mut pace = Pacer::default();
            let open = |at: &u64| {
                let now = base + Duration::from_millis(*at);
                pace.is_ready(u64::from(rate) * 1_000, now)
                    && pace.try_acquire(u64::from(rate) * 1_000, now)
            };
            (shift..6_000).step_by(5).filter(open).collect::<Vec<u64>>()
        };
        let both = [times(0), times(2_013)].concat();
        let limit = usize::try_from(rate * 3 / 2 + 3).unwrap();
        let peak = max_per_second(both);
        assert!(peak <= limit, "{peak} within a second at {rate} a second");
    }
}

/// A sender checks whether a target may get a request before it sends one. If the check didn't
/// start the pace, no cold target would ever get a request, and a region whose targets all come
/// back cold would serve nobody.
#[test]
fn checking_a_target_starts_its_pace() {
    let base = Instant::now();
    let mut pace = Pacer::default();
    assert!(
        !pace.is_ready(RATE_MILLI, base),
        "another sender may have sent just now"
    );
    assert!(pace.is_ready(RATE_MILLI, base + Duration::from_secs(1)));
    assert!(pace.try_acquire(RATE_MILLI, base + Duration::from_secs(1)));
    assert!(!pace.is_ready(RATE_MILLI, base + Duration::from_secs(1)));
}

/// A sender that was idle for long doesn't send the requests that it didn't use as a burst.
#[test]
fn an_idle_sender_saves_no_burst() {
    let base = Instant::now();
    let mut pace = Pacer::default();
    let mut times = send_times(&mut pace, 0, 1_000, base);
    times.extend(send_times(&mut pace, 30_000, 34_000, base));
    assert!(max_per_second(times) <= 3);
}

/// All instances pick the same sender for a target, and another one only if that sender leaves.
#[test]
fn all_instances_pick_the_same_sender() {
    let names = ["edge-1", "edge-2", "edge-3", "edge-4"];
    for target in 0..50 {
        let target = format!("target-{target}");
        let chosen = sender(&target, names.into_iter()).unwrap();
        assert_eq!(sender(&target, names.into_iter().rev()), Some(chosen));
        let others = names.into_iter().filter(|name| *name != chosen);
        assert_ne!(sender(&target, others), Some(chosen));
        let without = names.into_iter().find(|name| *name != chosen);
        let rest = names.into_iter().filter(|name| Some(*name) != without);
        assert_eq!(
            sender(&target, rest),
            Some(chosen),
            "a sender that stays keeps its targets"
        );
    }
}

/// A rate of zero means no bound.
#[test]
fn a_target_without_a_rate_is_not_paced() {
    let now = Instant::now();
    let mut pace = Pacer::default();
    assert!((0..100).all(|_| pace.try_acquire(0, now)));
}
