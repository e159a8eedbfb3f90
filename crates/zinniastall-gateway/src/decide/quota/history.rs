//! Use of an account's quota by all instances within the last window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use zinniastall_model::routing::Quota;

use super::{Bound, REPAYMENT_TIME, Total, as_f64, meter::RATE_WINDOW};

/// Average delay of totals: half of the time over which they are summed, plus their transit.
const TOTALS_LAG: Duration = Duration::from_millis(800);

/// Multiple of the quota, beside the slack, up to which excess use is paid back. Only a quota that
/// was lowered meanwhile is exceeded by more, and use under the previous quota is not owed.
const MAX_OVERUSE_FACTOR: f64 = 1.25;

/// Use within a window, by time.
#[derive(Debug)]
pub(super) struct History {
    uses: VecDeque<(Instant, f64)>,
    sum: f64,
    /// Time since which the history is complete.
    complete_since: Instant,
}

impl History {
    /// Creates the history of an account without use since `complete_since`.
    pub(super) const fn new(complete_since: Instant) -> Self {
        Self {
            uses: VecDeque::new(),
            sum: 0.0,
            complete_since,
        }
    }

    /// Returns whether all of the last window is known.
    pub(super) fn is_complete(&self, window: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.complete_since) >= window
    }

    /// Returns the units per second that may be admitted, or `None` for no limit.
    pub(super) fn allowed(
        &self,
        quota: &Quota,
        total: Total,
        bound: Bound,
        now: Instant,
    ) -> Option<f64> {
        let Bound { window, slack } = bound;
        let allowance = as_f64(quota.rate) * window.as_secs_f64() + as_f64(quota.burst);
        if self.sum > allowance * MAX_OVERUSE_FACTOR + as_f64(slack) {
            return Some(as_f64(quota.rate));
        }
        let unreported = as_f64(total.usage.used) * TOTALS_LAG.as_secs_f64();
        let remaining = allowance - self.sum - unreported;
        if remaining > 0.0 {
            return None;
        }
        let expiring_rate = self.expiring_rate(window, now);
        Some((expiring_rate + remaining / REPAYMENT_TIME.as_secs_f64()).max(0.0))
    }

    /// Adds used units.
    pub(super) fn add(&mut self, used: f64, now: Instant) {
        if used > 0.0 {
            self.uses.push_back((now, used));
            self.sum += used;
        }
    }

    /// Drops the use before the window.
    pub(super) fn expire(&mut self, window: Duration, now: Instant) {
        while let Some((at, used)) = self.uses.front()
            && *at + window <= now
        {
            self.sum = (self.sum - used).max(0.0);
            self.uses.pop_front();
        }
    }

    /// Adopts another instance's figure for the last window if this one doesn't know all of it. The
    /// figure doesn't say when the units were used; it counts them as just used, so that they leave
    /// the window late, which is the safe side.
    pub(super) fn adopt(&mut self, used: f64, window: Duration, now: Instant) {
        if self.is_complete(window, now) {
            return;
        }
        self.uses.clear();
        self.sum = 0.0;
        self.add(used, now);
        self.complete_since = now.checked_sub(window).unwrap_or(now);
    }

    /// Returns the units used, as far as they are known.
    pub(super) const fn sum(&self) -> f64 {
        self.sum
    }

    /// Returns whether no use is known.
    pub(super) fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// Returns the units per second that leave the window now.
    fn expiring_rate(&self, window: Duration, now: Instant) -> f64 {
        let oldest = self
            .uses
            .iter()
            .take_while(|(at, _)| *at + window <= now + RATE_WINDOW);
        oldest.map(|(_, used)| used).sum::<f64>() / RATE_WINDOW.as_secs_f64()
    }
}
