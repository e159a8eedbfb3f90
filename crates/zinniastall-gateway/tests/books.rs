//! What an instance's books say of the routes that use a service.

use std::time::{Duration, Instant};

use zinniastall_gateway::{
    decide::budget::Bound,
    tracker::{Demand, Tracker},
};

const fn usage(priority: u8, gap_ms: u64) -> Demand {
    Demand {
        priority,
        route_priority: priority,
        gap_ms,
    }
}

/// Operators keep routes for the day when they are needed. One that nobody uses must neither push others
/// back in the queue nor hold the queue short for streams that don't run.
#[test]
fn only_routes_in_use_affect_others() {
    let now = Instant::now();
    let mut books = Tracker::new(Bound::default());
    assert_eq!(books.min_gap("s", now), Duration::ZERO);
    books.record_demand("s", usage(0, 900), now);
    books.record_demand("s", usage(0, 600), now);
    books.record_demand("s", usage(1, 0), now);
    books.record_demand("other", usage(0, 100), now);
    assert_eq!(books.min_gap("s", now), Duration::from_millis(600));
    assert_eq!(
        books.rank("s", 2, now),
        2,
        "two priorities, on three routes"
    );
    let later = now + Duration::from_secs(8);
    books.record_demand("s", usage(0, 900), later);
    let after = now + Duration::from_secs(12);
    assert_eq!(books.min_gap("s", after), Duration::from_millis(900));
    assert_eq!(books.rank("s", 2, after), 1);
}
