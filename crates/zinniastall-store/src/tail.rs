//! The log as rebuilt from the records of its segments.

use serde::{Deserialize, Serialize};
use zinniastall_coord::Index;
use zinniastall_coord::log::{Entry, Position};
use zinniastall_coord::replica::HardState;

use crate::error::Damage;

/// A batch of changes, stored as one record.
///
/// With one record per batch, a batch interrupted by a power failure is lost as a whole, and a
/// complete record after an unreadable one always indicates damage.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) hard: Option<HardState>,
    /// Position after which the log restarts, dropping all earlier entries.
    pub(crate) reset: Option<Position>,
    pub(crate) entries: Vec<Entry>,
}

impl Batch {
    pub(crate) fn is_empty(&self) -> bool {
        self.hard.is_none() && self.reset.is_none() && self.entries.is_empty()
    }

    /// Returns the lowest index after which the batch writes entries.
    pub(crate) fn floor(&self) -> Index {
        let reset = self.reset.map(|base| base.index);
        let before = self.entries.iter().map(|entry| entry.index - 1);
        before.chain(reset).min().unwrap_or(Index::MAX)
    }
}

/// Log entries after a base position and the hard state, rebuilt batch by batch.
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

    /// Applies a batch; an entry whose index is already taken replaces that entry and all later
    /// ones.
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

    /// Returns the entries after a snapshot's last position, or `None` if the log doesn't contain
    /// that position.
    ///
    /// A leader's snapshot may cover entries that differ from those in the log. The entries after
    /// them were never committed and must not follow the snapshot.
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

    /// Returns whether the log leaves no gap after a position.
    pub(crate) const fn starts_at_or_before(&self, last: Position) -> bool {
        self.base.index <= last.index
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }
}
