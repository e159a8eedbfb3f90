//! The leader's lease: how long it may act without asking the others.
//!
//! A lease starts when the leader *sent* the heartbeats that a majority has since acknowledged, and
//! lasts less than the time for which a follower refuses votes after hearing a leader. While it
//! holds, no other leader can have been elected, as long as clock rates differ by less than the
//! margin of [`Timing`](crate::election::Timing).
//!
//! A lease may run out between its check and its use if the process is paused in between. Nothing
//! in the process can close that gap; the receiver has to bound it. A target that checks fencing
//! tokens does so with a [`Fence`](crate::fence::Fence). Elsewhere a new leader waits for the old
//! lease plus the longest send, and reads the state back afterwards.

use std::time::{Duration, Instant};

use crate::replica::Term;

/// The right to act as the only leader until an instant of the monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Term in which the lease was gained.
    pub term: Term,
    /// First instant at which the lease no longer holds.
    pub until: Instant,
}

impl Lease {
    /// Returns whether the lease holds; check it directly before each write or answer.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns the remaining time, zero once the lease has run out.
    pub fn left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }
}
