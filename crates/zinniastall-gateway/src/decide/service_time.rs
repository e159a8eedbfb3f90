//! Estimates how long a plain service works on a request, from its answers.
//!
//! The estimate matters when a peak exceeds the capacity of a region's targets. A target's queue is
//! known as a number of requests; only the time per request tells whether another region, a round
//! trip away, would be quicker and when an answer would come too late. If a service takes three
//! times as long as assumed, its queues grow three times too long, until its targets refuse
//! requests.

use std::time::Duration;

/// Answers until the estimate is trusted. Until then it is the plain average of all answers.
const WARM_UP_ANSWERS: u32 = 20;
/// Weight of each later answer in the exponentially weighted moving average.
const SMOOTHING: f64 = 0.05;
/// Factor by which an answer may deviate from a trusted estimate, up or down. An answer delayed in
/// transit, or a target that fails at once, says little about the service time.
const MAX_DEVIATION_FACTOR: f64 = 4.0;
/// Shortest and longest estimate.
const ESTIMATE_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(10));

/// Estimated service time of one request.
#[derive(Debug, Default, Clone, Copy)]
pub struct Estimate {
    seconds: f64,
    answers: u32,
}

impl Estimate {
    /// Returns the estimate; `assumed` counts as much as one answer.
    pub fn expected(&self, assumed: Duration) -> Duration {
        let assumed_weight = 1.0 / f64::from(self.answers + 1);
        let seconds =
            assumed.as_secs_f64() * assumed_weight + self.seconds * (1.0 - assumed_weight);
        Duration::from_secs_f64(seconds).clamp(ESTIMATE_RANGE.0, ESTIMATE_RANGE.1)
    }

    /// Records an answer that took `took` from a target with `slots` slots, behind `ahead` other
    /// requests.
    ///
    /// A request that finds all slots taken waits for its turn, so the queue length divided by the
    /// slots is the number of service times that pass until it is done.
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
