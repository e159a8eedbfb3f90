//! Quarantine of requests, and of parts that requests share, that crash the processes that run them.
//!
//! A process that crashes takes down all requests that it runs. Each of them is a suspect with all its
//! parts ([`Subjects`]), and few of them are the cause. These rules, which are those of adaptive group
//! testing, tell them apart:
//!
//! - A request that finishes anywhere is cleared, and so are its parts.
//! - A crash counts if all earlier crashes were known when the request was sent. Crashes of copies
//!   that were sent with the same crashes known count once together: a popular request runs on many
//!   processes at any moment, and many of them may crash at once.
//! - A crash doesn't count against a request that was sent when the crash was known: the process
//!   was not there to run it.
//! - A request is quarantined only at [`CRASH_LIMIT`] crashes.
//! - A request that one more crash would quarantine runs where no other such request does.
//! - A crash under a quarantined suspect doesn't count against a weaker one, which rode along.
//! - Of two suspects that the same crashes speak against, neither is rejected without the other.
//! - A part of a request that finished earlier is excused once, and isn't blamed for some crashes that
//!   parts which never finished explain together.
//!
//! Instances that share a [`Table`] send each other their [`Suspicion`]s. Merging is commutative,
//! associative and idempotent, so messages may be lost, duplicated, delayed and reordered.
//! [`Suspects`] tracks what has to be sent; [`Standing`], [`Permits`] and [`Probes`] decide whether a
//! request may run.
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

mod finishes;
mod judgement;
mod permits;
mod probe;
mod subjects;
mod suspects;
mod suspicion;

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

pub use judgement::{Judgement, Standing};
pub use permits::{Permits, Trials};
pub use probe::{
    Clearance, HELD_RETRY_AFTER, HOLD_POLL_INTERVAL, HOLD_SHARE, MAX_HOLD, Probes,
    may_retry_after_crash,
};
pub use subjects::Subjects;
pub use suspects::{Change, Known, Sent, Suspects};
pub use suspicion::{Suspicion, has_new_crash};

use crate::rendezvous;

/// Number of crashes at which a request is quarantined.
pub const CRASH_LIMIT: usize = 3;
/// Number of crashes at which a request is a strong suspect: one more quarantines it.
pub const STRONG_SUSPECT_CRASHES: usize = CRASH_LIMIT - 1;

/// Time within which all instances know how a request ended.
const NEWS_TIME: Duration = Duration::from_millis(100);

/// Number of a process run; a process that restarts after a crash begins another run.
pub type Run = u64;

/// Returns the number of a run of a named process.
pub fn run(name: &str, incarnation: u64) -> Run {
    rendezvous::weight(name, &incarnation.to_string())
}

/// Identity of a request, or of a part that requests share.
pub trait Key: Hash + Eq + Copy + AsRef<[u8]> {
    /// Returns whether it is that of a part.
    fn is_part(&self) -> bool;
}

impl<const N: usize> Key for [u8; N] {
    fn is_part(&self) -> bool {
        false
    }
}

impl<const N: usize> Key for &[u8; N] {
    fn is_part(&self) -> bool {
        false
    }
}

/// Result of merging another instance's suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Merged {
    /// Whether the local suspicion changed.
    pub is_changed: bool,
    /// Whether the other instance knows less than this one does now.
    pub is_behind: bool,
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

impl<K: Key> Table<K> {
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

    /// Returns the number of suspects, including those that were cleared.
    pub fn len(&self) -> usize {
        self.entries.len()
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

    /// Returns when the suspicion against a request last changed.
    pub fn updated_at(&self, key: K) -> Option<Instant> {
        self.entries.get(&key).map(|held| held.updated_at)
    }

    /// Returns all suspects, including those that were cleared.
    pub(crate) fn all(&self) -> impl Iterator<Item = (K, &Suspicion)> {
        let held = self.entries.iter();
        held.map(|(key, held)| (*key, &held.suspicion))
    }

    /// Returns the requests that are strong suspects or quarantined.
    pub fn strong(&self) -> impl Iterator<Item = (K, &Suspicion)> {
        self.all()
            .filter(|(_, suspicion)| suspicion.crashes() >= STRONG_SUSPECT_CRASHES)
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

    /// Records that a request with a suspected part had finished before a crash.
    pub(crate) fn mark_finished_before(&mut self, part: K) {
        if let Some(held) = self.entries.get_mut(&part) {
            held.suspicion.set_had_finished();
        }
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
            is_behind: held.is_some_and(|held| !held.has_same_crashes(other)),
        }
    }

    /// Returns a digest of all strong suspicions; it is equal for tables with equal strong
    /// suspicions.
    pub fn digest(&self) -> u64 {
        let digest = |(key, suspicion): (K, &Suspicion)| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(key.as_ref());
            suspicion.hash_into(&mut hasher);
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
