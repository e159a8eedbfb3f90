//! Meters one account's demand and use over the last second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Span over which units are counted.
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Span of the buckets in which units leave the count.
const BUCKET: Duration = Duration::from_millis(50);

/// Units per second, over the last second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Units demanded by callers.
    pub asked: u64,
    /// Units admitted.
    pub used: u64,
}

/// Counts over the last second.
#[derive(Debug, Default)]
pub(super) struct Meter {
    buckets: VecDeque<(Instant, Usage)>,
}

impl Meter {
    /// Counts demanded units.
    pub(super) fn add_asked(&mut self, cost: u64, now: Instant) {
        let bucket = self.bucket(now);
        bucket.asked = bucket.asked.saturating_add(cost);
    }

    /// Counts admitted units.
    pub(super) fn add_used(&mut self, cost: u64, now: Instant) {
        let bucket = self.bucket(now);
        bucket.used = bucket.used.saturating_add(cost);
    }

    /// Takes back units admitted within the last second; older ones no longer count.
    pub(super) fn refund(&mut self, cost: u64, now: Instant) {
        self.expire(now);
        let mut owed = cost;
        for (_, usage) in self.buckets.iter_mut().rev() {
            let given = owed.min(usage.used);
            usage.used -= given;
            owed -= given;
        }
    }

    /// Returns the counts of the last second.
    pub(super) fn usage(&mut self, now: Instant) -> Usage {
        self.expire(now);
        let usages = self.buckets.iter().map(|(_, usage)| usage);
        usages.fold(Usage::default(), |sum, usage| sum.plus(*usage))
    }

    fn bucket(&mut self, now: Instant) -> &mut Usage {
        self.expire(now);
        let is_open = |(since, _): &(Instant, Usage)| now < *since + BUCKET;
        if !self.buckets.back().is_some_and(is_open) {
            self.buckets.push_back((now, Usage::default()));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    fn expire(&mut self, now: Instant) {
        while self
            .buckets
            .front()
            .is_some_and(|(since, _)| *since + RATE_WINDOW <= now)
        {
            self.buckets.pop_front();
        }
    }
}

impl Usage {
    /// Returns the sum of two usages.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked.saturating_add(other.asked),
            used: self.used.saturating_add(other.used),
        }
    }
}
