//! When a suspected request may be sent, and how it may be retried.

use std::{hash::Hash, time::Duration};

use indexmap::IndexSet;

use super::{CRASH_LIMIT, STRONG_SUSPECT_CRASHES};

/// Interval at which a request that is held because another copy runs checks whether it may be sent.
pub const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Time after which a caller may send a request again that was held in vain. Most requests finish
/// within it.
pub const HELD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Share of the time in which an answer is useful that a request may be held.
pub const HOLD_SHARE: f64 = 0.5;
/// Longest time that a request may be held.
pub const MAX_HOLD: Duration = HELD_RETRY_AFTER;

/// Whether a request may be sent despite the crashes that count against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearance {
    /// The request may be sent.
    Free,
    /// The request waits while another copy of it is at a target, but no longer than it may be
    /// held: copies of a popular request must not be turned away.
    Paced,
    /// The request may be sent only while no other copy of it is at a target.
    Alone,
    /// The request is quarantined.
    Refused,
}

impl Clearance {
    /// Returns the clearance of a request with this number of crashes.
    pub const fn of(crashes: usize) -> Self {
        match crashes {
            CRASH_LIMIT.. => Self::Refused,
            STRONG_SUSPECT_CRASHES => Self::Alone,
            0 => Self::Free,
            _ => Self::Paced,
        }
    }
}

/// Returns whether the system may send a request again by itself after one of its attempts crashed
/// a target. A strong suspect would crash the next target at once.
pub const fn may_retry_after_crash(crashes: usize) -> bool {
    crashes < STRONG_SUSPECT_CRASHES
}

/// Suspects of which a copy is at a target.
///
/// One copy is tried at a time: it either finishes and is cleared, or crashes a single target.
#[derive(Debug)]
pub struct Probes<K>(IndexSet<K>);

impl<K> Default for Probes<K> {
    fn default() -> Self {
        Self(IndexSet::new())
    }
}

impl<K: Hash + Eq> Probes<K> {
    /// Marks a suspect as in flight; returns `false` if it is already.
    pub fn begin(&mut self, request: K) -> bool {
        self.0.insert(request)
    }

    /// Marks a suspect as no longer in flight.
    pub fn end(&mut self, request: &K) {
        self.0.swap_remove(request);
    }
}
