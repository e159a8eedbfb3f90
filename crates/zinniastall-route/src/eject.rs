//! Ejects targets that fail again and again, but never too many of them.
//!
//! A target that answers nothing looks idle, so a choice by load sends it ever more requests. After
//! some failures in a row it gets none for a while, which doubles each time. When most targets fail
//! at once the cause is elsewhere, and ejecting them all would refuse everything; a floor keeps
//! some in use.

use std::time::{Duration, Instant};

/// Failures in a row that eject a target.
const FAILURES: u32 = 3;
/// First ejection.
const FIRST: Duration = Duration::from_secs(1);
/// Longest ejection.
const LONGEST: Duration = Duration::from_secs(30);

/// One target's record of failures.
#[derive(Debug, Clone, Default)]
pub struct Outlier {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Outlier {
    /// Takes note of a failure that is the target's: lost, unreachable or late.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES {
            let doubled = FIRST.saturating_mul(1 << self.ejections.min(8));
            self.until = Some(now + doubled.min(LONGEST));
            self.ejections += 1;
            // One more failure after the ejection is enough for the next.
            self.failures = FAILURES - 1;
        }
    }

    /// Takes note of an answer.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Returns when the target may be used again; `None` when it may be used now.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }
}

/// Returns which targets may be used, given each one's end of ejection.
///
/// At least `floor` of them may, those whose ejection ends first; the result has the order of the
/// input.
pub fn usable(ejected: &[Option<Instant>], floor: f64) -> Vec<bool> {
    let least = least(ejected.len(), floor);
    let mut order: Vec<usize> = (0..ejected.len()).collect();
    order.sort_by_key(|index| ejected[*index]);
    let mut usable: Vec<bool> = ejected.iter().map(Option::is_none).collect();
    for index in order.into_iter().take(least) {
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
fn least(count: usize, floor: f64) -> usize {
    (count as f64 * floor).ceil() as usize
}
