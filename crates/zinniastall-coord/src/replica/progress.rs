//! A leader's view of one follower: what it holds, and what to send next.

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
const LONGEST_WAIT: u32 = 8;

/// What a message to a follower is made from.
#[derive(Debug, Clone, Copy)]
pub(super) struct Source<'a> {
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
    /// Last place that the follower has synced.
    pub(super) matched: Index,
    /// When the follower was last heard.
    pub(super) heard: Option<Instant>,
    /// Latest round that the follower answered.
    pub(super) round: u64,
    /// When that round was opened, which is before its messages left.
    pub(super) acked: Option<Instant>,
    next: Index,
    mode: Mode,
}

#[derive(Debug)]
enum Mode {
    /// Looks for the place up to which the logs are equal, one empty message at a time.
    Probe,
    /// Sends entries ahead of their acknowledgement, up to a window of bytes.
    Stream(Window),
    /// Sends a snapshot, one chunk at a time.
    Install(Install),
}

#[derive(Debug)]
struct Window {
    sent: VecDeque<(Index, usize)>,
    bytes: usize,
    moved: Instant,
}

#[derive(Debug)]
struct Install {
    snapshot: Arc<Snapshot>,
    offset: u64,
    wait: Duration,
    again_at: Instant,
    /// Whether the chunk was sent again.
    again: bool,
}

impl Progress {
    pub(super) const fn new(last: Index) -> Self {
        Self {
            matched: 0,
            heard: None,
            round: 0,
            acked: None,
            next: last + 1,
            mode: Mode::Probe,
        }
    }

    pub(super) fn is_reachable(&self, timing: &Timing, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now < heard + timing.election)
    }

    /// Returns the message that keeps the follower from campaigning.
    pub(super) fn heartbeat(&mut self, source: &Source<'_>) -> Option<Body> {
        if let Mode::Stream(window) = &self.mode
            && !window.sent.is_empty()
            && source.now > window.moved + source.timing.election
        {
            self.probe(self.matched + 1);
        }
        if let Mode::Install(install) = &mut self.mode {
            return Some(install.heartbeat(source));
        }
        let Some(previous) = self.previous(source) else {
            return self.install(source);
        };
        Some(append(source, previous, Vec::new()))
    }

    /// Returns messages with the next entries, as many as the window permits.
    pub(super) fn entries(&mut self, source: &Source<'_>) -> Vec<Body> {
        std::iter::from_fn(|| self.next_entries(source)).collect()
    }

    fn next_entries(&mut self, source: &Source<'_>) -> Option<Body> {
        let last = source.log.last().index;
        let Mode::Stream(window) = &self.mode else {
            return None;
        };
        if self.next > last || window.bytes >= source.limits.window {
            return None;
        }
        let Some(previous) = self.previous(source) else {
            return self.install(source);
        };
        let entries = source.log.slice(self.next, last, source.limits.message);
        let sent = entries.last()?.index;
        let Mode::Stream(window) = &mut self.mode else {
            return None;
        };
        window.push(sent, entries.iter().map(Entry::size).sum(), source.now);
        self.next = sent + 1;
        Some(append(source, previous, entries))
    }

    /// Notes an acknowledgement; returns whether it brought anything new.
    pub(super) fn accepted(&mut self, matched: Index, now: Instant) -> bool {
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Probe => self.stream(now),
            Mode::Stream(window) => window.acknowledge(self.matched, now),
            Mode::Install(install) if matched >= install.snapshot.last.index => {
                self.next = self.matched + 1;
                self.stream(now);
            }
            Mode::Install(_) => {}
        }
        advanced
    }

    /// Notes a rejection; returns whether another probe is worth sending at once.
    ///
    /// A rejection of the very place that was acknowledged last means that the follower has lost
    /// what it acknowledged, if nothing is on its way. It is then looked for again: a follower that
    /// is believed to hold it would refuse every message from here on.
    pub(super) fn rejected(&mut self, previous: Index, hint: Position, log: &Log) -> bool {
        let answers_last = previous + 1 == self.next;
        let current = match self.mode {
            Mode::Probe => answers_last,
            Mode::Stream(_) => answers_last || previous > self.matched,
            Mode::Install(_) => false,
        };
        if !current || previous < self.matched || previous == 0 {
            return false;
        }
        let equal = log
            .last_within(hint.index, hint.term)
            .index
            .min(previous - 1);
        if previous == self.matched {
            self.matched = equal;
        }
        self.probe(equal.max(self.matched) + 1);
        true
    }

    /// Notes how much of a snapshot has arrived and returns the next chunk.
    pub(super) fn chunk_taken(
        &mut self,
        last: Index,
        received: u64,
        source: &Source<'_>,
    ) -> Option<Body> {
        let Mode::Install(install) = &mut self.mode else {
            return None;
        };
        let current = install.snapshot.last.index == last && install.is_news(received);
        current.then(|| install.at(received, source))
    }

    fn previous(&self, source: &Source<'_>) -> Option<Position> {
        let index = self.next - 1;
        Some(Position {
            index,
            term: source.log.term(index)?,
        })
    }

    fn probe(&mut self, next: Index) {
        self.next = next;
        self.mode = Mode::Probe;
    }

    fn stream(&mut self, now: Instant) {
        let window = Window {
            sent: VecDeque::new(),
            bytes: 0,
            moved: now,
        };
        self.mode = Mode::Stream(window);
    }

    /// Starts to send the snapshot, because the entries that are missing are gone.
    fn install(&mut self, source: &Source<'_>) -> Option<Body> {
        let snapshot = Arc::clone(source.snapshot?);
        let wait = source.timing.election;
        let mut install = Install {
            snapshot,
            offset: 0,
            wait,
            again_at: source.now,
            again: false,
        };
        let body = install.at(0, source);
        self.mode = Mode::Install(install);
        Some(body)
    }
}

impl Window {
    fn push(&mut self, last: Index, bytes: usize, now: Instant) {
        if self.sent.is_empty() {
            self.moved = now;
        }
        self.sent.push_back((last, bytes));
        self.bytes += bytes;
    }

    fn acknowledge(&mut self, matched: Index, now: Instant) {
        while let Some((_, bytes)) = self.sent.pop_front_if(|(last, _)| *last <= matched) {
            self.bytes -= bytes;
            self.moved = now;
        }
    }
}

impl Install {
    /// Returns the chunk at an offset and waits for its answer.
    fn at(&mut self, offset: u64, source: &Source<'_>) -> Body {
        self.offset = offset;
        self.wait = source.timing.election;
        self.again_at = source.now + self.wait;
        self.again = false;
        self.chunk(source)
    }

    /// Tells whether an answer calls for another chunk.
    ///
    /// A doubled or late answer names a place that was passed. It counts only after the chunk was
    /// sent again, as when the follower restarted and lost what it had; otherwise each doubled
    /// answer would bring about a chunk, whose answer is doubled in turn, without end.
    const fn is_news(&self, received: u64) -> bool {
        received > self.offset || (self.again && received < self.offset)
    }

    /// Returns the same chunk again when it is overdue, else an empty message.
    ///
    /// The wait doubles each time: a follower on a slow link that can't keep up would otherwise be
    /// sent the same bytes faster than it takes them.
    fn heartbeat(&mut self, source: &Source<'_>) -> Body {
        if source.now < self.again_at {
            return append(source, self.snapshot.last, Vec::new());
        }
        self.wait = (self.wait * 2).min(source.timing.election * LONGEST_WAIT);
        self.again_at = source.now + self.wait;
        self.again = true;
        self.chunk(source)
    }

    fn chunk(&self, source: &Source<'_>) -> Body {
        Body::Chunk(
            self.snapshot
                .chunk(source.round, self.offset, source.limits.message),
        )
    }
}

fn append(source: &Source<'_>, previous: Position, entries: Vec<Entry>) -> Body {
    Body::Append(Append {
        round: source.round,
        previous,
        entries,
        commit: source.commit,
    })
}

/// Members by id.
pub(super) type Peers = IndexMap<Id, Progress>;
