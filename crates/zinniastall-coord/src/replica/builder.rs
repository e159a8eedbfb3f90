//! Settings of a replica.

use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::durable::Durable;
use super::history::History;
use super::ready::{Ready, Restored};
use super::{Follower, Id, Replica, Role};
use crate::election::{Fault, Timing};
use crate::log::Log;

/// Bounds on what a replica keeps and sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of entries or of a snapshot in one message.
    pub message: usize,
    /// Bytes sent to one follower before it acknowledges.
    pub window: usize,
    /// Bytes of one command.
    pub command: usize,
    /// Bytes that may wait to be committed.
    pub uncommitted: usize,
    /// Entries kept behind a snapshot for followers that are a little late.
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
}

impl Builder {
    pub(super) fn new(id: Id, timing: Timing) -> Self {
        Self {
            id,
            timing,
            limits: Limits::default(),
            restored: Restored::default(),
            seed: id,
        }
    }

    /// Gives back what the store held; without it the replica is fresh.
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

    /// Sets the seed of election timeouts, by default the id.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the replica as a follower that starts to wait at `now`.
    ///
    /// # Errors
    ///
    /// [`Fault`] when the timings can't keep a group safe.
    pub fn build(self, now: Instant) -> Result<Replica, Fault> {
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
            history.note(&entry);
            log.push(entry);
        }
        Ok(Replica {
            id: self.id,
            cluster,
            timing: self.timing,
            limits: self.limits,
            hard,
            durable: Durable::new(log.last().index),
            log,
            history,
            commit: base.index,
            applied: base.index,
            snapshot,
            role: Role::Follower(Follower::default()),
            leader: None,
            heard: now,
            removed_at: 0,
            campaign_at: now + self.timing.campaign(&mut rng),
            rng,
            pending: Ready::default(),
        })
    }
}
