//! Last load report of each sender, and their sum.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{
    Load, Loads,
    datagram::{Key, Part, Round},
};

/// Last load report of each sender.
#[derive(Debug)]
pub(super) struct Reports<S> {
    by_sender: IndexMap<S, Report>,
}

#[derive(Debug)]
struct Report {
    round: Round,
    received_at: Instant,
    loads: Loads,
}

impl<S> Default for Reports<S> {
    fn default() -> Self {
        Self {
            by_sender: IndexMap::new(),
        }
    }
}

impl<S: Hash + Eq + Clone> Reports<S> {
    /// Merges a report or a part of it. A part of another round replaces the previous report.
    pub(super) fn receive(&mut self, sender: S, part: &Part, now: Instant) {
        let new = || Report {
            round: part.round,
            received_at: now,
            loads: Loads::default(),
        };
        let held = self.by_sender.entry(sender).or_insert_with(new);
        if held.round != part.round {
            *held = new();
        }
        held.received_at = now;
        held.loads.extend(part.loads());
    }

    /// Replaces a sender's report by a complete one.
    pub(super) fn insert(&mut self, sender: &S, round: Round, loads: Loads, now: Instant) {
        let report = Report {
            round,
            received_at: now,
            loads,
        };
        self.by_sender.insert(sender.clone(), report);
    }

    /// Returns the round of a sender's last report; 0 for none.
    pub(super) fn round(&self, sender: &S) -> Round {
        self.by_sender.get(sender).map_or(0, |held| held.round)
    }

    /// Removes reports older than `ttl`.
    pub(super) fn expire(&mut self, now: Instant, ttl: Duration) {
        let is_fresh = |held: &Report| now.saturating_duration_since(held.received_at) < ttl;
        self.by_sender.retain(|_, held| is_fresh(held));
    }

    /// Returns the load of one target, summed over the reports younger than `ttl`.
    pub(super) fn load_at(&self, target: Key, now: Instant, ttl: Duration) -> Load {
        let is_fresh = |held: &&Report| now.saturating_duration_since(held.received_at) < ttl;
        let fresh = self.by_sender.values().filter(is_fresh);
        let loads = fresh.filter_map(|held| held.loads.get(&target));
        loads.fold(Load::default(), |sum, load| sum.plus(*load))
    }

    /// Returns the sum of all reports.
    pub(super) fn sum(&self) -> Loads {
        let mut sum = Loads::default();
        for held in self.by_sender.values() {
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
