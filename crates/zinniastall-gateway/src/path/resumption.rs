//! Recognises an instance that has just started, or goes on after a suspension.
//!
//! Whatever it knows may be out of date, and it is told what is new within moments, so requests wait
//! for that. An instance that lost touch while it ran has asked all along; waiting would only delay its
//! requests.

use std::{cell::Cell, time::Duration};

use crate::{clock::Moment, neighbours::beliefs::MAX_PAUSE};

/// Time for which requests wait. After a loss of all power, a leader is elected and has committed
/// within it.
pub(super) const MAX_HOLD: Duration = Duration::from_millis(1_200);

/// When this instance was last seen to run, and until when requests wait.
#[derive(Debug, Default)]
pub(super) struct Resumption {
    seen: Cell<Option<Moment>>,
    hold_until: Cell<Moment>,
}

impl Resumption {
    /// Notices a start or a suspension. To be called before decisions, and several times within
    /// [`MAX_PAUSE`].
    pub(super) fn observe(&self, now: Moment) {
        let seen = self.seen.replace(Some(now));
        if seen.is_none_or(|seen| now.saturating_sub(seen) > MAX_PAUSE) {
            self.hold_until.set(now + MAX_HOLD);
        }
    }

    /// Returns whether this instance has started or gone on within [`MAX_HOLD`].
    pub(super) fn is_recent(&self, now: Moment) -> bool {
        now < self.hold_until.get()
    }
}
