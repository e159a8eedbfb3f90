//! What a region can take from others.
//!
//! Room is a rate that closes a loop: as borrowed requests fill slots and queues, the room of the
//! next round shrinks. A round, a trip between regions and the age of load reports add up to about
//! 0.4 s, so a rate that would fill the free slots within a second does not overshoot.

use std::time::Duration;

use super::Amount;

/// Part of free slots and prefill time that is lent; a fifth is kept for the region's own callers,
/// whose load may rise within the life of a grant.
const LENT: (u64, u64) = (4, 5);
/// Prefill time that an engine has per second, in microseconds.
pub const ENGINE_WORK: u64 = 1_000_000;
/// Thousandths of a request.
const MILLI: u64 = 1_000;
/// Shortest service time that is counted with.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);

/// A usable target and what it has in progress, from all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Requests that it processes at once.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Expected time to prefill the prompts of requests whose answers have not begun.
    pub reading: Duration,
}

/// Returns the room of engines at which requests would be rejected beyond a wait of `bound`.
///
/// An engine that has no slot free lends no prefill time either, and one whose queue has reached
/// the bound lends no slots.
pub fn engines(targets: impl Iterator<Item = Target>, bound: Duration) -> Amount {
    let bound = micros(bound);
    let room = targets.map(|target| {
        let free = u64::from(target.slots.saturating_sub(target.in_flight));
        let left = bound.saturating_sub(micros(target.reading));
        if free == 0 || left == 0 {
            return Amount::default();
        }
        Amount {
            work: super::amount::scale(ENGINE_WORK, left, bound),
            requests: free * MILLI,
        }
    });
    room.fold(Amount::default(), Amount::plus)
        .part(LENT.0, LENT.1)
}

/// Returns the room of a plain service's targets: what their free slots process.
pub fn plain(targets: impl Iterator<Item = Target>, service_time: Duration) -> Amount {
    let free = targets.map(|target| u64::from(target.slots.saturating_sub(target.in_flight)));
    let free = Amount {
        work: 0,
        requests: free.sum(),
    };
    free.part(
        ENGINE_WORK * MILLI,
        micros(service_time.max(MIN_SERVICE_TIME)),
    )
    .part(LENT.0, LENT.1)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
