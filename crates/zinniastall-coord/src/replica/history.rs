//! The sets of voters in the log.
//!
//! A set is in force as soon as it is appended, not only once it is committed. If it is truncated
//! from the log, the set before it is in force again.

use super::{Id, Index};
use crate::log::{Entry, Payload};
use crate::voters::Voters;

#[derive(Debug)]
pub(super) struct History {
    sets: Vec<(Index, Voters)>,
    empty: Voters,
}

impl History {
    pub(super) fn new(index: Index, voters: Voters) -> Self {
        Self {
            sets: vec![(index, voters)],
            empty: Voters::default(),
        }
    }

    pub(super) fn current(&self) -> &Voters {
        self.sets.last().map_or(&self.empty, |(_, voters)| voters)
    }

    /// Returns the index of the current set.
    pub(super) fn index(&self) -> Index {
        self.sets.last().map_or(0, |(index, _)| *index)
    }

    pub(super) fn voters_at(&self, index: Index) -> &Voters {
        let set = self.sets.iter().rev().find(|(at, _)| *at <= index);
        set.map_or(&self.empty, |(_, voters)| voters)
    }

    /// Returns the index of the latest committed set if it has voters and a replica isn't a member
    /// of it.
    pub(super) fn removal(&self, id: Id, commit: Index) -> Option<Index> {
        let (index, voters) = self.sets.iter().rev().find(|(at, _)| *at <= commit)?;
        (!voters.voters.is_empty() && !voters.is_member(id)).then_some(*index)
    }

    pub(super) fn record(&mut self, entry: &Entry) {
        if let Payload::Voters(voters) = &entry.payload {
            self.sets.push((entry.index, voters.clone()));
        }
    }

    pub(super) fn truncate(&mut self, from: Index) {
        self.sets.retain(|(index, _)| *index < from);
    }

    /// Discards the sets that a later one at or before `last` has replaced.
    pub(super) fn compact(&mut self, last: Index) {
        let replaced = self
            .sets
            .iter()
            .rposition(|(index, _)| *index <= last)
            .unwrap_or(0);
        self.sets.drain(..replaced);
    }
}
