//! When a suspected request may be sent, and how it may be retried.

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;

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

/// Whether a request may be sent despite the crashes that count against it; the strictest is the
/// greatest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clearance {
    /// The request may be sent.
    Free,
    /// The request waits while another copy of it is at a target, but no longer than it may be
    /// held: copies of a popular request must not be turned away.
    Paced,
    /// The request may be sent only while no other copy of it is at a target.
    Alone,
    /// The request waits for the reports of a crash, by which it is judged within a moment.
    Unsettled,
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
pub fn may_retry_after_crash(clearance: Clearance) -> bool {
    clearance < Clearance::Alone
}

/// Suspects of which a copy is being sent or is at a target.
///
/// One request with a suspect is tried at a time: it either finishes and clears it, or crashes a single
/// target. Strong suspects don't share a target either: its crash would count against all of them.
#[derive(Debug)]
pub struct Probes<K>(IndexMap<K, Option<String>>);

impl<K> Default for Probes<K> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<K: Hash + Eq + Copy> Probes<K> {
    /// Marks suspects as in flight; returns `false` if one of them is already.
    pub fn begin(&mut self, suspects: &[K]) -> bool {
        if suspects.iter().any(|suspect| self.0.contains_key(suspect)) {
            return false;
        }
        self.0
            .extend(suspects.iter().map(|suspect| (*suspect, None)));
        true
    }

    /// Returns the targets at which strong suspects other than these are.
    pub fn occupied<'a>(&'a self, suspects: &'a [K]) -> impl Iterator<Item = &'a str> {
        let others = self.0.iter();
        let others = others.filter(move |(other, _)| !suspects.contains(other));
        others.filter_map(|(_, at)| at.as_deref())
    }

    /// Returns whether a strong suspect other than these is at a target.
    pub fn is_occupied(&self, target: &str, suspects: &[K]) -> bool {
        self.occupied(suspects).any(|at| at == target)
    }

    /// Records that strong suspects in flight are sent to a target; returns `false` if another one is
    /// there.
    pub fn enter(&mut self, target: &str, suspects: &[K]) -> bool {
        if self.is_occupied(target, suspects) {
            return false;
        }
        for suspect in suspects {
            if let Some(at) = self.0.get_mut(suspect) {
                *at = Some(target.to_owned());
            }
        }
        true
    }

    /// Marks suspects as no longer in flight.
    pub fn end(&mut self, suspects: &[K]) {
        for suspect in suspects {
            self.0.swap_remove(suspect);
        }
    }
}
