//! The rules that hold for every message before it is acted on.

use std::time::Instant;

use super::message::{Body, Message, Outcome};
use super::{Id, Replica, Term};
use crate::log::Position;

impl Replica {
    /// Takes a message that a link brought from another replica.
    ///
    /// Messages may be lost, doubled, late or out of order. One for another replica or of another
    /// cluster is dropped.
    pub fn receive(&mut self, from: Id, message: Message, now: Instant) {
        if message.to != self.id || !self.is_of_cluster(&message) {
            return;
        }
        let Message { term, body, .. } = message;
        match body {
            Body::PreVote { last } => self.pre_vote_asked(from, term, last, now),
            Body::PreVoteAnswer {
                proposed,
                granted: true,
            } => {
                self.pre_vote_granted(from, proposed, now);
            }
            Body::Vote { last, transfer } => {
                self.vote_asked(
                    from,
                    Vote {
                        term,
                        last,
                        transfer,
                    },
                    now,
                );
            }
            Body::Removed { index } => self.removal_told(index),
            Body::Survey { number } => self.survey_asked(from, number),
            Body::Standing { number, last } => self.survey_answered(from, term, number, last),
            body => self.receive_in_term(from, term, body, now),
        }
    }

    /// Checks the cluster; a fresh replica joins that of the first leader that addresses it.
    fn is_of_cluster(&mut self, message: &Message) -> bool {
        if let Some(cluster) = self.cluster {
            return message.cluster == cluster;
        }
        let joins = matches!(message.body, Body::Append(_) | Body::Chunk(_));
        if joins {
            self.cluster = Some(message.cluster);
            self.pending.cluster = self.cluster;
        }
        joins
    }

    fn receive_in_term(&mut self, from: Id, term: Term, body: Body, now: Instant) {
        if term < self.hard.term {
            self.refuse_outdated(from, &body);
            return;
        }
        if term > self.hard.term {
            self.follow(term, None, now);
        }
        match body {
            Body::Append(append) => self.append_received(from, append, now),
            Body::AppendAnswer { round, outcome } => {
                self.append_answered(from, round, outcome, now);
            }
            Body::Chunk(chunk) => self.chunk_received(from, &chunk, now),
            Body::ChunkAnswer {
                round,
                last,
                received,
            } => {
                self.chunk_answered(from, round, (last, received), now);
            }
            Body::VoteAnswer { granted } => self.vote_answered(from, granted, now),
            Body::Transfer => self.transfer_received(from, now),
            Body::PreVote { .. }
            | Body::PreVoteAnswer { .. }
            | Body::Vote { .. }
            | Body::Survey { .. }
            | Body::Standing { .. }
            | Body::Removed { .. } => {}
        }
    }

    /// Tells a leader of an earlier term that there is a later one.
    ///
    /// Without an answer it would go on sending to this replica, which could never follow it, and
    /// a group that needs this replica for its majority would stand still.
    fn refuse_outdated(&mut self, from: Id, body: &Body) {
        if matches!(body, Body::Append(_) | Body::Chunk(_)) {
            let outcome = Outcome::Rejected {
                previous: 0,
                hint: Position::default(),
            };
            self.send(from, Body::AppendAnswer { round: 0, outcome });
        }
    }
}

/// A candidate's request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Vote {
    pub(super) term: Term,
    pub(super) last: Position,
    pub(super) transfer: bool,
}
