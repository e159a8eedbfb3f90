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

/// When this instance was last seen to run, and when it started and went on.
#[derive(Debug, Default)]
pub(super) struct Resumption {
    seen: Cell<Option<Moment>>,
    started: Cell<Option<Moment>>,
    resumed: Cell<Option<Moment>>,
}

impl Resumption {
    /// Notices a start or a suspension. To be called before decisions, and several times within
    /// [`MAX_PAUSE`].
    pub(super) fn observe(&self, now: Moment) {
        match self.seen.replace(Some(now)) {
            None => self.started.set(Some(now)),
            Some(seen) if now.saturating_sub(seen) > MAX_PAUSE => self.resumed.set(Some(now)),
            Some(_) => {}
        }
    }

    /// Returns whether this instance has gone on after a suspension within [`MAX_HOLD`].
    pub(super) fn has_resumed(&self, now: Moment) -> bool {
        is_recent(self.resumed.get(), now)
    }

    /// Returns whether this instance has not been suspended since a moment.
    pub(super) fn ran_since(&self, moment: Moment) -> bool {
        self.resumed.get().is_none_or(|resumed| resumed <= moment)
    }

    /// Returns whether this instance has started, or gone on after a suspension, within [`MAX_HOLD`].
    pub(super) fn is_recent(&self, now: Moment) -> bool {
        self.has_resumed(now) || is_recent(self.started.get(), now)
    }
}

fn is_recent(moment: Option<Moment>, now: Moment) -> bool {
    moment.is_some_and(|moment| now.saturating_sub(moment) < MAX_HOLD)
}
