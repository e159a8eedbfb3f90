//! Configuration of a replica.

use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::durable::Tracker;
use super::history::History;
use super::ready::{Ready, Restored};
use super::survey::Survey;
use super::{Follower, Id, Replica, State};
use crate::election::{Error, Timing};
use crate::log::Log;

/// Bounds on what a replica keeps and sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of entries or of a snapshot in one message.
    pub message: usize,
    /// Unacknowledged bytes sent to one follower.
    pub window: usize,
    /// Bytes of one command.
    pub command: usize,
    /// Bytes of entries that are not committed yet.
    pub uncommitted: usize,
    /// Entries kept before the end of a snapshot, for followers that are slightly behind.
    pub retain: u64,
    /// Entries by which a learner may be behind when it is promoted.
    pub lag: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            message: 256 << 10,
            window: 1 << 20,
            command: 1 << 20,
            uncommitted: 8 << 20,
            retain: 512,
            lag: 64,
        }
    }
}

/// Builds a [`Replica`].
#[derive(Debug)]
pub struct Builder {
    id: Id,
    timing: Timing,
    limits: Limits,
    restored: Restored,
    seed: u64,
    leases: bool,
}

impl Builder {
    pub(super) fn new(id: Id, timing: Timing) -> Self {
        Self {
            id,
            timing,
            limits: Limits::default(),
            restored: Restored::default(),
            seed: id,
            leases: true,
        }
    }

    /// Sets what the store held; without it the replica is fresh.
    #[must_use]
    pub fn restored(mut self, restored: Restored) -> Self {
        self.restored = restored;
        self
    }

    /// Sets the bounds on memory and messages.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the seed of the random election timeouts, by default the id.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Declares that the group uses no leases, so that this replica may vote and campaign soon
    /// after its start.
    ///
    /// With leases it must wait for as long as a leader may hold one, because of an acknowledgement
    /// that this replica sent right before it stopped. Without leases that wait only prolongs the
    /// time without a leader after all replicas stopped at once. All replicas of a group need the
    /// same setting.
    #[must_use]
    pub const fn without_leases(mut self) -> Self {
        self.leases = false;
        self
    }

    /// Builds the replica as a follower whose election timer starts at `now`.
    ///
    /// # Errors
    ///
    /// [`Error`](enum@Error) when the timing can't keep a group safe.
    pub fn build(self, now: Instant) -> Result<Replica, Error> {
        self.timing.check()?;
        let mut rng = StdRng::seed_from_u64(self.seed);
        let Restored {
            cluster,
            hard,
            snapshot,
            entries,
        } = self.restored;
        let snapshot = snapshot.map(Arc::new);
        let base = snapshot
            .as_ref()
            .map(|snapshot| snapshot.last)
            .unwrap_or_default();
        let voters = snapshot.as_ref().map(|snapshot| snapshot.voters.clone());
        let mut log = Log::new(base);
        let mut history = History::new(base.index, voters.unwrap_or_default());
        for entry in entries {
            history.record(&entry);
            log.push(entry);
        }
        let first_timeout = self.timing.random_election_timeout(&mut rng);
        let (leader_heard_at, delay) = if self.leases {
            (now, first_timeout)
        } else {
            let early = now.checked_sub(self.timing.election).unwrap_or(now);
            // Links need time to open before other replicas can be asked.
            (
                early,
                first_timeout.saturating_sub(self.timing.election) / 2 + self.timing.heartbeat * 2,
            )
        };
        Ok(Replica {
            id: self.id,
            cluster,
            timing: self.timing,
            limits: self.limits,
            hard,
            durable: Tracker::new(log.last().index),
            log,
            history,
            commit: base.index,
            applied: base.index,
            snapshot,
            state: State::Follower(Follower::default()),
            leader: None,
            leader_heard_at,
            removal_index: 0,
            campaign_at: now + delay,
            survey: Some(Survey::default()),
            surveyed: None,
            rng,
            pending: Ready::default(),
        })
    }
}
