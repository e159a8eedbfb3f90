//! Follower: entries, heartbeats and snapshots from the leader.

use std::sync::Arc;
use std::time::Instant;

use super::history::History;
use super::message::{Append, Body, Chunk, Outcome};
use super::snapshot::{Reassembly, Snapshot};
use super::{Id, Index, Replica, State};
use crate::log::{Entry, Log};

/// Follower state beside the log.
#[derive(Debug, Default)]
pub(super) struct Follower {
    incoming: Option<Reassembly>,
}

impl Replica {
    pub(super) fn on_append(&mut self, from: Id, append: Append, now: Instant) {
        if !append.is_gapless() || !self.record_leader_contact(from, now) {
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
        self.acknowledge(from, round, matched);
    }

    /// Appends the entries that are new and returns the last index known to match the leader's log.
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
        self.history.record(&entry);
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

    pub(super) fn on_chunk(&mut self, from: Id, chunk: &Chunk, now: Instant) {
        if !self.record_leader_contact(from, now) {
            return;
        }
        let last = chunk.last;
        if last.index <= self.commit || self.log.matches(last) {
            self.commit = self.commit.max(last.index);
            self.acknowledge(from, chunk.round, last.index);
            return;
        }
        let State::Follower(follower) = &mut self.state else {
            return;
        };
        if !follower
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.matches(chunk))
        {
            follower.incoming = Reassembly::start(chunk);
        }
        let received = follower.incoming.as_mut().map_or(0, |incoming| {
            incoming.append(chunk);
            incoming.received()
        });
        let round = chunk.round;
        let complete = follower.incoming.take_if(|incoming| incoming.is_complete());
        let Some(incoming) = complete else {
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
        self.install_snapshot(incoming.into_snapshot());
        self.acknowledge(from, round, last.index);
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
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

    /// Acknowledges that the log matches the leader's up to an index: what is synced at once, the
    /// rest once it is synced.
    ///
    /// The immediate answer shows that the leader was heard. If it waited for a slow disk, a leader
    /// that everybody hears would lose its quorum and its lease whenever syncs take longer than an
    /// election timeout, and operators would be told that there is no leader.
    fn acknowledge(&mut self, to: Id, round: u64, matched: Index) {
        let synced = matched.min(self.durable.synced_index());
        let accepted = |matched| Body::AppendAnswer {
            round,
            outcome: Outcome::Accepted { matched },
        };
        self.send(to, accepted(synced));
        if synced < matched {
            self.send_synced(to, accepted(matched));
        }
    }

    /// Records that the leader of this term was heard; returns `false` if this replica leads
    /// itself.
    fn record_leader_contact(&mut self, from: Id, now: Instant) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.leader_heard_at = now;
        self.become_follower(self.hard.term, Some(from), now);
        true
    }
}
