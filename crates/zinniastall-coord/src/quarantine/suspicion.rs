//! What is known against one suspect.

use serde::{Deserialize, Serialize};

use super::{CRASH_LIMIT, Run};

/// Crashes with copies that were sent before the suspicion that are kept; they count once, and show
/// what rode along.
const MAX_FIRST: usize = 16;
/// Later crashes that are kept.
const MAX_LATER: usize = 8;

/// The crashes that count against a request or a part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Suspicion {
    /// How often the suspect was cleared; crashes of earlier rounds no longer count.
    round: u32,
    /// The lowest runs that crashed with a copy whose crash doesn't count by itself, in ascending
    /// order: it was sent before the suspicion, or beside others with the same crashes known.
    first: Vec<Run>,
    /// The lowest runs that crashed with a copy that was sent while the suspect was suspected, in
    /// ascending order.
    later: Vec<Run>,
    /// Whether a request with the part had finished before a crash, as far as known; always false for a
    /// request. Instances may differ in it: it takes no messages of its own.
    had_finished: bool,
}

/// The form on the wire, which instances read that keep a single first run.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Packed {
    #[serde(rename = "r")]
    round: u32,
    #[serde(rename = "f")]
    first: Option<Run>,
    #[serde(rename = "l")]
    later: Vec<Run>,
    /// Further first runs.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    others: Vec<Run>,
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    had_finished: bool,
}

impl From<Packed> for Suspicion {
    fn from(packed: Packed) -> Self {
        let mut suspicion = Self {
            round: packed.round,
            first: packed.first.into_iter().chain(packed.others).collect(),
            later: packed.later,
            had_finished: packed.had_finished,
        };
        suspicion.normalize();
        suspicion
    }
}

impl From<Suspicion> for Packed {
    fn from(suspicion: Suspicion) -> Self {
        let mut first = suspicion.first.into_iter();
        Self {
            round: suspicion.round,
            first: first.next(),
            later: suspicion.later,
            others: first.collect(),
            had_finished: suspicion.had_finished,
        }
    }
}

impl Suspicion {
    /// Returns the number of crashes that count, at most [`CRASH_LIMIT`].
    pub fn crashes(&self) -> usize {
        self.counted().min(CRASH_LIMIT)
    }

    /// Returns the number of crashes that count.
    pub(super) fn counted(&self) -> usize {
        self.counted_without(|_| false)
    }

    /// Returns the number of crashes that count, without those of some runs.
    pub(super) fn counted_without(&self, is_left_out: impl Fn(Run) -> bool) -> usize {
        let is_open = |run: &&Run| !is_left_out(**run);
        let has_first = self
            .first
            .iter()
            .any(|run| is_open(&run) && !self.later.contains(run));
        usize::from(has_first) + self.later.iter().filter(is_open).count()
    }

    /// Returns the number of runs that crashed with the suspect and are kept, whether they count or not.
    pub(super) fn strength(&self) -> usize {
        let first = self.first.iter().filter(|run| !self.later.contains(run));
        first.count() + self.later.len()
    }

    /// Returns whether both suspicions have been cleared equally often.
    pub(super) const fn is_same_round(&self, other: &Self) -> bool {
        self.round == other.round
    }

    /// Returns the runs of processes that crashed with the suspect.
    pub(super) fn runs(&self) -> impl Iterator<Item = Run> {
        self.first.iter().chain(&self.later).copied()
    }

    /// Returns the runs that crashed with a copy that was sent while the suspect was suspected.
    pub(super) fn later(&self) -> &[Run] {
        &self.later
    }

    /// Returns whether a run crashed with the suspect, as far as kept.
    pub(super) fn has(&self, run: Run) -> bool {
        self.first.contains(&run) || self.later.contains(&run)
    }

    /// Returns whether both name the same crashes of the same round, whatever had finished before.
    pub(super) fn has_same_crashes(&self, other: &Self) -> bool {
        self.round == other.round && self.first == other.first && self.later == other.later
    }

    /// Returns whether a request with the part had finished before a crash.
    pub(super) const fn had_finished(&self) -> bool {
        self.had_finished
    }

    /// Records that a request with the part had finished before a crash.
    pub(super) const fn set_had_finished(&mut self) {
        self.had_finished = true;
    }

    pub(super) fn crash(&mut self, run: Run, was_suspect: bool) {
        let runs = if was_suspect {
            &mut self.later
        } else {
            &mut self.first
        };
        runs.push(run);
        self.normalize();
    }

    /// Clears the suspect; earlier crashes no longer count.
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
        self.first.extend(&other.first);
        self.later.extend(&other.later);
        self.had_finished |= other.had_finished;
        self.normalize();
    }

    /// Adds the suspicion to a digest, equally for equal suspicions.
    pub(super) fn hash_into(&self, hasher: &mut blake3::Hasher) {
        hasher.update(&self.round.to_le_bytes());
        let mut first = self.first.iter().copied();
        hasher.update(&first.next().unwrap_or_default().to_le_bytes());
        for run in self.later.iter().copied().chain(first) {
            hasher.update(&run.to_le_bytes());
        }
    }

    /// Returns the number of bytes that the suspicion takes on the wire at most, with a key.
    pub fn max_wire_bytes(&self) -> usize {
        /// Key, round, names, lengths and whether a request had finished.
        const FIXED: usize = 37;
        /// A number of 64 bits.
        const EACH: usize = 9;
        FIXED + EACH * (self.first.len() + self.later.len())
    }

    fn normalize(&mut self) {
        for (runs, most) in [(&mut self.first, MAX_FIRST), (&mut self.later, MAX_LATER)] {
            runs.sort_unstable();
            runs.dedup();
            runs.truncate(most);
        }
    }
}

/// Returns whether a crash counts against one of some suspects that didn't before; neither list names
/// those against which nothing is known.
pub fn has_new_crash<K: PartialEq>(before: &[(K, Suspicion)], now: &[(K, Suspicion)]) -> bool {
    now.iter().any(|(key, held)| {
        let earlier = before.iter().find(|(other, _)| other == key);
        let earlier = earlier.filter(|(_, earlier)| held.is_same_round(earlier));
        held.counted() > earlier.map_or(0, |(_, earlier)| earlier.counted())
    })
}
