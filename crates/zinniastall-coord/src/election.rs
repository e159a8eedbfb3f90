//! Election timing and vote counting.
//!
//! A follower that heard a leader refuses votes for [`Timing::election`]; a leader's lease is
//! shorter than that by [`Timing::margin`]. This order of the two times keeps a leader that was cut
//! off from answering beside its successor, so it is checked before a replica starts.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use thiserror::Error;

use crate::replica::Id;
use crate::voters::Voters;

/// Heartbeats that must fit into an election timeout, so that a single lost message causes no
/// election.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

/// Timing of a group; all its replicas need the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Minimum election timeout: time without a leader after which a replica votes for another one.
    /// Campaigns start at a random time between this and twice this.
    pub election: Duration,
    /// Difference between `election` and the lease. It bounds by how much the clocks of two
    /// instances may drift apart during an election timeout.
    pub margin: Duration,
}

/// Timing that can't keep a group safe or stable.
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
    /// Creates a timing with a margin of a tenth of the election timeout.
    pub fn new(heartbeat: Duration, election: Duration) -> Self {
        Self {
            heartbeat,
            election,
            margin: election / 10,
        }
    }

    /// Checks that the values fit together.
    ///
    /// # Errors
    ///
    /// [`Error`](enum@Error) names the first value that doesn't fit.
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

    /// Returns the duration of a lease, counted from the sending of the heartbeats that gained it.
    pub fn lease(&self) -> Duration {
        self.election.saturating_sub(self.margin)
    }

    pub(crate) fn random_election_timeout(&self, rng: &mut impl Rng) -> Duration {
        self.election + self.election.mul_f64(rng.random::<f64>())
    }
}

/// Answers to one campaign.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Votes {
    answers: IndexMap<Id, bool>,
}

/// State of a campaign.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tally {
    /// A majority granted their votes.
    Won,
    /// So many refused that no majority is left.
    Lost,
    /// Undecided.
    Pending,
}

impl Votes {
    /// Records the first answer of a replica; duplicates are ignored.
    pub fn record(&mut self, id: Id, granted: bool) {
        self.answers.entry(id).or_insert(granted);
    }

    /// Counts the answers of voters; other answers are ignored.
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
