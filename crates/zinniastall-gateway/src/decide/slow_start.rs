//! Slow start: limits the rate of requests to a cold target.
//!
//! A target that has just started fails if it gets more than a few requests per second. The limit
//! holds for all instances together, which cannot be counted in time. So only one instance of the
//! region sends to a cold target, chosen by rendezvous hashing. While views differ, two instances
//! may each believe they are the sender; the rate is low enough that both together stay below 1.5
//! times the limit plus three.

use std::time::{Duration, Instant};

use zinniastall_coord::rendezvous::weight;

/// Share of a target's rate that is used. At a rate of 20, two senders at 0.9 each exceed 1.5 times
/// the rate plus three, 33 per second, by three; at 0.7 they stay below it at any rate.
const RATE_SHARE: f64 = 0.7;

/// Returns the instance that may send to a cold target.
pub fn sender<'a>(target: &str, instances: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    instances.max_by_key(|instance| weight(target, instance))
}

/// Paces the requests of one instance to one cold target.
#[derive(Debug, Default)]
pub struct Pacer {
    next: Option<Instant>,
}

impl Pacer {
    /// Returns whether a request may be sent now; `rate_milli` is in thousandths of a request per
    /// second, 0 for no limit.
    ///
    /// The first call starts the pace, and the first request waits for one interval from then:
    /// another instance may have sent a request just before this one took over.
    pub fn is_ready(&mut self, rate_milli: u64, now: Instant) -> bool {
        rate_milli == 0 || *self.next.get_or_insert(now + interval(rate_milli)) <= now
    }

    /// Takes a permit if a request may be sent now, and returns whether it did.
    pub fn try_acquire(&mut self, rate_milli: u64, now: Instant) -> bool {
        if !self.is_ready(rate_milli, now) {
            return false;
        }
        if rate_milli == 0 {
            return true;
        }
        if let Some(next) = self.next {
            let interval = interval(rate_milli);
            // After an idle period the pace starts anew; unused intervals do not add up to a burst.
            let is_overdue = next + interval < now;
            self.next = Some(if is_overdue { now } else { next } + interval);
        }
        true
    }
}

/// Returns the time between two requests.
fn interval(rate_milli: u64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a rate is far below 2^52")]
    Duration::from_secs_f64(1_000.0 / (rate_milli as f64 * RATE_SHARE))
}
