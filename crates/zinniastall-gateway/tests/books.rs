//! What an instance's tracker knows of the routes that use a service.

use std::time::{Duration, Instant};

use zinniastall_gateway::tracker::{Demand, Tracker};

const fn usage(priority: u8, gap_ms: u64) -> Demand {
    Demand {
        priority,
        route_priority: priority,
        objective_ms: 1_000,
        gap_ms,
    }
}

/// Operators keep spare routes for later. A route that nobody uses must neither push others back in
/// the queue nor keep the queue short for streams that don't run.
#[test]
fn only_routes_in_use_affect_others() {
    let now = Instant::now();
    let mut tracker = Tracker::default();
    assert_eq!(tracker.min_gap("s", now), Duration::ZERO);
    tracker.record_demand("s", usage(0, 900), now);
    tracker.record_demand("s", usage(0, 600), now);
    tracker.record_demand("s", usage(1, 0), now);
    tracker.record_demand("other", usage(0, 100), now);
    assert_eq!(tracker.min_gap("s", now), Duration::from_millis(600));
    assert_eq!(
        tracker.rank("s", 2, now),
        2,
        "two priorities, on three routes"
    );
    let later = now + Duration::from_secs(8);
    tracker.record_demand("s", usage(0, 900), later);
    let after = now + Duration::from_secs(12);
    assert_eq!(tracker.min_gap("s", after), Duration::from_millis(900));
    assert_eq!(tracker.rank("s", 2, after), 1);
}
