//! Elections: pre-votes, votes, and when votes are refused.

use std::time::Instant;

use super::inbox::Vote;
use super::message::Body;
use super::{HardState, Id, Index, Replica, State, Term};
use crate::election::{Tally, Votes};
use crate::log::Position;

impl Replica {
    /// Asks the other voters whether they would grant a vote, before the term is raised.
    ///
    /// Without this step a replica that was cut off would raise its term again and again, and on
    /// its return every other replica, the leader included, would have to follow into that term:
    /// operators would see commands fail each time a link recovers.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_timer(now);
        if !self.history.current().is_voter(self.id) || self.is_removed() {
            return;
        }
        self.leader = None;
        let mut votes = Votes::default();
        votes.record(self.id, true);
        self.state = State::PreCandidate(votes);
        let last = self.log.last();
        for id in self.other_voters() {
            self.send(id, Body::PreVote { last });
        }
        self.count_pre_votes(now);
    }

    pub(super) fn on_pre_vote(&mut self, from: Id, term: Term, last: Position, now: Instant) {
        if let Some(index) = self.history.removal(from, self.commit) {
            // The vote is answered all the same: this set may be out of date, and the sender may
            // have been admitted since and be the only replica that can lead.
            self.send(from, Body::Removed { index });
        }
        let granted =
            term >= self.hard.term && !self.refuses_votes(now) && last.covers(&self.log.last());
        self.send(
            from,
            Body::PreVoteAnswer {
                proposed: term + 1,
                granted,
            },
        );
    }

    pub(super) fn on_pre_vote_granted(&mut self, from: Id, proposed: Term, now: Instant) {
        if proposed != self.hard.term + 1 {
            return;
        }
        if let State::PreCandidate(votes) = &mut self.state {
            votes.record(from, true);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        let State::PreCandidate(votes) = &self.state else {
            return;
        };
        if votes.result(self.history.current()) == Tally::Won {
            self.start_election(false, now);
        }
    }

    /// Starts a campaign in the next term.
    ///
    /// The requests and the candidate's own vote are released only once the vote is synced: after a
    /// restart a candidate that had forgotten it could vote for another one in the same term.
    fn start_election(&mut self, transfer: bool, now: Instant) {
        self.reset_election_timer(now);
        self.leader = None;
        self.set_hard_state(HardState {
            term: self.hard.term + 1,
            vote: Some(self.id),
        });
        self.state = State::Candidate(Votes::default());
        let last = self.log.last();
        for id in self.other_voters() {
            self.send_synced(id, Body::Vote { last, transfer });
        }
        self.send_synced(self.id, Body::VoteAnswer { granted: true });
    }

    /// Votes for a candidate, at most once per term.
    ///
    /// A learner votes too if it is asked: it may have been promoted by an entry that it doesn't
    /// hold yet, and the group may need its vote to elect the replica that does. The candidate
    /// decides whether a vote counts; the new id of a replica whose disk was wiped isn't in its set
    /// of voters.
    pub(super) fn on_vote(&mut self, from: Id, vote: Vote, now: Instant) {
        if self.refuses_votes(now) && !vote.transfer {
            return;
        }
        if vote.term > self.hard.term {
            self.become_follower(vote.term, None, now);
        }
        let may_vote = self.hard.vote.is_none_or(|id| id == from);
        let granted = vote.term == self.hard.term && may_vote && vote.last.covers(&self.log.last());
        if granted {
            self.set_hard_state(HardState {
                term: vote.term,
                vote: Some(from),
            });
            self.reset_election_timer(now);
        }
        self.send_synced(from, Body::VoteAnswer { granted });
    }

    pub(super) fn on_vote_answer(&mut self, from: Id, granted: bool, now: Instant) {
        let State::Candidate(votes) = &mut self.state else {
            return;
        };
        votes.record(from, granted);
        match votes.result(self.history.current()) {
            Tally::Won => self.become_leader(now),
            Tally::Lost => self.become_follower(self.hard.term, None, now),
            Tally::Pending => {}
        }
    }

    /// Campaigns at once because the leader has stepped down in favour of this replica.
    pub(super) fn on_transfer(&mut self, from: Id, now: Instant) {
        if self.leader == Some(from) && self.history.current().is_voter(self.id) {
            self.start_election(true, now);
        }
    }

    /// Returns whether this replica must refuse votes because a leader may hold a lease.
    ///
    /// A lease relies on every follower that acknowledged its heartbeat to elect nobody else for an
    /// election timeout. A restart forgets when a leader was last heard, so a replica that has just
    /// started behaves as if it had just heard one. Otherwise a restarted follower could help to
    /// elect a second leader whose lease overlaps the first.
    fn refuses_votes(&self, now: Instant) -> bool {
        let leads = matches!(self.state, State::Leader(_));
        leads || now < self.leader_heard_at + self.timing.election
    }

    /// Records that a committed set of voters has removed this replica.
    ///
    /// Nobody sends to a replica that was removed while it was down. Without this message it would
    /// ask for pre-votes forever, and its operator would see a follower that waits for a leader.
    pub(super) fn on_removed(&mut self, index: Index) {
        self.removal_index = self.removal_index.max(index);
    }

    /// Returns whether this replica was removed after the latest set of voters that it holds.
    pub(super) fn is_removed(&self) -> bool {
        self.removal_index > self.history.index()
    }

    pub(super) fn other_voters(&self) -> Vec<Id> {
        let voters = self.history.current().voters.keys();
        voters.copied().filter(|id| *id != self.id).collect()
    }
}
