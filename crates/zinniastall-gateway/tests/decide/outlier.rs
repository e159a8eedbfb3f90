//! Outlier detection: failing targets are ejected for a while.

use std::time::{Duration, Instant};

use zinniastall_gateway::decide::outlier::Record;

/// A target fails three of five requests and reports itself healthy. It is ejected within thirty
/// requests.
#[test]
fn a_target_with_partial_failures_is_ejected() {
    let now = Instant::now();
    let mut record = Record::default();
    let mut fails = (0..200).map(|at| at % 5 < 3);
    let out = fails.position(|fails| {
        if fails {
            return record.failure(now).is_some();
        }
        record.success();
        false
    });
    assert!(out.is_some_and(|requests| requests < 30), "{out:?}");
}

/// A service fails one request in seven for reasons of its own; its targets stay in use.
#[test]
fn a_service_with_a_base_failure_rate_stays_in_use() {
    let now = Instant::now();
    let mut record = Record::default();
    for at in 0..2_000 {
        if at % 7 == 0 {
            assert_eq!(record.failure(now), None, "after {at} requests");
        } else {
            record.success();
        }
    }
}

/// An unreachable target is tried again after half a second, then with a delay that doubles up to
/// four seconds.
#[test]
fn an_unreachable_target_backs_off_exponentially() {
    let mut now = Instant::now();
    let mut record = Record::default();
    let mut waits = Vec::new();
    for _ in 0..6 {
        let wait = record.unreachable(now);
        assert!(record.is_ejected(now));
        now += wait;
        assert!(!record.is_ejected(now));
        waits.push(wait.as_millis());
    }
    assert_eq!(waits, [500, 1_000, 2_000, 4_000, 4_000, 4_000]);
    record.success();
    assert_eq!(record.unreachable(now), Duration::from_millis(500));
}
