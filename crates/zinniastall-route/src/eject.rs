//! Ejects targets that fail again and again, but never too many of them.
//!
//! A target that answers nothing looks idle, so a choice by load sends it ever more requests. After
//! some failures in a row it gets none for a while, which doubles each time. When most targets fail
//! at once the cause is elsewhere, and ejecting them all would refuse everything; a floor keeps
//! some in use.

use std::time::{Duration, Instant};

/// Failures in a row that eject a target.
const FAILURE_THRESHOLD: u32 = 3;
/// First ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// One target's record of failures.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Detector {
    /// Takes note of a failure that is the target's: lost, unreachable or late.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            let backoff = BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(8));
            self.ejected_until = Some(now + backoff.min(MAX_EJECTION_TIME));
            self.ejections += 1;
            // One more failure after the ejection is enough for the next.
            self.failures = FAILURE_THRESHOLD - 1;
        }
    }

    /// Takes note of an answer.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Returns when the target may be used again; `None` when it may be used now.
    pub fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.ejected_until.filter(|until| *until > now)
    }
}

/// Returns which targets may be used, given each one's end of ejection.
///
/// At least `floor` of them may, those whose ejection ends first; the result has the order of the
/// input.
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
