//! How many requests one instance keeps at one target.
//!
//! Targets announce their slots, but several instances share a target and none knows the others'
//! requests in time. Each instance therefore finds its own limit: it grows by one for a limit's
//! worth of answers while it is used, and shrinks by a share when the target refuses or reports a
//! queue (additive increase, multiplicative decrease; Chiu and Jain, 1989). Work that a target
//! would queue waits at the instance instead, where priorities, shares and deadlines still count.

use std::time::{Duration, Instant};

/// Factor after a refusal.
const REFUSED_FACTOR: f64 = 0.7;
/// Factor after a report of a queue.
const QUEUED_FACTOR: f64 = 0.9;
/// A limit shrinks at most once in this time: all requests of one overload tell the same news.
const MIN_SHRINK_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the slots at which a target that is new here starts. Its cache and connections are
/// cold, and every instance discovers it at the same moment.
const INITIAL_SHARE: f64 = 0.5;
/// Most requests over the slots. One instance alone can then use every slot, and what the others of its
/// zone add keeps a target from standing idle between two requests. With two batches of each,
/// requests waited where they can neither change their target nor be passed by more urgent ones.
const MAX_SHARE: f64 = 1.0;
/// Share of the limit that must be in use for it to grow.
const MIN_USED_SHARE: f64 = 0.75;

/// How many requests one instance keeps at one target.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    max: f64,
    last_shrink: Option<Instant>,
}

impl Limit {
    /// Creates the limit for a target with these slots.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            value: (slots * INITIAL_SHARE).max(1.0),
            max: slots * MAX_SHARE,
            last_shrink: None,
        }
    }

    /// Returns the limit in requests, at least 1.
    pub fn requests(&self) -> u32 {
        // Between 1 and the slots, which fit.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value lies between 1 and a u32"
        )]
        let requests = self.value as u32;
        requests.max(1)
    }

    /// Takes note of the announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.max = f64::from(slots.max(1)) * MAX_SHARE;
        self.value = self.value.min(self.max);
    }

    /// Takes note of an answer that came while this many requests were in progress.
    pub fn answered(&mut self, in_flight: u32) {
        // The value has a fraction that nobody can use: held against it, a small limit would never
        // look used and stay where it started.
        if f64::from(in_flight) >= f64::from(self.requests()) * MIN_USED_SHARE {
            self.value = (self.value + 1.0 / self.value).min(self.max);
        }
    }

    /// Takes note of a refusal.
    pub fn refused(&mut self, now: Instant) {
        self.shrink(REFUSED_FACTOR, now);
    }

    /// Takes note of a report of the requests that a target runs and queues.
    pub fn reported(&mut self, busy: u32, now: Instant) {
        if f64::from(busy) > self.max {
            self.shrink(QUEUED_FACTOR, now);
        }
    }

    fn shrink(&mut self, factor: f64, now: Instant) {
        let is_recent =
            |last_shrink: Instant| now.saturating_duration_since(last_shrink) < MIN_SHRINK_INTERVAL;
        if self.last_shrink.is_some_and(is_recent) {
            return;
        }
        self.last_shrink = Some(now);
        self.value = (self.value * factor).max(1.0);
    }
}
