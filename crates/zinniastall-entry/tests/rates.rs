//! Rates of targets, as an entry instance keeps them.

use std::time::{Duration, Instant};

use zinniastall_entry::rates::Rates;

/// Guards against a log line for each answer of a target that names an unreadable rate, and for each
/// of many such targets.
#[test]
fn unreadable_rates_are_logged_within_bounds() {
    let (rates, start) = (Rates::default(), Instant::now());
    let second = Duration::from_secs(1);
    let lines = |target: &str, from: Instant| {
        let answers =
            (0..1_000).filter(|at| rates.logs_unreadable(target, from + second * *at / 200));
        answers.count()
    };
    assert_eq!(lines("engine-1", start), 1);
    assert_eq!(lines("engine-1", start + 11 * second), 1);
    let many = (0..1_000).map(|number| lines(&format!("engine-{number}"), start + 30 * second));
    assert!(many.sum::<usize>() <= 64);
}
