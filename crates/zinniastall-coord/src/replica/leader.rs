//! Leader: replication, commitment and stepping down.

use std::collections::VecDeque;
use std::time::Instant;

use super::message::{Body, Message, Outcome};
use super::progress::{Context, Peers, Progress};
use super::{Id, Index, Replica, State};
use crate::election::Timing;
use crate::log::{Entry, Payload};

/// Rounds whose start time is kept, per heartbeat interval.
const ROUNDS_KEPT_PER_HEARTBEAT: u32 = 16;

/// Leader state beside the log.
#[derive(Debug)]
pub(super) struct Leader {
    /// When it became the leader.
    pub(super) since: Instant,
    /// Index of the first entry of its term.
    pub(super) first_index: Index,
    pub(super) peers: Peers,
    /// Bytes of entries that are not committed yet.
    pub(super) uncommitted_bytes: usize,
    /// Successor of a leadership transfer in progress, and when the transfer is given up.
    pub(super) transfer: Option<(Id, Instant)>,
    /// Current heartbeat round.
    pub(super) round: u64,
    rounds: VecDeque<(u64, Instant)>,
    heartbeat_at: Instant,
}

impl Leader {
    /// Opens a heartbeat round; answers to messages sent from now on carry its number.
    ///
    /// Every commit and every barrier opens a round, which is thousands on a busy leader, so only
    /// some start times are kept. A round without one counts as opened with the last kept round
    /// before it, which can shorten a lease by a fraction of a heartbeat but never extends it.
    fn open_round(&mut self, timing: &Timing, now: Instant) {
        self.round += 1;
        let spacing = timing.heartbeat / ROUNDS_KEPT_PER_HEARTBEAT;
        while self
            .rounds
            .front()
            .is_some_and(|(_, opened)| *opened + timing.election < now)
        {
            self.rounds.pop_front();
        }
        if self
            .rounds
            .back()
            .is_none_or(|(_, opened)| *opened + spacing <= now)
        {
            self.rounds.push_back((self.round, now));
        }
    }

    /// Records an answer from a member and the round that it answers.
    fn record_response(&mut self, from: Id, round: u64, now: Instant) -> Option<&mut Progress> {
        let progress = self.peers.get_mut(&from)?;
        progress.heard_at = Some(now);
        if round > progress.round {
            let opened = self
                .rounds
                .iter()
                .rev()
                .find(|(number, _)| *number <= round);
            progress.round = round;
            progress.acked_at = opened.map(|(_, opened)| *opened).or(progress.acked_at);
        }
        Some(progress)
    }
}

impl Replica {
    /// Becomes the leader and appends an entry of its own term, which commits all entries before
    /// it.
    pub(super) fn become_leader(&mut self, now: Instant) {
        let last = self.log.last().index;
        let others = self.history.current().members().filter(|id| *id != self.id);
        let peers = others.map(|id| (id, Progress::new(last))).collect();
        let uncommitted_bytes = self.log.bytes(self.commit + 1, last);
        self.leader = Some(self.id);
        self.state = State::Leader(Box::new(Leader {
            since: now,
            first_index: last + 1,
            peers,
            uncommitted_bytes,
            transfer: None,
            round: 0,
            rounds: VecDeque::new(),
            heartbeat_at: now,
        }));
        self.append_as_leader(Payload::Noop);
        self.broadcast_heartbeat(now);
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        if !self.has_quorum(now) {
            self.become_follower(self.hard.term, None, now);
            return;
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.transfer.take_if(|(_, until)| now >= *until);
        if now >= leader.heartbeat_at {
            self.broadcast_heartbeat(now);
        }
    }

    /// Opens a heartbeat round and sends a heartbeat to every member.
    pub(super) fn broadcast_heartbeat(&mut self, now: Instant) {
        if let State::Leader(leader) = &mut self.state {
            leader.open_round(&self.timing, now);
            leader.heartbeat_at = now + self.timing.heartbeat;
        }
        self.send_to_peers(None, now, Progress::heartbeat);
    }

    /// Sends new entries to every member whose window permits it.
    pub(super) fn replicate(&mut self, now: Instant) {
        self.send_to_peers(None, now, Progress::entries);
    }

    /// Sends the messages that `next` builds to one peer or to all.
    fn send_to_peers<Bodies: IntoIterator<Item = Body>>(
        &mut self,
        only: Option<Id>,
        now: Instant,
        mut next: impl FnMut(&mut Progress, &Context<'_>) -> Bodies,
    ) {
        let (State::Leader(leader), Some(cluster)) = (&mut self.state, self.cluster) else {
            return;
        };
        let context = Context {
            log: &self.log,
            snapshot: self.snapshot.as_ref(),
            commit: self.commit,
            round: leader.round,
            limits: &self.limits,
            timing: &self.timing,
            now,
        };
        let term = self.hard.term;
        let peers = leader.peers.iter_mut();
        for (to, progress) in peers.filter(|(id, _)| only.is_none_or(|only| only == **id)) {
            for body in next(progress, &context) {
                self.pending.messages.push((
                    *to,
                    Message {
                        cluster,
                        to: *to,
                        term,
                        body,
                    },
                ));
            }
        }
    }

    pub(super) fn on_append_answer(
        &mut self,
        from: Id,
        round: u64,
        outcome: Outcome,
        now: Instant,
    ) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.record_response(from, round, now) else {
            return;
        };
        match outcome {
            Outcome::Accepted { matched } => {
                if progress.record_accepted(matched.min(last), now) {
                    self.advance_commit(now);
                }
                self.replicate(now);
                self.complete_transfer(now);
            }
            Outcome::Rejected { previous, hint } => {
                if progress.record_rejected(previous, hint, &self.log) {
                    self.send_to_peers(Some(from), now, Progress::heartbeat);
                }
            }
        }
    }

    pub(super) fn on_chunk_answer(
        &mut self,
        from: Id,
        round: u64,
        (last, received): (Index, u64),
        now: Instant,
    ) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if leader.record_response(from, round, now).is_some() {
            self.send_to_peers(Some(from), now, |progress, context| {
                progress.next_chunk(last, received, context)
            });
        }
    }

    /// Appends an entry of the leader's own term.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index + 1;
        let entry = Entry {
            term: self.hard.term,
            index,
            payload,
        };
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entry.size();
        }
        self.append(entry);
        index
    }

    /// Commits what a majority has synced.
    ///
    /// Only an entry of the leader's own term counts: an entry of an earlier term can still be
    /// replaced by a replica that has a later entry, even if a majority holds it.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Some(index) = self.majority_matched() else {
            return;
        };
        if index <= self.commit || self.log.term(index) != Some(self.hard.term) {
            return;
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let committed = self.log.bytes(self.commit + 1, index);
        leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(committed);
        self.commit = index;
        self.broadcast_heartbeat(now);
        if self.history.index() <= index {
            self.apply_committed_voters(now);
        }
    }

    /// Drops members that a committed change removed, and steps down if this replica is one of
    /// them.
    fn apply_committed_voters(&mut self, now: Instant) {
        let voters = self.history.current();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.peers.retain(|id, _| voters.is_member(*id));
        if !voters.is_voter(self.id) {
            self.step_down(self.successor(now), now);
        }
    }

    /// Steps down and lets a successor campaign at once.
    ///
    /// The lease ends here, because the others may elect the successor although they heard this
    /// leader a moment ago.
    pub(super) fn step_down(&mut self, successor: Option<Id>, now: Instant) {
        if let Some(id) = successor {
            self.send(id, Body::Transfer);
        }
        self.become_follower(self.hard.term, None, now);
    }

    /// Completes a leadership transfer once the successor holds the whole log.
    pub(super) fn complete_transfer(&mut self, now: Instant) {
        let last = self.log.last().index;
        let State::Leader(leader) = &self.state else {
            return;
        };
        let Some((id, _)) = leader.transfer else {
            return;
        };
        if leader
            .peers
            .get(&id)
            .is_some_and(|progress| progress.matched == last)
        {
            self.step_down(Some(id), now);
        }
    }
}
