//! Tracks what is synced, and holds messages back until it is.
//!
//! If an acknowledgement or a vote were sent before its record is synced, a power cut could erase
//! the record after others had counted it: a committed entry could be lost, or a second leader
//! elected in one term. Such messages are held with the number of the batch that stores what they
//! promise, and are released once the embedder reports that batch as synced.

use std::collections::VecDeque;

use super::message::Message;
use super::{Id, Index};

#[derive(Debug)]
pub(super) struct Tracker {
    synced_index: Index,
    open_batch: u64,
    batches: VecDeque<Batch>,
    held: VecDeque<Envelope>,
}

#[derive(Debug)]
struct Batch {
    number: u64,
    last: Index,
}

#[derive(Debug)]
struct Envelope {
    number: u64,
    to: Id,
    message: Message,
}

impl Tracker {
    pub(super) const fn new(synced_index: Index) -> Self {
        Self {
            synced_index,
            open_batch: 1,
            batches: VecDeque::new(),
            held: VecDeque::new(),
        }
    }

    /// Returns the last index of the log that is synced.
    pub(super) const fn synced_index(&self) -> Index {
        self.synced_index
    }

    /// Holds a message until the open batch is synced.
    pub(super) fn hold(&mut self, to: Id, message: Message) {
        self.held.push_back(Envelope {
            number: self.open_batch,
            to,
            message,
        });
    }

    /// Returns whether messages wait for the open batch.
    pub(super) fn has_held(&self) -> bool {
        self.held
            .back()
            .is_some_and(|held| held.number == self.open_batch)
    }

    /// Closes the open batch, which stores the log up to `last`, and returns its number.
    pub(super) fn close_batch(&mut self, last: Option<Index>) -> u64 {
        let number = self.open_batch;
        if let Some(last) = last {
            self.batches.push_back(Batch { number, last });
        }
        self.open_batch += 1;
        number
    }

    /// Records that all batches up to a number are synced and returns the messages that waited for
    /// them.
    pub(super) fn synced(&mut self, number: u64) -> Vec<(Id, Message)> {
        while let Some(batch) = self.batches.pop_front_if(|batch| batch.number <= number) {
            self.synced_index = self.synced_index.max(batch.last);
        }
        let mut released = Vec::new();
        while let Some(held) = self.held.pop_front_if(|held| held.number <= number) {
            released.push((held.to, held.message));
        }
        released
    }

    /// Records that the log from an index on no longer holds what was synced there.
    pub(super) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(1);
        self.synced_index = self.synced_index.min(keep);
        for batch in &mut self.batches {
            batch.last = batch.last.min(keep);
        }
    }
}
