//! Which targets are left alone for a while because they fail.
//!
//! A target's own word that it is well may be wrong, so what counts is how its answers end. Failures
//! in a row take it out, for longer each time; the first success ends that. A target that fails a
//! part of its requests is taken out by its share of failures.

use std::time::{Duration, Instant};

/// Failures in a row that take a target out: one may be the request's own, or a connection that broke
/// at rest.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Share of failures that takes a target out. A service may fail a seventh of its requests for
/// reasons of their own.
const MAX_FAILURE_RATE: f64 = 0.45;
/// Weight of the newest result in the share.
const SMOOTHING: f64 = 0.15;
/// First time out; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest time out. A target that comes back is found at the latest after that.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// One target's results, as one instance saw them.
#[derive(Debug, Default)]
pub struct Record {
    consecutive_failures: u32,
    failure_rate: f64,
    ejected_until: Option<Instant>,
    last_ejection: Option<Duration>,
}

impl Record {
    /// Notes that the target answered in order.
    pub fn success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - SMOOTHING;
        self.last_ejection = None;
    }

    /// Notes that the target failed; returns for how long it is out, if it is out now.
    pub fn failure(&mut self, now: Instant) -> Option<Duration> {
        self.consecutive_failures += 1;
        self.failure_rate += SMOOTHING * (1.0 - self.failure_rate);
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES
            && self.failure_rate < MAX_FAILURE_RATE
        {
            return None;
        }
        Some(self.eject(now))
    }

    /// Notes that the target can't be reached; returns for how long it is out.
    pub fn unreachable(&mut self, now: Instant) -> Duration {
        self.consecutive_failures += 1;
        self.eject(now)
    }

    /// Tells whether the target is out.
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
