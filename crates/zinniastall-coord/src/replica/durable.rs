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
    upto: Index,
    open: u64,
    batches: VecDeque<Batch>,
    held: VecDeque<Held>,
}

#[derive(Debug)]
struct Batch {
    number: u64,
    last: Index,
}

#[derive(Debug)]
struct Held {
    number: u64,
    to: Id,
    message: Message,
}

impl Durable {
    pub(super) const fn new(upto: Index) -> Self {
        Self {
            upto,
            open: 1,
            batches: VecDeque::new(),
            held: VecDeque::new(),
        }
    }

    /// Returns the last place of the log that is synced.
    pub(super) const fn upto(&self) -> Index {
        self.upto
    }

    /// Holds a message until the batch that is being filled is synced.
    pub(super) fn hold(&mut self, to: Id, message: Message) {
        self.held.push_back(Held {
            number: self.open,
            to,
            message,
        });
    }

    /// Tells whether messages wait for the batch that is being filled.
    pub(super) fn is_waiting(&self) -> bool {
        self.held
            .back()
            .is_some_and(|held| held.number == self.open)
    }

    /// Closes the batch being filled, with the last place that it stores, and returns its number.
    pub(super) fn close(&mut self, last: Option<Index>) -> u64 {
        let number = self.open;
        if let Some(last) = last {
            self.batches.push_back(Batch { number, last });
        }
        self.open += 1;
        number
    }

    /// Notes that all batches up to one are synced and returns the messages that waited for them.
    pub(super) fn synced(&mut self, number: u64) -> Vec<(Id, Message)> {
        while let Some(batch) = self.batches.pop_front_if(|batch| batch.number <= number) {
            self.upto = self.upto.max(batch.last);
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
        self.upto = self.upto.min(keep);
        for batch in &mut self.batches {
            batch.last = batch.last.min(keep);
        }
    }
}
