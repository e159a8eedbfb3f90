//! Retries of all instances together stay under one bound, in any window.

use std::time::{Duration, Instant};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use zinniastall_gateway::decide::budget::{Bound, Budget};

const SEED: u64 = 11;
const BOUND: Bound = Bound {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 58,
};

/// One step: the acting instance, the milliseconds since the step before, whether the request
/// fails, and how many instances the acting one takes for alive.
type Step = (usize, u64, bool, usize);

/// Returns the most retries of any window beyond the share of requests that may be retried.
fn max_excess(requests: &[u64], repeats: &[u64]) -> f64 {
    let count = |times: &[u64], from: u64, to: u64| {
        let inside = times.iter().filter(|at| **at >= from && **at < to);
        f64::from(u32::try_from(inside.count()).unwrap())
    };
    let window = 10_000;
    let starts = repeats.iter().copied();
    let excess = starts.map(|start| {
        let repeated = count(repeats, start, start + window);
        let before = start.saturating_sub(window);
        let half = start.saturating_sub(window / 2);
        let requested = count(requests, start, start + window)
            .max(count(requests, before, before + window))
            .max(count(requests, half, half + window));
        repeated - BOUND.ratio * requested
    });
    excess.fold(0.0, f64::max)
}

/// All targets fail, instances come and go, and each assumes a different number of them. The sum of
/// their retries must stay under the bound: beyond it, retries amplify the outage, and the
/// operators' own limit is exceeded.
#[test]
fn the_sum_of_repeats_stays_under_the_bound() {
    println!("seed {SEED}");
    let config = Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let step = (
        0..9_usize,
        0..40_u64,
        prop::bool::weighted(0.9),
        8..12_usize,
    );
    let steps = prop::collection::vec(step, 200..1_500);
    TestRunner::new(config)
        .run(&steps, |steps: Vec<Step>| {
            let start = Instant::now();
            let mut budgets: Vec<Budget> = (0..9).map(|_| Budget::new(BOUND)).collect();
            let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
            for (instance, later, fails, believed) in steps {
                now += later;
                let at = start + Duration::from_millis(now);
                budgets[instance].deposit(at);
                requests.push(now);
                if fails && budgets[instance].withdraw(at, believed) {
                    repeats.push(now);
                }
            }
            let excess = max_excess(&requests, &repeats);
            prop_assert!(
                excess <= f64::from(BOUND.slack),
                "{excess} beyond the share"
            );
            Ok(())
        })
        .unwrap();
}

/// A single instance may use the budget of all, less a margin for instances that join.
#[test]
fn a_single_instance_may_use_most_of_the_bound() {
    let now = Instant::now();
    let mut budget = Budget::new(BOUND);
    let granted = (0..200).filter(|_| budget.withdraw(now, 1)).count();
    assert!((40..=58).contains(&granted), "{granted}");
}

/// An instance that has lost sight of the others keeps to its former part for one window.
#[test]
fn losing_peers_frees_no_budget_at_once() {
    let now = Instant::now();
    let mut budget = Budget::new(BOUND);
    let first = (0..200).filter(|_| budget.withdraw(now, 9)).count();
    let later = now + Duration::from_secs(2);
    let more = (0..200).filter(|_| budget.withdraw(later, 1)).count();
    assert!(first + more <= 58 / 9, "{first} and {more}");
}

/// Guards against a budget that begins anew with each start of an instance.
#[test]
fn instances_that_start_again_keep_to_the_bound() {
    let start = Instant::now();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for life in 0..8 {
        let mut budgets: Vec<Budget> = (0..9).map(|_| Budget::new(BOUND)).collect();
        for step in 0..25 {
            let now = life * 2_500 + step * 100;
            let at = start + Duration::from_millis(now);
            for budget in &mut budgets {
                budget.deposit(at);
                requests.push(now);
                if budget.withdraw(at, 9) {
                    repeats.push(now);
                }
            }
        }
    }
    let excess = max_excess(&requests, &repeats);
    assert!(
        excess <= f64::from(BOUND.slack),
        "{excess} beyond the share"
    );
}
