//! How long a plain service works on a request, learned from its answers.
//!
//! Load that this answers: a peak that passes what a region's targets finish. The queue at a target is known as
//! a number of requests; only the time that each takes says whether another region, a trip away, would be
//! quicker, and when an answer would come too late. A service that takes three times as long as assumed
//! gets its queues three times too long, until its targets refuse.

use std::time::Duration;

/// Answers after which an estimate is trusted: until then each counts for as much as all before it.
const WARM_UP_ANSWERS: u32 = 20;
/// Weight of an answer from then on.
const SMOOTHING: f64 = 0.05;
/// By how much one answer may differ from the estimate, up and down, once that is trusted: an answer that was
/// held up on its way, or a target that fails at once, says little about the work.
const MAX_DEVIATION_FACTOR: f64 = 4.0;
/// Shortest and longest estimate.
const ESTIMATE_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(10));

/// Estimate of the work on one request.
#[derive(Debug, Default, Clone, Copy)]
pub struct Estimate {
    seconds: f64,
    answers: u32,
}

impl Estimate {
    /// Returns the estimate; `assumed` counts for as much as one answer.
    pub fn expected(&self, assumed: Duration) -> Duration {
        let assumed_weight = 1.0 / f64::from(self.answers + 1);
        let seconds =
            assumed.as_secs_f64() * assumed_weight + self.seconds * (1.0 - assumed_weight);
        Duration::from_secs_f64(seconds).clamp(ESTIMATE_RANGE.0, ESTIMATE_RANGE.1)
    }

    /// Notes an answer that took some time from a target with so many slots, where so many requests were ahead.
    ///
    /// A request that finds all slots taken waits for its turn: the queue's length in slots is how many times
    /// the work passes until its own is done.
    pub fn observe(&mut self, took: Duration, ahead: u32, slots: u32) {
        let rounds = (f64::from(ahead + 1) / f64::from(slots.max(1))).max(1.0);
        let mut sample = took.as_secs_f64() / rounds;
        let mut weight = 1.0 / f64::from(self.answers + 1);
        if self.answers >= WARM_UP_ANSWERS {
            sample = sample.clamp(
                self.seconds / MAX_DEVIATION_FACTOR,
                self.seconds * MAX_DEVIATION_FACTOR,
            );
            weight = SMOOTHING;
        }
        self.answers = (self.answers + 1).min(WARM_UP_ANSWERS);
        self.seconds += weight * (sample - self.seconds);
    }
}
