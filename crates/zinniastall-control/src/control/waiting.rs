//! Writes that wait for their commit.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::oneshot;
use zinniastall_coord::{Index, Term};

use super::reply::Reply;

/// A write that waits for its commit.
#[derive(Debug)]
pub(super) struct Write {
    /// Term in which it was proposed.
    pub(super) term: Term,
    /// How long its operator waits for confirmations.
    pub(super) wait: Duration,
    /// Whether it is a routing table, which may have to settle.
    pub(super) is_table: bool,
    /// When its outcome counts as unknown.
    pub(super) deadline: Instant,
    /// Receives the reply.
    pub(super) reply: oneshot::Sender<Reply>,
}

/// Writes that wait for their commit, by log index.
#[derive(Debug)]
pub(super) struct Waiting {
    limit: usize,
    writes: IndexMap<Index, Write>,
}

impl Waiting {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            writes: IndexMap::new(),
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.writes.len() >= self.limit
    }

    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    pub(super) fn add(&mut self, index: Index, write: Write) {
        if let Some(before) = self.writes.insert(index, write) {
            // The index was assigned twice: the entry of an earlier term was overwritten.
            answer(before.reply, Reply::Unknown);
        }
    }

    pub(super) fn take(&mut self, index: Index) -> Option<Write> {
        self.writes.swap_remove(&index)
    }

    /// Reports the outcome of the writes that a snapshot covers as unknown.
    pub(super) fn abandon_through(&mut self, last: Index) {
        self.abandon(|index, _| index <= last);
    }

    /// Shortens the deadlines after leadership was lost.
    ///
    /// The next leader may still commit pending entries soon, and then the true outcome is known;
    /// otherwise an operator should not have to wait for the full deadline.
    pub(super) fn shorten_deadlines(&mut self, deadline: Instant) {
        for write in self.writes.values_mut() {
            write.deadline = write.deadline.min(deadline);
        }
    }

    /// Reports the outcome of the writes whose deadline has passed as unknown.
    pub(super) fn expire(&mut self, now: Instant) {
        self.abandon(|_, write| write.deadline <= now);
    }

    fn abandon(&mut self, is_lost: impl Fn(Index, &Write) -> bool) {
        let writes = std::mem::take(&mut self.writes);
        for (index, write) in writes {
            if is_lost(index, &write) {
                answer(write.reply, Reply::Unknown);
            } else {
                self.writes.insert(index, write);
            }
        }
    }
}

/// Sends a reply; the receiver may already have given up.
pub(super) fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    drop(reply.send(value));
}
