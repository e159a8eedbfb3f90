//! The leader's lease: how long it may answer without asking the others.
//!
//! A lease starts when the leader *sent* the heartbeats that a majority has since acknowledged, and
//! lasts less than the time for which a follower refuses votes after hearing a leader. While it
//! holds, no other leader can have been elected, as long as clocks run at rates that differ by less
//! than the margin of [`Timing`](crate::election::Timing).
//!
//! A lease that was checked and used after a pause may have run out in between: a process can be
//! frozen between the two. Nothing in the process can close that gap. What bounds it is checked by
//! the receiver: a [`Fence`](crate::fence::Fence) where the target checks numbers; elsewhere a new
//! leader waits for the old lease plus the longest send, and reads the state back afterwards.

use std::time::{Duration, Instant};

use crate::replica::Term;

/// The right to act as the only leader up to an instant of the monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Term in which the lease was gained.
    pub term: Term,
    /// First instant at which the lease no longer holds.
    pub until: Instant,
}

impl Lease {
    /// Tells whether the lease holds, to be asked directly before each write or answer.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns the time left, zero once the lease has run out.
    pub fn left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }
}
