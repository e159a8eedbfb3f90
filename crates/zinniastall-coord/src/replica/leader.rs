//! The leader's side: replication, commitment and stepping down.

use std::collections::VecDeque;
use std::time::Instant;

use super::message::{Body, Message, Outcome};
use super::progress::{Peers, Progress, Source};
use super::{Id, Index, Replica, Role};
use crate::election::Timing;
use crate::log::{Entry, Payload};

/// Rounds remembered in the time of a heartbeat.
const ROUNDS_PER_HEARTBEAT: u32 = 16;

/// What a leader keeps beside the log.
#[derive(Debug)]
pub(super) struct Leader {
    /// When it began to lead.
    pub(super) since: Instant,
    /// Place of the entry with which its term began.
    pub(super) first: Index,
    pub(super) peers: Peers,
    /// Bytes of entries that wait to be committed.
    pub(super) waiting: usize,
    /// Successor that is being brought up to date, until when.
    pub(super) handover: Option<(Id, Instant)>,
    /// Number of the present heartbeat round.
    pub(super) round: u64,
    rounds: VecDeque<(u64, Instant)>,
    beat_at: Instant,
}

impl Leader {
    /// Opens a round: answers to messages sent from now on carry its number.
    ///
    /// Each commit and each barrier opens one, thousands on a busy leader. Only so many are
    /// remembered; one that isn't counts as opened with the last remembered before it, which makes a
    /// lease shorter by a part of a heartbeat and never longer.
    fn open_round(&mut self, timing: &Timing, now: Instant) {
        self.round += 1;
        let apart = timing.heartbeat / ROUNDS_PER_HEARTBEAT;
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
            .is_none_or(|(_, opened)| *opened + apart <= now)
        {
            self.rounds.push_back((self.round, now));
        }
    }

    /// Notes that a member was heard, and from which round on it follows.
    fn hear(&mut self, from: Id, round: u64, now: Instant) -> Option<&mut Progress> {
        let progress = self.peers.get_mut(&from)?;
        progress.heard = Some(now);
        if round > progress.round {
            let opened = self
                .rounds
                .iter()
                .rev()
                .find(|(number, _)| *number <= round);
            progress.round = round;
            progress.acked = opened.map(|(_, opened)| *opened).or(progress.acked);
        }
        Some(progress)
    }
}

impl Replica {
    /// Begins to lead with an entry of its own term, which commits all that came before.
    pub(super) fn lead(&mut self, now: Instant) {
        let last = self.log.last().index;
        let others = self.history.current().members().filter(|id| *id != self.id);
        let peers = others.map(|id| (id, Progress::new(last))).collect();
        let waiting = self.log.bytes(self.commit + 1, last);
        self.leader = Some(self.id);
        self.role = Role::Leader(Box::new(Leader {
            since: now,
            first: last + 1,
            peers,
            waiting,
            handover: None,
            round: 0,
            rounds: VecDeque::new(),
            beat_at: now,
        }));
        self.append_own(Payload::Noop);
        self.beat(now);
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        if !self.has_quorum(now) {
            self.follow(self.hard.term, None, now);
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.handover.take_if(|(_, until)| now >= *until);
        if now >= leader.beat_at {
            self.beat(now);
        }
    }

    /// Opens a heartbeat round and sends to every member.
    pub(super) fn beat(&mut self, now: Instant) {
        if let Role::Leader(leader) = &mut self.role {
            leader.open_round(&self.timing, now);
            leader.beat_at = now + self.timing.heartbeat;
        }
        self.send_next(None, now, Progress::heartbeat);
    }

    /// Sends new entries to every member that may be sent more.
    pub(super) fn replicate(&mut self, now: Instant) {
        self.send_next(None, now, Progress::entries);
    }

    /// Sends to one peer or to all what `next` makes for each.
    fn send_next<Bodies: IntoIterator<Item = Body>>(
        &mut self,
        only: Option<Id>,
        now: Instant,
        mut next: impl FnMut(&mut Progress, &Source<'_>) -> Bodies,
    ) {
        let (Role::Leader(leader), Some(cluster)) = (&mut self.role, self.cluster) else {
            return;
        };
        let source = Source {
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
            for body in next(progress, &source) {
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

    pub(super) fn append_answered(&mut self, from: Id, round: u64, outcome: Outcome, now: Instant) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.hear(from, round, now) else {
            return;
        };
        match outcome {
            Outcome::Accepted { matched } => {
                if progress.accepted(matched.min(last), now) {
                    self.advance_commit(now);
                }
                self.replicate(now);
                self.hand_over(now);
            }
            Outcome::Rejected { previous, hint } => {
                if progress.rejected(previous, hint, &self.log) {
                    self.send_next(Some(from), now, Progress::heartbeat);
                }
            }
        }
    }

    pub(super) fn chunk_answered(
        &mut self,
        from: Id,
        round: u64,
        (last, received): (Index, u64),
        now: Instant,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.hear(from, round, now).is_some() {
            self.send_next(Some(from), now, |progress, source| {
                progress.chunk_taken(last, received, source)
            });
        }
    }

    /// Appends an entry of the leader's own term.
    pub(super) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index + 1;
        let entry = Entry {
            term: self.hard.term,
            index,
            payload,
        };
        if let Role::Leader(leader) = &mut self.role {
            leader.waiting += entry.size();
        }
        self.append(entry);
        index
    }

    /// Commits what a majority has synced.
    ///
    /// Only an entry of the leader's own term counts: one of an earlier term could still be
    /// replaced by a replica that has a later entry, although a majority holds it.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Some(index) = self.majority_matched() else {
            return;
        };
        if index <= self.commit || self.log.term(index) != Some(self.hard.term) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let committed = self.log.bytes(self.commit + 1, index);
        leader.waiting = leader.waiting.saturating_sub(committed);
        self.commit = index;
        self.beat(now);
        if self.history.index() <= index {
            self.settle_voters(now);
        }
    }

    /// Lets go of members that a committed change removed, and steps down if this is one.
    fn settle_voters(&mut self, now: Instant) {
        let voters = self.history.current();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.peers.retain(|id, _| voters.is_member(*id));
        if !voters.is_voter(self.id) {
            self.step_down_for(self.successor(now), now);
        }
    }

    /// Stops leading and lets a successor campaign at once.
    ///
    /// The lease ends here: the others may elect the successor although they heard this leader a
    /// moment ago.
    pub(super) fn step_down_for(&mut self, successor: Option<Id>, now: Instant) {
        if let Some(id) = successor {
            self.send(id, Body::Transfer);
        }
        self.follow(self.hard.term, None, now);
    }

    /// Hands leadership over once the chosen successor holds everything.
    pub(super) fn hand_over(&mut self, now: Instant) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some((id, _)) = leader.handover else {
            return;
        };
        if leader
            .peers
            .get(&id)
            .is_some_and(|progress| progress.matched == last)
        {
            self.step_down_for(Some(id), now);
        }
    }
}
