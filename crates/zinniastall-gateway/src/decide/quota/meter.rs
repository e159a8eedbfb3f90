//! Counts of one account's use over the last second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Span over which use is counted, and the parts in which it leaves the count.
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(1);
/// See [`SPAN`].
const BUCKET: Duration = Duration::from_millis(50);

/// Units a second, over the last second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// What callers asked for.
    pub asked: u64,
    /// What was let in.
    pub used: u64,
}

/// Counts over the last second.
#[derive(Debug, Default)]
pub(super) struct Meter {
    buckets: VecDeque<(Instant, Usage)>,
}

impl Meter {
    /// Counts what was asked for.
    pub(super) fn add_asked(&mut self, cost: u64, now: Instant) {
        let bucket = self.bucket(now);
        bucket.asked = bucket.asked.saturating_add(cost);
    }

    /// Counts what was let in.
    pub(super) fn add_used(&mut self, cost: u64, now: Instant) {
        let bucket = self.bucket(now);
        bucket.used = bucket.used.saturating_add(cost);
    }

    /// Takes back what was used up within the last second; before that it counts no more.
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
