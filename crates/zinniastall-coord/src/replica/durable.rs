//! What has been synced, and the messages that wait for it.
//!
//! An acknowledgement or a vote that left before its record was synced would be forgotten by a
//! power cut after others had counted it: a committed entry could be lost or a second leader
//! chosen in one term. Such messages are held with the number of the batch that stores what they
//! promise, and leave once the embedder says that the batch is synced.

use std::collections::VecDeque;

use super::message::Message;
use super::{Id, Index};

#[derive(Debug)]
pub(super) struct Durable {
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

impl Durable {
    pub(super) const fn new(synced_index: Index) -> Self {
        Self {
            synced_index,
            open_batch: 1,
            batches: VecDeque::new(),
            held: VecDeque::new(),
        }
    }

    /// Returns the last place of the log that is synced.
    pub(super) const fn synced_index(&self) -> Index {
        self.synced_index
    }

    /// Holds a message until the batch that is being filled is synced.
    pub(super) fn hold(&mut self, to: Id, message: Message) {
        self.held.push_back(Envelope {
            number: self.open_batch,
            to,
            message,
        });
    }

    /// Tells whether messages wait for the batch that is being filled.
    pub(super) fn has_held(&self) -> bool {
        self.held
            .back()
            .is_some_and(|held| held.number == self.open_batch)
    }

    /// Closes the batch being filled, with the last place that it stores, and returns its number.
    pub(super) fn close_batch(&mut self, last: Option<Index>) -> u64 {
        let number = self.open_batch;
        if let Some(last) = last {
            self.batches.push_back(Batch { number, last });
        }
        self.open_batch += 1;
        number
    }

    /// Notes that all batches up to one are synced and returns the messages that waited for them.
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

    /// Notes that places from one on no longer hold what was synced there.
    pub(super) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(1);
        self.synced_index = self.synced_index.min(keep);
        for batch in &mut self.batches {
            batch.last = batch.last.min(keep);
        }
    }
}
