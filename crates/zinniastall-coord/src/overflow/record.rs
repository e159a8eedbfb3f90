//! What a lending region did with the requests that were sent under its grants.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Requests whose outcome is remembered.
const REMEMBERED: usize = 20;
/// Rejections among these at which the region gets no requests for a while.
const MAX_REJECTED: usize = REMEMBERED / 4;
/// Time for which it gets none: some rounds, in which its room follows its load.
const PAUSE: Duration = Duration::from_millis(500);

/// Last outcomes at one lending region.
#[derive(Debug, Clone, Default)]
pub struct Record {
    rejected: VecDeque<bool>,
    paused_until: Option<Instant>,
}

impl Record {
    /// Records whether the region rejected a request; returns whether that begins a pause.
    pub fn observe(&mut self, is_rejected: bool, now: Instant) -> bool {
        self.rejected.push_back(is_rejected);
        if self.rejected.len() > REMEMBERED {
            self.rejected.pop_front();
        }
        let rejections = self.rejected.iter().filter(|rejected| **rejected).count();
        if rejections < MAX_REJECTED {
            return false;
        }
        self.rejected.clear();
        self.paused_until = Some(now + PAUSE);
        true
    }

    /// Returns whether the region gets no requests now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}
