//! Parts with which a request has finished, and those of them that are excused at their next crash.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::Run;

/// Parts in each of the two generations.
const MAX_PER_GENERATION: usize = 2_048;
/// Crashed processes of which the excused parts are kept; all requests that one had report its crash
/// within a moment.
const MAX_CRASHES: usize = 16;
/// Time between two requests whose parts are remembered while nothing is suspected. The digests of a
/// long prompt take a third of a millisecond at most, so this costs under one percent of a core.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Parts that have finished, and whether the next crash of each is excused; those that finished longest
/// ago are forgotten first.
#[derive(Debug, Clone)]
pub(super) struct Finishes<K> {
    recent: IndexMap<K, bool>,
    older: IndexMap<K, bool>,
    /// Parts that were excused, by the run that crashed.
    excused: IndexMap<Run, IndexSet<K>>,
    sampled_at: Option<Instant>,
}

impl<K> Default for Finishes<K> {
    fn default() -> Self {
        Self {
            recent: IndexMap::new(),
            older: IndexMap::new(),
            excused: IndexMap::new(),
            sampled_at: None,
        }
    }
}

impl<K: Hash + Eq + Copy> Finishes<K> {
    /// Returns whether it is time to remember a finish while nothing is suspected.
    pub(super) fn is_sample_due(&mut self, now: Instant) -> bool {
        let is_due = |last| now.saturating_duration_since(last) >= SAMPLE_INTERVAL;
        let is_due = self.sampled_at.is_none_or(is_due);
        if is_due {
            self.sampled_at = Some(now);
        }
        is_due
    }

    /// Records that a request with a part has finished, and whether that excuses the part.
    pub(super) fn record(&mut self, part: K, is_excused: bool) {
        if self.recent.len() >= MAX_PER_GENERATION && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, is_excused);
    }

    /// Returns whether a request with a part has finished.
    pub(super) fn has(&self, part: &K) -> bool {
        self.recent.contains_key(part) || self.older.contains_key(part)
    }

    /// Withdraws the excuse of a part; returns whether it had one.
    pub(super) fn withdraw_excuse(&mut self, part: K) -> bool {
        let held = [&mut self.recent, &mut self.older];
        let excuses = held.map(|parts| parts.get_mut(&part).map(std::mem::take));
        excuses.contains(&Some(true))
    }

    /// Returns whether a part is excused for the crash of a run, which uses its excuse up.
    pub(super) fn excuse(&mut self, part: K, run: Run) -> bool {
        let is_used = |parts: &IndexSet<K>| parts.contains(&part);
        if self.excused.get(&run).is_some_and(is_used) {
            return true;
        }
        if !self.withdraw_excuse(part) {
            return false;
        }
        self.excused.entry(run).or_default().insert(part);
        let surplus = self.excused.len().saturating_sub(MAX_CRASHES);
        self.excused.drain(..surplus);
        true
    }
}
