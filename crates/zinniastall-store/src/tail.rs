//! The log as the records of the segments rebuild it.

use serde::{Deserialize, Serialize};
use zinniastall_coord::Index;
use zinniastall_coord::log::{Entry, Position};
use zinniastall_coord::replica::HardState;

use crate::fault::Damage;

/// What one call stores, as one record.
///
/// One record a batch means that a batch cut short by a power failure is gone as a whole, and that
/// a whole record behind a damaged one is always a sign of damage.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) hard: Option<HardState>,
    /// The log begins anew behind this place.
    pub(crate) reset: Option<Position>,
    pub(crate) entries: Vec<Entry>,
}

impl Batch {
    pub(crate) fn is_empty(&self) -> bool {
        self.hard.is_none() && self.reset.is_none() && self.entries.is_empty()
    }

    /// Returns the lowest place behind which the batch puts anything.
    pub(crate) fn floor(&self) -> Index {
        let reset = self.reset.map(|base| base.index);
        let before = self.entries.iter().map(|entry| entry.index - 1);
        before.chain(reset).min().unwrap_or(Index::MAX)
    }
}

/// The log and the hard state, built up batch by batch.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    pub(crate) hard: HardState,
    base: Position,
    entries: Vec<Entry>,
}

impl Tail {
    pub(crate) const fn new(base: Position, hard: HardState) -> Self {
        Self {
            hard,
            base,
            entries: Vec::new(),
        }
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.last().map_or(self.base, Entry::position)
    }

    /// Applies a batch; an entry at a place already taken replaces it and all behind it.
    pub(crate) fn apply(&mut self, batch: Batch) -> Result<(), Damage> {
        self.hard = batch.hard.unwrap_or(self.hard);
        if let Some(base) = batch.reset {
            *self = Self::new(base, self.hard);
        }
        for entry in batch.entries {
            if entry.index <= self.base.index || entry.index > self.last().index + 1 {
                return Err(Damage::Gap);
            }
            self.truncate(entry.index);
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Splits off the entries behind a snapshot, if the snapshot stands in this log.
    ///
    /// A snapshot from the leader may cover entries that differ from those in the log. What stands
    /// behind such entries was never committed and doesn't follow the snapshot; then there are none.
    pub(crate) fn into_entries_after(mut self, last: Position) -> Option<Vec<Entry>> {
        if last == self.base {
            return Some(self.entries);
        }
        let at = self
            .entries
            .iter()
            .position(|entry| entry.position() == last)?;
        Some(self.entries.split_off(at + 1))
    }

    /// Tells whether the log begins no later than behind a place.
    pub(crate) const fn starts_at_or_before(&self, last: Position) -> bool {
        self.base.index <= last.index
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }
}
