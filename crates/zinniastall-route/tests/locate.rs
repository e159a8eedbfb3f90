//! Service discovery: order, exclusion, spread and slow start.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{SeedableRng, rngs::StdRng};
use zinniastall_model::place::Place;
use zinniastall_route::locate::{Candidate, SLOW_START, locate, weight};

const SEED: u64 = 7;

fn candidate(name: &str, region: &str, zone: &str) -> Candidate {
    Candidate {
        instance: name.to_owned(),
        place: Place::new(region, zone),
        caller_address: format!("{name}:80"),
        load: 0,
        uptime: SLOW_START,
        draining: false,
    }
}

/// Counts how often each candidate comes first in answers to callers of `athens/a`.
fn firsts(candidates: &[Candidate], answers: u32) -> IndexMap<String, u32> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut counts = IndexMap::new();
    for _ in 0..answers {
        let answer = locate(candidates, &Place::new("athens", "a"), true, &mut random);
        *counts
            .entry(answer.instances[0].instance.clone())
            .or_default() += 1;
    }
    counts
}

#[test]
fn nearest_instances_come_first() {
    let candidates = [
        candidate("far", "patras", "a"),
        candidate("region", "athens", "b"),
        candidate("near", "athens", "a"),
    ];
    let mut random = StdRng::seed_from_u64(SEED);
    let answer = locate(&candidates, &Place::new("athens", "a"), true, &mut random);
    let names: Vec<_> = answer
        .instances
        .iter()
        .map(|located| located.instance.as_str())
        .collect();
    assert_eq!(names, ["near", "region", "far"]);
}

#[test]
fn draining_instances_are_left_out() {
    let mut candidates = [candidate("a", "athens", "a"), candidate("b", "athens", "a")];
    candidates[0].draining = true;
    let mut random = StdRng::seed_from_u64(SEED);
    let answer = locate(&candidates, &Place::new("athens", "a"), true, &mut random);
    assert_eq!(answer.instances.len(), 1);
    assert_eq!(answer.instances[0].instance, "b");
}

#[test]
fn disconnected_answers_expire_sooner() {
    let candidates = [candidate("a", "athens", "a")];
    let mut random = StdRng::seed_from_u64(SEED);
    let place = Place::new("athens", "a");
    let whole = locate(&candidates, &place, true, &mut random);
    let cut_off = locate(&candidates, &place, false, &mut random);
    assert!(!cut_off.connected);
    assert!(cut_off.valid < whole.valid);
}

#[test]
fn callers_spread_over_equal_instances() {
    let candidates: Vec<_> = (0..25)
        .map(|i| candidate(&format!("e{i}"), "athens", "a"))
        .collect();
    let counts = firsts(&candidates, 25_000);
    let busiest = counts.values().max().copied().unwrap_or_default();
    println!(
        "busiest to mean over 25 instances, 25000 answers: {}",
        f64::from(busiest) / 1000.0
    );
    assert!(
        busiest < 1_150,
        "busiest instance got {busiest} of a mean of 1000"
    );
}

#[test]
fn new_instance_starts_with_low_weight() {
    let mut candidates: Vec<_> = (0..4)
        .map(|i| candidate(&format!("e{i}"), "athens", "a"))
        .collect();
    candidates[0].uptime = SLOW_START / 10;
    let counts = firsts(&candidates, 10_000);
    assert!(counts["e0"] < 600, "newcomer got {} of 10000", counts["e0"]);
    let weights: Vec<_> = [0, 2, 5, 10, 60]
        .map(|seconds| {
            weight(&Candidate {
                uptime: Duration::from_secs(seconds),
                ..candidates[0].clone()
            })
        })
        .to_vec();
    assert!(weights.is_sorted());
}

#[test]
fn loaded_instances_get_less() {
    let mut candidates = [candidate("a", "athens", "a"), candidate("b", "athens", "a")];
    candidates[0].load = 900;
    let counts = firsts(&candidates, 10_000);
    assert!(
        counts["a"] < 1_200,
        "loaded instance got {} of 10000",
        counts["a"]
    );
}
