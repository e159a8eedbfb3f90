//! Quarantine: requests that crash the processes that run them are not run for ever.
//!
//! A process that crashes takes down everything that it runs, so each of these requests is a suspect and one of them
//! is guilty at most. Three facts tell them apart. A request that finishes anywhere is cleared. A crash counts against
//! a request that was sent when it was suspected already; those under which the first crash came count once together,
//! since a request that is sent by many rides on many processes at any moment. And a request is quarantined only
//! with [`CRASH_LIMIT`] crashes.
//!
//! Instances that share a [`Table`] send each other their [`Suspicion`]s. Merging is commutative, associative and
//! idempotent, so messages may be lost, doubled, late and out of order.
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

use std::{hash::Hash, time::Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Crashes with which a request is quarantined.
pub const CRASH_LIMIT: usize = 3;
/// Crashes with which a request is a strong suspect: one more quarantines it.
pub const STRONG_SUSPECT_CRASHES: usize = CRASH_LIMIT - 1;

/// One run of a process; another one follows its crash.
pub type Run = u64;

/// What is known against a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// How often the request was cleared; what was known before counts no more.
    #[serde(rename = "r")]
    round: u32,
    /// Run that crashed under the request before it was suspected, the least of them.
    #[serde(rename = "f")]
    first: Option<Run>,
    /// Runs that crashed under it when it was suspected, in order, the least [`CRASH_LIMIT`] of them.
    #[serde(rename = "l")]
    later: Vec<Run>,
}

/// What came of merging another instance's suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Merged {
    /// Whether more is known here than before.
    pub is_changed: bool,
    /// Whether the other instance knows less than is known here now.
    pub is_behind: bool,
}

impl Suspicion {
    /// Returns the crashes that count, [`CRASH_LIMIT`] at most.
    pub fn crashes(&self) -> usize {
        let first = self.first.filter(|first| !self.later.contains(first));
        (usize::from(first.is_some()) + self.later.len()).min(CRASH_LIMIT)
    }

    fn crash(&mut self, run: Run, was_suspect: bool) {
        if was_suspect {
            self.later.push(run);
            self.normalize();
        } else {
            self.first = Some(self.first.map_or(run, |first| first.min(run)));
        }
    }

    /// Clears the request: what was known before counts no more.
    pub fn clear(&mut self) {
        *self = Self {
            round: self.round.saturating_add(1),
            ..Self::default()
        };
    }

    /// Takes what another instance knows.
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
#[derive(Debug)]
pub struct Table<K> {
    entries: IndexMap<K, Entry>,
    capacity: usize,
}

#[derive(Debug)]
struct Entry {
    suspicion: Suspicion,
    updated_at: Instant,
}

impl<K: Hash + Eq + Copy + AsRef<[u8]>> Table<K> {
    /// Creates an empty table that holds `capacity` requests at most, one at least.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            capacity: capacity.max(1),
        }
    }

    /// Tells whether nothing was ever known against any request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the crashes that count against a request.
    pub fn crashes(&self, key: K) -> usize {
        self.suspicion(key).map_or(0, Suspicion::crashes)
    }

    /// Tells whether a request is not to be run any more.
    pub fn is_quarantined(&self, key: K) -> bool {
        self.crashes(key) >= CRASH_LIMIT
    }

    /// Returns what is known against a request.
    pub fn suspicion(&self, key: K) -> Option<&Suspicion> {
        self.entries.get(&key).map(|held| &held.suspicion)
    }

    /// Returns the requests that are suspected strongly or quarantined.
    pub fn strong(&self) -> impl Iterator<Item = (K, &Suspicion)> {
        let held = self.entries.iter();
        let all = held.map(|(key, held)| (*key, &held.suspicion));
        all.filter(|(_, suspicion)| suspicion.crashes() >= STRONG_SUSPECT_CRASHES)
    }

    /// Returns how many requests are quarantined.
    pub fn quarantined(&self) -> usize {
        let strong = self.strong();
        strong
            .filter(|(_, held)| held.crashes() >= CRASH_LIMIT)
            .count()
    }

    /// Notes that a run crashed under a request; `was_suspect` tells whether that was suspected when it was sent.
    /// Tells whether this is news.
    pub fn crash(&mut self, key: K, run: Run, was_suspect: bool, now: Instant) -> bool {
        self.change(key, now, |suspicion| suspicion.crash(run, was_suspect))
    }

    /// Notes that a request finished; tells whether that clears it.
    pub fn finish(&mut self, key: K, now: Instant) -> bool {
        self.crashes(key) > 0 && self.change(key, now, Suspicion::clear)
    }

    /// Takes what another instance knows.
    pub fn merge(&mut self, key: K, other: &Suspicion, now: Instant) -> Merged {
        let is_changed = self.change(key, now, |suspicion| suspicion.merge(other));
        let held = self.suspicion(key);
        Merged {
            is_changed,
            is_behind: held.is_some_and(|held| held != other),
        }
    }

    /// Returns a digest of all strong suspicions; tables that know the same have the same.
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

    /// Forgets the request against which the least is known, the longest untouched of these.
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
