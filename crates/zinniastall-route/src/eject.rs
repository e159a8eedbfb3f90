//! Outlier detection: ejects targets that fail repeatedly, within a limit.
//!
//! A target that never responds looks idle, so selection by load would send it ever more requests.
//! After several consecutive failures it receives none for a time that doubles with each ejection.
//! When most targets fail at once, the cause is elsewhere, and ejecting all of them would refuse
//! every request; therefore a minimum share of the targets stays usable.

use std::time::{Duration, Instant};

/// Number of consecutive failures after which a target is ejected.
const FAILURE_THRESHOLD: u32 = 3;
/// Duration of the first ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Detects consecutive failures of one target.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Detector {
    /// Records a failure caused by the target: a lost request, no connection or a passed deadline.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            let backoff = BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(8));
            self.ejected_until = Some(now + backoff.min(MAX_EJECTION_TIME));
            self.ejections += 1;
            // After an ejection, a single failure causes the next one.
            self.failures = FAILURE_THRESHOLD - 1;
        }
    }

    /// Records a response, which resets the failures and the backoff.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Returns when the ejection ends; `None` if the target may be used now.
    pub fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.ejected_until.filter(|until| *until > now)
    }
}

/// Returns for each target whether it may be used, given the ends of the ejections.
///
/// At least the share `floor` of the targets stays usable, those whose ejection ends first; the
/// result has the order of the input.
pub fn usable(ejected_until: &[Option<Instant>], floor: f64) -> Vec<bool> {
    let count = min_usable(ejected_until.len(), floor);
    let mut order: Vec<usize> = (0..ejected_until.len()).collect();
    order.sort_by_key(|index| ejected_until[*index]);
    let mut usable: Vec<bool> = ejected_until.iter().map(Option::is_none).collect();
    for index in order.into_iter().take(count) {
        usable[index] = true;
    }
    usable
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a share of a count of targets"
)]
fn min_usable(count: usize, floor: f64) -> usize {
    (count as f64 * floor).ceil() as usize
}
