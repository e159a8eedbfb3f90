//! What a majority holds, asked by a replica that knows no leader, at its start and whenever it is asked to.
//!
//! A replica that starts doesn't know which of its entries are committed: the next leader tells it, which
//! takes an election and a commit, seven round trips of a group that has lost power. In that time every
//! entry instance is without a configuration, though a majority may hold all that was acknowledged.
//!
//! So the replica asks the others for their last entry. Its own last entry is committed, and nothing
//! behind it is, where the replica and those that answer are in the very term of that entry, a majority
//! of voters holds it, and a majority holds nothing behind it:
//!
//! - no leader of a later term stands or has stood, since its majority would share a voter with the first
//!   one, whose term would be later;
//! - a later candidate needs the vote of one of the first majority, and gets it only if it holds the entry;
//! - whatever was committed behind the entry would be held by one of the second majority.
//!
//! An answer counts only for the survey that asked for it, so that it is younger than the begin of the survey:
//! whatever was acknowledged before that is covered.

use indexmap::IndexMap;

use super::message::Body;
use super::{Id, Replica, State, Term};
use crate::log::Position;

/// Number of a survey, random.
pub(super) type Number = u64;

/// Answers to one replica's question.
#[derive(Debug)]
pub(super) struct Survey {
    number: Number,
    answers: IndexMap<Id, Answer>,
}

/// Where a voter stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Answer {
    term: Term,
    last: Position,
}

impl Default for Survey {
    /// Creates a survey under a number of its own: the seed of election timeouts may be the same at each
    /// start, and an answer to a survey before the last stop says nothing of what was committed since.
    fn default() -> Self {
        Self {
            number: rand::random(),
            answers: IndexMap::new(),
        }
    }
}

impl Replica {
    /// Begins a survey, unless a leader is known or one is in progress; returns its number.
    pub fn begin_survey(&mut self) -> Option<u64> {
        if self.survey.is_some() {
            return None;
        }
        let survey = Survey::default();
        let number = survey.number;
        self.survey = Some(survey);
        self.poll_survey();
        // The only voter knows at once.
        let is_begun = self.survey.is_some() || self.surveyed == Some(number);
        is_begun.then_some(number)
    }

    /// Returns the last survey that was answered: all that was acknowledged before it began is committed here.
    pub const fn surveyed(&self) -> Option<u64> {
        self.surveyed
    }

    /// Asks the other voters where they stand, until it is known or a leader says what is committed.
    ///
    /// Asked again at each tick: who starts later hasn't heard the first question.
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

    /// Tells another replica where this one stands, once that is synced.
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

    /// Commits this replica's log where a majority holds it and a majority holds no more.
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
        // This replica itself belongs to both.
        if holding.min(not_ahead) + 1 >= voters.majority() {
            self.commit = self.commit.max(last.index);
            self.surveyed = Some(survey.number);
            self.survey = None;
        }
    }
}
