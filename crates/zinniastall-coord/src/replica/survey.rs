//! Survey: finds out without a leader whether this replica holds all committed entries.
//!
//! A replica that starts doesn't know which of its entries are committed. The next leader tells it,
//! but that takes an election and a commit: seven round trips in a group that has lost power.
//! During that time every entry instance would lack a configuration, although a majority may hold
//! everything that was acknowledged.
//!
//! So the replica asks the others for their term and last entry. Its own last entry is committed,
//! and nothing after it is, if this replica and those that answer are in the term of that entry, a
//! majority of voters holds the entry, and a majority holds nothing after it:
//!
//! - There is and was no leader of a later term: its majority would share a voter with the first
//!   majority, and that voter would be in the later term.
//! - A later candidate needs the vote of a member of the first majority, and gets it only if it
//!   holds the entry.
//! - Whatever was committed after the entry would be held by a member of the second majority.
//!
//! An answer counts only for the survey that asked for it. It is therefore newer than the start of
//! the survey, and everything acknowledged before that start is covered.

use indexmap::IndexMap;

use super::message::Body;
use super::{Id, Replica, State, Term};
use crate::log::Position;

/// Random number of a survey.
pub(super) type Number = u64;

/// A survey in progress and the answers so far.
#[derive(Debug)]
pub(super) struct Survey {
    number: Number,
    answers: IndexMap<Id, Answer>,
}

/// A voter's term and last entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Answer {
    term: Term,
    last: Position,
}

impl Default for Survey {
    /// Creates a survey with a random number. It doesn't come from the seed of the election
    /// timeouts, which may be the same at each start: an answer to a survey from before a restart
    /// says nothing of what was committed since.
    fn default() -> Self {
        Self {
            number: rand::random(),
            answers: IndexMap::new(),
        }
    }
}

impl Replica {
    /// Begins a survey, unless a leader is known or a survey is in progress; returns its number.
    pub fn begin_survey(&mut self) -> Option<u64> {
        if self.survey.is_some() {
            return None;
        }
        let survey = Survey::default();
        let number = survey.number;
        self.survey = Some(survey);
        self.poll_survey();
        // A single voter concludes the survey at once.
        let is_begun = self.survey.is_some() || self.surveyed == Some(number);
        is_begun.then_some(number)
    }

    /// Returns the number of the last concluded survey: everything acknowledged before it began is
    /// committed here.
    pub const fn surveyed(&self) -> Option<u64> {
        self.surveyed
    }

    /// Asks the other voters until the survey is concluded or a leader announces what is committed.
    ///
    /// The question is repeated at each tick, because a voter that starts later hasn't received the
    /// first one.
    pub(super) fn poll_survey(&mut self) {
        if self.leader.is_some()
            || !matches!(self.state, State::Follower(_) | State::PreCandidate(_))
        {
            self.survey = None;
        }
        let Some(survey) = &self.survey else { return };
        let number = survey.number;
        if !self.history.current().is_voter(self.id) {
            return;
        }
        for id in self.other_voters() {
            self.send(id, Body::Survey { number });
        }
        self.conclude_survey();
    }

    /// Answers a survey with this replica's last entry, once that is synced.
    pub(super) fn on_survey(&mut self, from: Id, number: u64) {
        let last = self.log.last();
        self.send_synced(from, Body::SurveyAnswer { number, last });
    }

    pub(super) fn on_survey_answer(&mut self, from: Id, term: Term, number: u64, last: Position) {
        let Some(survey) = &mut self.survey else {
            return;
        };
        if survey.number != number {
            return;
        }
        survey.answers.insert(from, Answer { term, last });
        self.conclude_survey();
    }

    /// Commits this replica's log if a majority holds all of it and a majority holds nothing after
    /// it.
    fn conclude_survey(&mut self) {
        let (term, last) = (self.hard.term, self.log.last());
        let is_synced = self.durable.synced_index() == last.index;
        let Some(survey) = &self.survey else { return };
        if last.term != term || !is_synced {
            return;
        }
        let voters = self.history.current();
        let answers = survey
            .answers
            .iter()
            .filter(|(id, answer)| voters.is_voter(**id) && answer.term == term);
        let positions: Vec<Position> = answers.map(|(_, answer)| answer.last).collect();
        let holding = positions
            .iter()
            .filter(|position| position.covers(&last))
            .count();
        let not_ahead = positions
            .iter()
            .filter(|position| last.covers(position))
            .count();
        // This replica belongs to both majorities.
        if holding.min(not_ahead) + 1 >= voters.majority() {
            self.commit = self.commit.max(last.index);
            self.surveyed = Some(survey.number);
            self.survey = None;
        }
    }
}
