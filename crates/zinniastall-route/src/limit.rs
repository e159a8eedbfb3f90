//! Adaptive concurrency limit of one instance at one target.
//!
//! Targets announce their slots, but several instances share a target and none learns of the
//! others' requests in time. Each instance therefore adapts its own limit: the limit grows by one
//! per limit's worth of responses while it is used, and shrinks by a factor when the target refuses
//! a request or reports a queue (additive increase, multiplicative decrease; Chiu and Jain, 1989).
//! Requests that a target would queue wait at the instance instead, where priorities, weights and
//! deadlines still apply.

use std::time::{Duration, Instant};

/// Factor applied to the limit after a refusal.
const REFUSED_FACTOR: f64 = 0.7;
/// Factor applied to the limit after a report of queued requests.
const QUEUED_FACTOR: f64 = 0.9;
/// Minimum time between two decreases: all refusals of one overload carry the same information.
const MIN_SHRINK_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the slots at which the limit of a new target starts. Its cache and connections are
/// cold, and all instances discover it at the same time.
const INITIAL_SLOT_SHARE: f64 = 0.5;
/// Maximum limit as a multiple of the slots. One instance alone can then use every slot, and the
/// requests of the zone's other instances keep the target from idling between two requests. At
/// twice the slots, requests would wait at the target, where they can neither be moved to another
/// target nor be overtaken by more urgent ones.
const MAX_SLOT_FACTOR: f64 = 1.0;
/// Share of the limit that must be in use before it grows.
const MIN_USED_SHARE: f64 = 0.75;

/// Concurrency limit of one instance at one target.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    max: f64,
    last_shrink: Option<Instant>,
}

impl Limit {
    /// Creates the limit of a target with this number of slots.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            value: (slots * INITIAL_SLOT_SHARE).max(1.0),
            max: slots * MAX_SLOT_FACTOR,
            last_shrink: None,
        }
    }

    /// Returns the maximum number of requests in flight, at least 1.
    pub fn requests(&self) -> u32 {
        // Between 1 and the number of slots, which fits.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value lies between 1 and a u32"
        )]
        let requests = self.value as u32;
        requests.max(1)
    }

    /// Applies the announced number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.max = f64::from(slots.max(1)) * MAX_SLOT_FACTOR;
        self.value = self.value.min(self.max);
    }

    /// Records a response that arrived while `in_flight` requests were in flight.
    pub fn answered(&mut self, in_flight: u32) {
        // Compares with the whole number of requests: the fraction cannot be used, and a small
        // limit would otherwise never count as used and never grow.
        if f64::from(in_flight) >= f64::from(self.requests()) * MIN_USED_SHARE {
            self.value = (self.value + 1.0 / self.value).min(self.max);
        }
    }

    /// Records a refusal.
    pub fn refused(&mut self, now: Instant) {
        self.shrink(REFUSED_FACTOR, now);
    }

    /// Records a report of the number of requests that the target runs and queues.
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
