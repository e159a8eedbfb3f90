//! Timings of elections and the counting of votes.
//!
//! A follower that heard a leader refuses votes for [`Timing::election`]; a leader's lease is
//! shorter than that by [`Timing::margin`]. The order of these two times is what keeps a leader that
//! was cut off from answering beside its successor, so it is checked before a replica starts.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use thiserror::Error;

use crate::replica::Id;
use crate::voters::Voters;

/// Heartbeats that must fit into an election timeout, so that one lost message elects nobody.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

/// Times by which a group runs; all its replicas need the same ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Least time without a leader after which a replica votes for another; campaigns start at a
    /// random time between this and twice this.
    pub election: Duration,
    /// By how much the lease is shorter than `election`: what the clocks of two instances may
    /// differ by over that time.
    pub margin: Duration,
}

/// Timings that can't keep a group safe or stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The heartbeat is zero.
    #[error("the heartbeat must be longer than zero")]
    Heartbeat,
    /// Too few heartbeats fit into an election timeout.
    #[error("the election timeout must be at least {MIN_HEARTBEATS_PER_ELECTION} heartbeats")]
    Election,
    /// The margin leaves no lease that outlasts a heartbeat.
    #[error("the margin must leave a lease longer than one heartbeat")]
    Margin,
}

impl Timing {
    /// Creates timings from the two main times, with a tenth of the election timeout as margin.
    pub fn new(heartbeat: Duration, election: Duration) -> Self {
        Self {
            heartbeat,
            election,
            margin: election / 10,
        }
    }

    /// Checks that the times fit together.
    ///
    /// # Errors
    ///
    /// [`Error`] names the first time that doesn't fit.
    pub fn check(&self) -> Result<(), Error> {
        if self.heartbeat.is_zero() {
            return Err(Error::Heartbeat);
        }
        if self.election < self.heartbeat * MIN_HEARTBEATS_PER_ELECTION {
            return Err(Error::Election);
        }
        if self.margin.is_zero() || self.lease() <= self.heartbeat {
            return Err(Error::Margin);
        }
        Ok(())
    }

    /// Returns how long a lease lasts from the sending of the heartbeats that gained it.
    pub fn lease(&self) -> Duration {
        self.election.saturating_sub(self.margin)
    }

    pub(crate) fn random_election_timeout(&self, rng: &mut impl Rng) -> Duration {
        self.election + self.election.mul_f64(rng.random::<f64>())
    }
}

/// Answers to one campaign, counted over the voters that the candidate knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Votes {
    answers: IndexMap<Id, bool>,
}

/// How a campaign stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tally {
    /// A majority granted.
    Won,
    /// A majority refused.
    Lost,
    /// Neither has a majority yet.
    Pending,
}

impl Votes {
    /// Notes the first answer of a replica; a doubled message changes nothing.
    pub fn record(&mut self, id: Id, granted: bool) {
        self.answers.entry(id).or_insert(granted);
    }

    /// Counts the answers of those who vote; anyone else's answer counts for nothing.
    pub fn result(&self, voters: &Voters) -> Tally {
        let mut granted = 0;
        let mut refused = 0;
        for (id, answer) in &self.answers {
            match (voters.is_voter(*id), answer) {
                (false, _) => {}
                (true, true) => granted += 1,
                (true, false) => refused += 1,
            }
        }
        if granted >= voters.majority() {
            Tally::Won
        } else if refused > voters.voters.len() - voters.majority() {
            Tally::Lost
        } else {
            Tally::Pending
        }
    }
}
