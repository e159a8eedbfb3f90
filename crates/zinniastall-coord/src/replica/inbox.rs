//! Checks and dispatch of incoming messages.

use std::time::Instant;

use super::message::{Body, Message, Outcome};
use super::{Id, Replica, Term};
use crate::log::Position;

impl Replica {
    /// Processes a message from another replica.
    ///
    /// Messages may be lost, duplicated, delayed or reordered. A message for another replica or
    /// from another cluster is dropped.
    pub fn receive(&mut self, from: Id, message: Message, now: Instant) {
        if message.to != self.id || !self.accepts_cluster(&message) {
            return;
        }
        let Message { term, body, .. } = message;
        match body {
            Body::PreVote { last } => self.on_pre_vote(from, term, last, now),
            Body::PreVoteAnswer {
                proposed,
                granted: true,
            } => {
                self.on_pre_vote_granted(from, proposed, now);
            }
            Body::Vote { last, transfer } => {
                self.on_vote(
                    from,
                    Vote {
                        term,
                        last,
                        transfer,
                    },
                    now,
                );
            }
            Body::Removed { index } => self.on_removed(index),
            Body::Survey { number } => self.on_survey(from, number),
            Body::SurveyAnswer { number, last } => self.on_survey_answer(from, term, number, last),
            body => self.receive_in_term(from, term, body, now),
        }
    }

    /// Returns whether a message belongs to this cluster. A fresh replica joins the cluster of the
    /// first leader that addresses it.
    fn accepts_cluster(&mut self, message: &Message) -> bool {
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
            self.reject_stale_term(from, &body);
            return;
        }
        if term > self.hard.term {
            self.become_follower(term, None, now);
        }
        match body {
            Body::Append(append) => self.on_append(from, append, now),
            Body::AppendAnswer { round, outcome } => {
                self.on_append_answer(from, round, outcome, now);
            }
            Body::Chunk(chunk) => self.on_chunk(from, &chunk, now),
            Body::ChunkAnswer {
                round,
                last,
                received,
            } => {
                self.on_chunk_answer(from, round, (last, received), now);
            }
            Body::VoteAnswer { granted } => self.on_vote_answer(from, granted, now),
            Body::Transfer => self.on_transfer(from, now),
            Body::PreVote { .. }
            | Body::PreVoteAnswer { .. }
            | Body::Vote { .. }
            | Body::Survey { .. }
            | Body::SurveyAnswer { .. }
            | Body::Removed { .. } => {}
        }
    }

    /// Tells a leader of an earlier term about the later one.
    ///
    /// Without an answer it would keep sending to this replica, which can't follow it, and a group
    /// that needs this replica for its majority would make no progress.
    fn reject_stale_term(&mut self, from: Id, body: &Body) {
        if matches!(body, Body::Append(_) | Body::Chunk(_)) {
            let outcome = Outcome::Rejected {
                previous: 0,
                hint: Position::default(),
            };
            self.send(from, Body::AppendAnswer { round: 0, outcome });
        }
    }
}

/// A vote request of a candidate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Vote {
    pub(super) term: Term,
    pub(super) last: Position,
    pub(super) transfer: bool,
}
