//! Outlier detection: ejects targets that fail.
//!
//! A target's own health report may be wrong, so only the results of its requests count.
//! Consecutive failures eject a target, for twice as long each time; the first success resets that
//! time. A target that fails only some of its requests is ejected by its failure rate.

use std::time::{Duration, Instant};

/// Consecutive failures that eject a target. A single failure may be the request's own fault, or a
/// connection that broke while idle.
const EJECTION_FAILURES: u32 = 3;
/// Failure rate that ejects a target. A service may fail a seventh of its requests for reasons of
/// its own.
const EJECTION_FAILURE_RATE: f64 = 0.45;
/// Weight of the newest result in the failure rate.
const SMOOTHING: f64 = 0.15;
/// Duration of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection. It bounds how long a recovered target goes unnoticed.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Results of one target, as seen by this instance.
#[derive(Debug, Default)]
pub struct Record {
    consecutive_failures: u32,
    failure_rate: f64,
    ejected_until: Option<Instant>,
    last_ejection: Option<Duration>,
}

impl Record {
    /// Records a successful request.
    pub fn success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - SMOOTHING;
        self.last_ejection = None;
    }

    /// Records a failed request and returns the remaining ejection time, if the target is ejected
    /// now.
    pub fn failure(&mut self, now: Instant) -> Option<Duration> {
        self.consecutive_failures += 1;
        self.failure_rate += SMOOTHING * (1.0 - self.failure_rate);
        if self.consecutive_failures < EJECTION_FAILURES
            && self.failure_rate < EJECTION_FAILURE_RATE
        {
            return None;
        }
        Some(self.eject(now))
    }

    /// Records that the target is unreachable and returns its remaining ejection time.
    pub fn unreachable(&mut self, now: Instant) -> Duration {
        self.consecutive_failures += 1;
        self.eject(now)
    }

    /// Returns whether the target is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    fn eject(&mut self, now: Instant) -> Duration {
        if let Some(until) = self.ejected_until.filter(|until| *until > now) {
            return until - now;
        }
        let time = self
            .last_ejection
            .map_or(FIRST_EJECTION, |last| (last * 2).min(MAX_EJECTION));
        self.last_ejection = Some(time);
        self.ejected_until = Some(now + time);
        self.failure_rate = 0.0;
        time
    }
}
