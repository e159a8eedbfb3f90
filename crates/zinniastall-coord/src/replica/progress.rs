//! A leader's view of one follower: what it has acknowledged, and what to send next.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::builder::Limits;
use super::message::{Append, Body};
use super::snapshot::Snapshot;
use super::{Id, Index};
use crate::election::Timing;
use crate::log::{Entry, Log, Position};

/// Longest wait before a chunk is sent again, in election timeouts.
const MAX_RESEND_ELECTION_TIMEOUTS: u32 = 8;

/// The leader's state from which messages to a follower are built.
#[derive(Debug, Clone, Copy)]
pub(super) struct Context<'a> {
    pub(super) log: &'a Log,
    pub(super) snapshot: Option<&'a Arc<Snapshot>>,
    pub(super) commit: Index,
    pub(super) round: u64,
    pub(super) limits: &'a Limits,
    pub(super) timing: &'a Timing,
    pub(super) now: Instant,
}

#[derive(Debug)]
pub(super) struct Progress {
    /// Last index that the follower has synced.
    pub(super) matched: Index,
    /// When the follower last answered.
    pub(super) heard_at: Option<Instant>,
    /// Latest heartbeat round that the follower answered.
    pub(super) round: u64,
    /// When that round was opened, which is before its messages were sent.
    pub(super) acked_at: Option<Instant>,
    next: Index,
    mode: Mode,
}

#[derive(Debug)]
enum Mode {
    /// Searches for the last matching index, one empty message at a time.
    Probe,
    /// Sends entries without waiting for acknowledgements, up to a window of bytes.
    Replicate(Inflight),
    /// Sends a snapshot, one chunk at a time.
    Snapshot(Transfer),
}

#[derive(Debug)]
struct Inflight {
    sent: VecDeque<(Index, usize)>,
    bytes: usize,
    progressed_at: Instant,
}

#[derive(Debug)]
struct Transfer {
    snapshot: Arc<Snapshot>,
    offset: u64,
    resend_delay: Duration,
    resend_at: Instant,
    /// Whether the chunk was sent more than once.
    resent: bool,
}

impl Progress {
    pub(super) const fn new(last: Index) -> Self {
        Self {
            matched: 0,
            heard_at: None,
            round: 0,
            acked_at: None,
            next: last + 1,
            mode: Mode::Probe,
        }
    }

    pub(super) fn is_reachable(&self, timing: &Timing, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now < heard_at + timing.election)
    }

    /// Returns the message that keeps the follower from campaigning.
    pub(super) fn heartbeat(&mut self, context: &Context<'_>) -> Option<Body> {
        if let Mode::Replicate(inflight) = &self.mode
            && !inflight.sent.is_empty()
            && context.now > inflight.progressed_at + context.timing.election
        {
            self.start_probe(self.matched + 1);
        }
        if let Mode::Snapshot(transfer) = &mut self.mode {
            return Some(transfer.heartbeat(context));
        }
        let Some(previous) = self.previous(context) else {
            return self.start_snapshot(context);
        };
        Some(append(context, previous, Vec::new()))
    }

    /// Returns messages with the next entries, as many as the window permits.
    pub(super) fn entries(&mut self, context: &Context<'_>) -> Vec<Body> {
        std::iter::from_fn(|| self.next_entries(context)).collect()
    }

    fn next_entries(&mut self, context: &Context<'_>) -> Option<Body> {
        let last = context.log.last().index;
        let Mode::Replicate(inflight) = &self.mode else {
            return None;
        };
        if self.next > last || inflight.bytes >= context.limits.window {
            return None;
        }
        let Some(previous) = self.previous(context) else {
            return self.start_snapshot(context);
        };
        let entries = context.log.slice(self.next, last, context.limits.message);
        let sent = entries.last()?.index;
        let Mode::Replicate(inflight) = &mut self.mode else {
            return None;
        };
        inflight.push(sent, entries.iter().map(Entry::size).sum(), context.now);
        self.next = sent + 1;
        Some(append(context, previous, entries))
    }

    /// Records an acknowledgement; returns whether `matched` advanced.
    pub(super) fn record_accepted(&mut self, matched: Index, now: Instant) -> bool {
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Probe => self.start_replication(now),
            Mode::Replicate(inflight) => inflight.acknowledge(self.matched, now),
            Mode::Snapshot(transfer) if matched >= transfer.snapshot.last.index => {
                self.next = self.matched + 1;
                self.start_replication(now);
            }
            Mode::Snapshot(_) => {}
        }
        advanced
    }

    /// Records a rejection; returns whether to send another probe at once.
    ///
    /// A rejection of the index that was acknowledged last, while nothing is in flight, means that
    /// the follower has lost what it acknowledged. `matched` then moves back: a follower that is
    /// wrongly believed to hold an entry would reject every message from here on.
    pub(super) fn record_rejected(&mut self, previous: Index, hint: Position, log: &Log) -> bool {
        let answers_last = previous + 1 == self.next;
        let is_current = match self.mode {
            Mode::Probe => answers_last,
            Mode::Replicate(_) => answers_last || previous > self.matched,
            Mode::Snapshot(_) => false,
        };
        if !is_current || previous < self.matched || previous == 0 {
            return false;
        }
        let equal = log
            .last_within(hint.index, hint.term)
            .index
            .min(previous - 1);
        if previous == self.matched {
            self.matched = equal;
        }
        self.start_probe(equal.max(self.matched) + 1);
        true
    }

    /// Records how much of a snapshot has arrived and returns the next chunk.
    pub(super) fn next_chunk(
        &mut self,
        last: Index,
        received: u64,
        context: &Context<'_>,
    ) -> Option<Body> {
        let Mode::Snapshot(transfer) = &mut self.mode else {
            return None;
        };
        let is_current =
            transfer.snapshot.last.index == last && transfer.needs_next_chunk(received);
        is_current.then(|| transfer.chunk_at(received, context))
    }

    fn previous(&self, context: &Context<'_>) -> Option<Position> {
        let index = self.next - 1;
        Some(Position {
            index,
            term: context.log.term(index)?,
        })
    }

    fn start_probe(&mut self, next: Index) {
        self.next = next;
        self.mode = Mode::Probe;
    }

    fn start_replication(&mut self, now: Instant) {
        let inflight = Inflight {
            sent: VecDeque::new(),
            bytes: 0,
            progressed_at: now,
        };
        self.mode = Mode::Replicate(inflight);
    }

    /// Starts to send the snapshot because the log no longer holds the entries that the follower
    /// lacks.
    fn start_snapshot(&mut self, context: &Context<'_>) -> Option<Body> {
        let snapshot = Arc::clone(context.snapshot?);
        let resend_delay = context.timing.election;
        let mut transfer = Transfer {
            snapshot,
            offset: 0,
            resend_delay,
            resend_at: context.now,
            resent: false,
        };
        let body = transfer.chunk_at(0, context);
        self.mode = Mode::Snapshot(transfer);
        Some(body)
    }
}

impl Inflight {
    fn push(&mut self, last: Index, bytes: usize, now: Instant) {
        if self.sent.is_empty() {
            self.progressed_at = now;
        }
        self.sent.push_back((last, bytes));
        self.bytes += bytes;
    }

    fn acknowledge(&mut self, matched: Index, now: Instant) {
        while let Some((_, bytes)) = self.sent.pop_front_if(|(last, _)| *last <= matched) {
            self.bytes -= bytes;
            self.progressed_at = now;
        }
    }
}

impl Transfer {
    /// Returns the chunk at an offset and restarts the resend timer.
    fn chunk_at(&mut self, offset: u64, context: &Context<'_>) -> Body {
        self.offset = offset;
        self.resend_delay = context.timing.election;
        self.resend_at = context.now + self.resend_delay;
        self.resent = false;
        self.chunk(context)
    }

    /// Returns whether an answer calls for another chunk.
    ///
    /// A duplicate or late answer names an offset that was passed. It counts only after the chunk
    /// was sent again, as when the follower restarted and lost what it had. Otherwise each
    /// duplicate answer would cause a chunk whose answer is duplicated in turn, without end.
    const fn needs_next_chunk(&self, received: u64) -> bool {
        received > self.offset || (self.resent && received < self.offset)
    }

    /// Returns the same chunk again when it is overdue, otherwise an empty message.
    ///
    /// The wait doubles each time: a follower behind a slow link would otherwise be sent the same
    /// bytes faster than it can take them.
    fn heartbeat(&mut self, context: &Context<'_>) -> Body {
        if context.now < self.resend_at {
            return append(context, self.snapshot.last, Vec::new());
        }
        self.resend_delay =
            (self.resend_delay * 2).min(context.timing.election * MAX_RESEND_ELECTION_TIMEOUTS);
        self.resend_at = context.now + self.resend_delay;
        self.resent = true;
        self.chunk(context)
    }

    fn chunk(&self, context: &Context<'_>) -> Body {
        Body::Chunk(
            self.snapshot
                .chunk(context.round, self.offset, context.limits.message),
        )
    }
}

fn append(context: &Context<'_>, previous: Position, entries: Vec<Entry>) -> Body {
    Body::Append(Append {
        round: context.round,
        previous,
        entries,
        commit: context.commit,
    })
}

/// Members by id.
pub(super) type Peers = IndexMap<Id, Progress>;
