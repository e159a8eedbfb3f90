//! Slow start: cold targets get few requests, also from coordinators whose views differ.

use std::time::{Duration, Instant};

use zinniastall_coord::{
    rate::{Demand, Issuer, Rate, Verdict},
    rendezvous::choose,
};
use zinniastall_gateway::neighbours::rates::cold_rate;

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

fn try_acquire(issuer: &mut Issuer, rate: Rate, now: Instant) -> bool {
    let patience = Duration::ZERO;
    let verdict = issuer.acquire("target", Demand { rate, patience }, now);
    matches!(verdict, Verdict::Granted { .. })
}

fn send_times(issuer: &mut Issuer, rate_milli: u64, from: u64, to: u64, base: Instant) -> Vec<u64> {
    let rate = cold_rate(rate_milli).unwrap();
    let open = |at: &u64| try_acquire(issuer, rate, base + Duration::from_millis(*at));
    (from..to).step_by(5).filter(open).collect()
}

/// A zone's targets come back cold while an instance restarts: the coordinator that was chosen
/// before continues, and the one that is chosen now starts. Both together must stay under what the
/// target sustains, or it crashes again.
#[test]
fn two_coordinators_together_stay_under_the_bound() {
    let base = Instant::now();
    for shift in 0..20 {
        let (mut first, mut second) = (Issuer::default(), Issuer::default());
        let mut times = send_times(&mut first, RATE_MILLI, 0, 6_000, base);
        times.extend(send_times(
            &mut second,
            RATE_MILLI,
            2_000 + shift * 25,
            6_000,
            base,
        ));
        let peak = max_per_second(times);
        assert!(peak <= MAX_PER_SECOND, "{peak} within a second");
    }
}

/// The same where targets sustain more. Two coordinators at nine tenths of the rate each would
/// together exceed one and a half times the rate plus three, from a rate of ten on.
#[test]
fn two_coordinators_stay_under_the_bound_at_any_rate() {
    let base = Instant::now();
    for rate in [1_u32, 2, 5, 10, 20, 50] {
        let times = |shift: u64| {
            let mut issuer = Issuer::default();
            send_times(&mut issuer, u64::from(rate) * 1_000, shift, 6_000, base)
        };
        let both = [times(0), times(2_013)].concat();
        let limit = usize::try_from(rate * 3 / 2 + 3).unwrap();
        let peak = max_per_second(both);
        assert!(peak <= limit, "{peak} within a second at {rate} a second");
    }
}

/// A coordinator is asked before a target gets its first request. If the question didn't start the
/// pace, no cold target would ever get a request, and a region whose targets all come back cold
/// would serve nobody.
#[test]
fn asking_for_a_target_starts_its_pace() {
    let base = Instant::now();
    let mut issuer = Issuer::default();
    let rate = cold_rate(RATE_MILLI).unwrap();
    assert!(
        !try_acquire(&mut issuer, rate, base),
        "another coordinator may have issued a permit just now"
    );
    let later = base + Duration::from_secs(1);
    assert!(try_acquire(&mut issuer, rate, later));
    assert!(!try_acquire(&mut issuer, rate, later));
}

/// A coordinator that was idle for long doesn't issue the permits that nobody used as a burst.
#[test]
fn an_idle_coordinator_saves_no_burst() {
    let base = Instant::now();
    let mut issuer = Issuer::default();
    let mut times = send_times(&mut issuer, RATE_MILLI, 0, 1_000, base);
    times.extend(send_times(&mut issuer, RATE_MILLI, 30_000, 34_000, base));
    assert!(max_per_second(times) <= 3);
}

/// All instances pick the same coordinator for a target, and another one only if that one leaves.
#[test]
fn all_instances_pick_the_same_coordinator() {
    let names = ["edge-1", "edge-2", "edge-3", "edge-4"].map(str::to_owned);
    for target in 0..50 {
        let target = format!("target-{target}");
        let chosen = choose(&target, names.iter()).unwrap();
        assert_eq!(choose(&target, names.iter().rev()), Some(chosen));
        let others = names.iter().filter(|name| *name != chosen);
        assert_ne!(choose(&target, others), Some(chosen));
        let without = names.iter().find(|name| *name != chosen);
        let rest = names.iter().filter(|name| Some(*name) != without);
        assert_eq!(
            choose(&target, rest),
            Some(chosen),
            "a coordinator that stays keeps its targets"
        );
    }
}

/// A rate of zero means no bound.
#[test]
fn a_target_without_a_rate_is_not_paced() {
    assert_eq!(cold_rate(0), None);
}
