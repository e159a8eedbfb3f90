//! The follower's side: entries, heartbeats and snapshots from the leader.

use std::sync::Arc;
use std::time::Instant;

use super::history::History;
use super::message::{Append, Body, Chunk, Outcome};
use super::snapshot::{Incoming, Snapshot};
use super::{Id, Index, Replica, Role};
use crate::log::{Entry, Log};

/// What a follower keeps beside the log.
#[derive(Debug, Default)]
pub(super) struct Follower {
    incoming: Option<Incoming>,
}

impl Replica {
    pub(super) fn append_received(&mut self, from: Id, append: Append, now: Instant) {
        if !append.is_gapless() || !self.hear_leader(from, now) {
            return;
        }
        let round = append.round;
        let previous = append.previous;
        let known = previous.index < self.commit || self.log.matches(previous);
        if !known {
            let hint = self.log.last_within(previous.index, previous.term);
            let outcome = Outcome::Rejected {
                previous: previous.index,
                hint,
            };
            self.send(from, Body::AppendAnswer { round, outcome });
            return;
        }
        let commit = append.commit;
        let matched = self.append_entries(previous.index, append.entries);
        self.commit = self.commit.max(commit.min(matched));
        self.accept(from, round, matched);
    }

    /// Appends what is new and returns the last place known to equal the leader's log.
    fn append_entries(&mut self, previous: Index, entries: Vec<Entry>) -> Index {
        let last = entries.last().map_or(previous, |entry| entry.index);
        for entry in entries {
            let new = entry.index > self.commit && !self.log.matches(entry.position());
            if !new {
                continue;
            }
            if entry.index <= self.log.last().index {
                self.truncate(entry.index);
            }
            self.append(entry);
        }
        last.max(self.commit)
    }

    pub(super) fn append(&mut self, entry: Entry) {
        self.history.note(&entry);
        self.log.push(entry.clone());
        self.pending.append.push(entry);
    }

    fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.history.truncate(from);
        self.durable.truncate(from);
        self.pending.append.retain(|entry| entry.index < from);
        let earlier = self.pending.truncate_from.unwrap_or(from);
        self.pending.truncate_from = Some(earlier.min(from));
    }

    pub(super) fn chunk_received(&mut self, from: Id, chunk: &Chunk, now: Instant) {
        if !self.hear_leader(from, now) {
            return;
        }
        let last = chunk.last;
        if last.index <= self.commit || self.log.matches(last) {
            self.commit = self.commit.max(last.index);
            self.accept(from, chunk.round, last.index);
            return;
        }
        let Role::Follower(follower) = &mut self.role else {
            return;
        };
        if !follower
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.is_of(chunk))
        {
            follower.incoming = Incoming::begin(chunk);
        }
        let received = follower.incoming.as_mut().map_or(0, |incoming| {
            incoming.take(chunk);
            incoming.received()
        });
        let round = chunk.round;
        let whole = follower.incoming.take_if(|incoming| incoming.is_whole());
        let Some(incoming) = whole else {
            self.send(
                from,
                Body::ChunkAnswer {
                    round,
                    last: last.index,
                    received,
                },
            );
            return;
        };
        self.install(incoming.into_snapshot());
        self.accept(from, round, last.index);
    }

    fn install(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        let snapshot = Arc::new(snapshot);
        self.log = Log::new(last);
        self.history = History::new(last.index, snapshot.voters.clone());
        self.durable.truncate(self.commit + 1);
        self.commit = last.index;
        self.applied = last.index;
        self.pending.append.clear();
        self.pending.truncate_from = None;
        self.pending.install = Some(Arc::clone(&snapshot));
        self.snapshot = Some(snapshot);
    }

    /// Acknowledges that the log equals the leader's up to a place: at once what is synced, the rest
    /// once it is.
    ///
    /// The answer at once says that the leader was heard. Were it held back behind a slow disk, a
    /// leader that everybody hears would lose its quorum and its lease whenever syncs take longer
    /// than an election timeout, and operators would be told that nobody leads.
    fn accept(&mut self, to: Id, round: u64, matched: Index) {
        let synced = matched.min(self.durable.upto());
        let accepted = |matched| Body::AppendAnswer {
            round,
            outcome: Outcome::Accepted { matched },
        };
        self.send(to, accepted(synced));
        if synced < matched {
            self.send_synced(to, accepted(matched));
        }
    }

    /// Notes that the leader of this term was heard.
    fn hear_leader(&mut self, from: Id, now: Instant) -> bool {
        if matches!(self.role, Role::Leader(_)) {
            return false;
        }
        self.heard = now;
        self.follow(self.hard.term, Some(from), now);
        true
    }
}
