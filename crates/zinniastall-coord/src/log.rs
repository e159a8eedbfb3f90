//! Entries of the replicated log, and the part of it held in memory.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::replica::{Index, Term};
use crate::voters::Voters;

/// Bytes counted for an entry in addition to those of its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Index in the log, counted from 1.
    pub index: Index,
    /// Content.
    pub payload: Payload,
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader appends it to commit the entries before it.
    Noop,
    /// The set of voters and learners from here on.
    Voters(Voters),
    /// A command of the embedder.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
}

impl Entry {
    /// Returns the approximate size of the entry in a message, in bytes.
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Voters(voters) => voters
                    .voters
                    .values()
                    .chain(voters.learners.values())
                    .map(|address| address.len() + ENTRY_OVERHEAD_BYTES)
                    .sum(),
                Payload::Command(command) => command.len(),
            }
    }

    /// Returns the entry's index and term.
    pub const fn position(&self) -> Position {
        Position {
            index: self.index,
            term: self.term,
        }
    }
}

/// An index in the log and the term of the entry there; index zero stands before the first entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Index in the log.
    pub index: Index,
    /// Term of the entry at that index.
    pub term: Term,
}

impl Position {
    /// Returns whether a log that ends here is at least as up to date as one that ends at `other`.
    pub fn covers(&self, other: &Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// The tail of the log after the last compaction.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates an empty log that continues after `base`.
    pub const fn new(base: Position) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
        }
    }

    /// Returns the position before the first entry held.
    pub const fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// Returns the term at an index, if it is held.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index, if it is held.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns whether the log holds an entry of this term at this index.
    pub fn matches(&self, position: Position) -> bool {
        self.term(position.index) == Some(position.term)
    }

    /// Appends an entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(
            entry.index,
            self.last().index + 1,
            "entries follow each other"
        );
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes all entries up to and including an index, if that index is held.
    pub fn compact(&mut self, last: Index) {
        let Some(term) = self.term(last) else { return };
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= last)
        {
            self.entries.pop_front();
        }
        self.base = Position { index: last, term };
    }

    /// Copies the entries between two indexes, up to about `bytes` but at least one if there is
    /// one.
    pub fn slice(&self, from: Index, last: Index, bytes: usize) -> Vec<Entry> {
        let mut total: usize = 0;
        let mut slice = Vec::new();
        let held = (from..=last).map_while(|index| self.get(index));
        for entry in held {
            total = total.saturating_add(entry.size());
            if total > bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Returns the size in messages of the entries between two indexes, in bytes.
    pub fn bytes(&self, from: Index, last: Index) -> usize {
        (from..=last)
            .filter_map(|index| self.get(index))
            .map(Entry::size)
            .sum()
    }

    /// Returns the last position at or before `index` whose term is no later than `term`.
    ///
    /// Two logs never match at an index where their terms differ, so a mismatch skips whole terms
    /// at once instead of one entry per round trip.
    pub fn last_within(&self, index: Index, term: Term) -> Position {
        let mut index = index.min(self.last().index);
        while index > self.base.index {
            match self.term(index) {
                Some(held) if held <= term => return Position { index, term: held },
                _ => index -= 1,
            }
        }
        self.base
    }
}
