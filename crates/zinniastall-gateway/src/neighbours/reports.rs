//! Last reports by sender, and their sum.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{
    Load, Loads,
    datagram::{Key, Part, Turn},
};

/// Last reports by sender.
#[derive(Debug)]
pub(super) struct Reports<S> {
    held: IndexMap<S, Report>,
}

#[derive(Debug)]
struct Report {
    turn: Turn,
    since: Instant,
    loads: Loads,
}

impl<S> Default for Reports<S> {
    fn default() -> Self {
        Self {
            held: IndexMap::new(),
        }
    }
}

impl<S: Hash + Eq + Clone> Reports<S> {
    /// Takes a report, or a part of it; a part of another turn replaces what was reported before.
    pub(super) fn hear(&mut self, sender: S, part: &Part, now: Instant) {
        let new = || Report {
            turn: part.turn,
            since: now,
            loads: Loads::default(),
        };
        let held = self.held.entry(sender).or_insert_with(new);
        if held.turn != part.turn {
            *held = new();
        }
        held.since = now;
        held.loads.extend(part.loads());
    }

    /// Notes a whole report.
    pub(super) fn keep(&mut self, sender: &S, turn: Turn, loads: Loads, now: Instant) {
        let report = Report {
            turn,
            since: now,
            loads,
        };
        self.held.insert(sender.clone(), report);
    }

    /// Returns the turn of a sender's last report; 0 for none.
    pub(super) fn turn(&self, sender: &S) -> Turn {
        self.held.get(sender).map_or(0, |held| held.turn)
    }

    /// Forgets reports that are too old.
    pub(super) fn expire(&mut self, now: Instant, old: Duration) {
        let is_fresh = |held: &Report| now.saturating_duration_since(held.since) < old;
        self.held.retain(|_, held| is_fresh(held));
    }

    /// Returns the sum at one target over all reports that are not too old.
    pub(super) fn at(&self, target: Key, now: Instant, old: Duration) -> Load {
        let is_fresh = |held: &&Report| now.saturating_duration_since(held.since) < old;
        let fresh = self.held.values().filter(is_fresh);
        let loads = fresh.filter_map(|held| held.loads.get(&target));
        loads.fold(Load::default(), |sum, load| sum.plus(*load))
    }

    /// Returns the sum of all reports.
    pub(super) fn sum(&self) -> Loads {
        let mut sum = Loads::default();
        for held in self.held.values() {
            add(&mut sum, &held.loads);
        }
        sum
    }
}

/// Adds loads to a sum.
pub(super) fn add(sum: &mut Loads, loads: &Loads) {
    for (target, load) in loads {
        let held = sum.entry(*target).or_default();
        *held = held.plus(*load);
    }
}
