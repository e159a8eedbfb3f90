//! Quarantine of requests that crash the processes that run them.
//!
//! A process that crashes takes down all requests that it runs. Each of them is a suspect, and at
//! most one of them is the cause. Five rules tell them apart:
//!
//! - A request that finishes anywhere is cleared.
//! - A crash counts if all earlier crashes were known when the request was sent. Crashes of copies
//!   that were sent with the same crashes known count once together: a popular request runs on many
//!   processes at any moment, and many of them may crash at once.
//! - A crash doesn't count against a request that was sent when the crash was known: the process
//!   was not there to run it.
//! - A request is quarantined only at [`CRASH_LIMIT`] crashes.
//! - A request that one more crash would quarantine runs where no other such request does.
//!
//! Instances that share a [`Table`] send each other their [`Suspicion`]s. Merging is commutative,
//! associative and idempotent, so messages may be lost, duplicated, delayed and reordered.
//! [`Suspects`] tracks what has to be sent; [`Clearance`] and [`Probes`] decide whether a request
//! may run.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//! use zinniastall_coord::quarantine::Table;
//!
//! let now = Instant::now();
//! let mut table = Table::new(1_000);
//! table.crash(b"request", 1, false, now);
//! table.crash(b"request", 2, true, now);
//! assert!(!table.is_quarantined(b"request"));
//! table.crash(b"request", 3, true, now);
//! assert!(table.is_quarantined(b"request"));
//! table.finish(b"request", now);
//! assert!(!table.is_quarantined(b"request"));
//! ```

mod probe;
mod suspects;

use std::{hash::Hash, time::Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use probe::{
    Clearance, HELD_RETRY_AFTER, HOLD_POLL_INTERVAL, HOLD_SHARE, MAX_HOLD, Probes,
    may_retry_after_crash,
};
pub use suspects::{Change, Known, Scope, Sent, Suspects};

use crate::rendezvous;

/// Number of crashes at which a request is quarantined.
pub const CRASH_LIMIT: usize = 3;
/// Number of crashes at which a request is a strong suspect: one more quarantines it.
pub const STRONG_SUSPECT_CRASHES: usize = CRASH_LIMIT - 1;

/// Number of a process run; a process that restarts after a crash begins another run.
pub type Run = u64;

/// Returns the number of a run of a named process.
pub fn run(name: &str, incarnation: u64) -> Run {
    rendezvous::weight(name, &incarnation.to_string())
}

/// The crashes that count against a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// How often the request was cleared; crashes of earlier rounds no longer count.
    #[serde(rename = "r")]
    round: u32,
    /// Lowest run that crashed with a copy that was sent before the request was suspected.
    #[serde(rename = "f")]
    first: Option<Run>,
    /// The lowest [`CRASH_LIMIT`] runs that crashed with a copy that was sent while the request was
    /// suspected, in ascending order.
    #[serde(rename = "l")]
    later: Vec<Run>,
}

/// Result of merging another instance's suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Merged {
    /// Whether the local suspicion changed.
    pub is_changed: bool,
    /// Whether the other instance knows less than this one does now.
    pub is_behind: bool,
}

impl Suspicion {
    /// Returns the number of crashes that count, at most [`CRASH_LIMIT`].
    pub fn crashes(&self) -> usize {
        let first = self.first.filter(|first| !self.later.contains(first));
        (usize::from(first.is_some()) + self.later.len()).min(CRASH_LIMIT)
    }

    /// Returns whether both suspicions have been cleared equally often.
    const fn is_same_round(&self, other: &Self) -> bool {
        self.round == other.round
    }

    /// Returns the runs of processes that crashed with the request.
    fn runs(&self) -> impl Iterator<Item = Run> {
        self.first.into_iter().chain(self.later.iter().copied())
    }

    fn crash(&mut self, run: Run, was_suspect: bool) {
        if was_suspect {
            self.later.push(run);
            self.normalize();
        } else {
            self.first = Some(self.first.map_or(run, |first| first.min(run)));
        }
    }

    /// Clears the request; earlier crashes no longer count.
    pub fn clear(&mut self) {
        *self = Self {
            round: self.round.saturating_add(1),
            ..Self::default()
        };
    }

    /// Merges what another instance knows.
    pub fn merge(&mut self, other: &Self) {
        if other.round < self.round {
            return;
        }
        if other.round > self.round {
            *self = other.clone();
        }
        self.later.extend(&other.later);
        self.normalize();
        self.first = match (self.first, other.first) {
            (Some(one), Some(two)) => Some(one.min(two)),
            (one, two) => one.or(two),
        };
    }

    fn normalize(&mut self) {
        self.later.sort_unstable();
        self.later.dedup();
        self.later.truncate(CRASH_LIMIT);
    }
}

/// Suspicions by request.
#[derive(Debug, Clone)]
pub struct Table<K> {
    entries: IndexMap<K, Entry>,
    capacity: usize,
}

#[derive(Debug, Clone)]
struct Entry {
    suspicion: Suspicion,
    updated_at: Instant,
}

impl<K: Hash + Eq + Copy + AsRef<[u8]>> Table<K> {
    /// Creates an empty table that holds at most `capacity` requests, and at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            capacity: capacity.max(1),
        }
    }

    /// Returns whether no suspicion is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of crashes that count against a request.
    pub fn crashes(&self, key: K) -> usize {
        self.suspicion(key).map_or(0, Suspicion::crashes)
    }

    /// Returns whether a request must not run any more.
    pub fn is_quarantined(&self, key: K) -> bool {
        self.crashes(key) >= CRASH_LIMIT
    }

    /// Returns the suspicion against a request.
    pub fn suspicion(&self, key: K) -> Option<&Suspicion> {
        self.entries.get(&key).map(|held| &held.suspicion)
    }

    /// Returns the requests that are strong suspects or quarantined.
    pub fn strong(&self) -> impl Iterator<Item = (K, &Suspicion)> {
        let held = self.entries.iter();
        let all = held.map(|(key, held)| (*key, &held.suspicion));
        all.filter(|(_, suspicion)| suspicion.crashes() >= STRONG_SUSPECT_CRASHES)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        let strong = self.strong();
        strong
            .filter(|(_, held)| held.crashes() >= CRASH_LIMIT)
            .count()
    }

    /// Records that a run crashed with a request; `was_suspect` states whether the request was
    /// suspected when it was sent. Returns whether the suspicion changed.
    pub fn crash(&mut self, key: K, run: Run, was_suspect: bool, now: Instant) -> bool {
        self.change(key, now, |suspicion| suspicion.crash(run, was_suspect))
    }

    /// Records that a request finished; returns whether that cleared it.
    pub fn finish(&mut self, key: K, now: Instant) -> bool {
        self.crashes(key) > 0 && self.change(key, now, Suspicion::clear)
    }

    /// Merges what another instance knows.
    pub fn merge(&mut self, key: K, other: &Suspicion, now: Instant) -> Merged {
        let is_changed = self.change(key, now, |suspicion| suspicion.merge(other));
        let held = self.suspicion(key);
        Merged {
            is_changed,
            is_behind: held.is_some_and(|held| held != other),
        }
    }

    /// Returns a digest of all strong suspicions; it is equal for tables with equal strong
    /// suspicions.
    pub fn digest(&self) -> u64 {
        let digest = |(key, suspicion): (K, &Suspicion)| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(key.as_ref());
            hasher.update(&suspicion.round.to_le_bytes());
            let first = suspicion.first.unwrap_or_default();
            hasher.update(&first.to_le_bytes());
            for run in &suspicion.later {
                hasher.update(&run.to_le_bytes());
            }
            let mut bytes = [0; 8];
            hasher.finalize_xof().fill(&mut bytes);
            u64::from_le_bytes(bytes)
        };
        self.strong().map(digest).fold(0, u64::wrapping_add)
    }

    fn change(&mut self, key: K, now: Instant, change: impl FnOnce(&mut Suspicion)) -> bool {
        let before = self.suspicion(key).cloned().unwrap_or_default();
        let mut after = before.clone();
        change(&mut after);
        if after == before {
            return false;
        }
        if !self.entries.contains_key(&key) {
            self.evict();
        }
        let held = Entry {
            suspicion: after,
            updated_at: now,
        };
        self.entries.insert(key, held);
        true
    }

    /// Evicts the request with the fewest crashes if the table is full; among equals, the one that
    /// was updated least recently.
    fn evict(&mut self) {
        if self.entries.len() < self.capacity {
            return;
        }
        let held = self.entries.values().enumerate();
        let least = held.min_by_key(|(_, held)| (held.suspicion.crashes(), held.updated_at));
        if let Some((at, _)) = least {
            self.entries.swap_remove_index(at);
        }
    }
}
