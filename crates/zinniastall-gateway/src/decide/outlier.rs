//! Which targets are left alone for a while because they fail.
//!
//! A target's own word that it is well may be wrong, so what counts is how its answers end. Failures
//! in a row take it out, for longer each time; the first success ends that. A target that fails a
//! part of its requests is taken out by its share of failures.

use std::time::{Duration, Instant};

/// Failures in a row that take a target out: one may be the request's own, or a connection that broke
/// at rest.
const ROW: u32 = 3;
/// Share of failures that takes a target out. A service may fail a seventh of its requests for
/// reasons of their own.
const SHARE: f64 = 0.45;
/// Weight of the newest result in the share.
const WEIGHT: f64 = 0.15;
/// First time out; each further one is twice as long.
const FIRST: Duration = Duration::from_millis(500);
/// Longest time out. A target that comes back is found at the latest after that.
const LONGEST: Duration = Duration::from_secs(4);

/// One target's results, as one instance saw them.
#[derive(Debug, Default)]
pub struct Record {
    row: u32,
    share: f64,
    out_until: Option<Instant>,
    last: Option<Duration>,
}

impl Record {
    /// Notes that the target answered in order.
    pub fn success(&mut self) {
        self.row = 0;
        self.share *= 1.0 - WEIGHT;
        self.last = None;
    }

    /// Notes that the target failed; returns for how long it is out, if it is out now.
    pub fn failure(&mut self, now: Instant) -> Option<Duration> {
        self.row += 1;
        self.share += WEIGHT * (1.0 - self.share);
        if self.row < ROW && self.share < SHARE {
            return None;
        }
        Some(self.take_out(now))
    }

    /// Notes that the target can't be reached; returns for how long it is out.
    pub fn unreachable(&mut self, now: Instant) -> Duration {
        self.row += 1;
        self.take_out(now)
    }

    /// Tells whether the target is out.
    pub fn is_out(&self, now: Instant) -> bool {
        self.out_until.is_some_and(|until| until > now)
    }

    fn take_out(&mut self, now: Instant) -> Duration {
        if let Some(until) = self.out_until.filter(|until| *until > now) {
            return until - now;
        }
        let time = self.last.map_or(FIRST, |last| (last * 2).min(LONGEST));
        self.last = Some(time);
        self.out_until = Some(now + time);
        self.share = 0.0;
        time
    }
}
