//! Majority decisions of a leader: commit index, quorum check and lease.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::leader::Leader;
use super::{Id, Index, Peer, Replica, State};
use crate::lease::Lease;
use crate::voters::Voters;

impl Replica {
    /// Returns the lease of a leader that may act without asking the others.
    ///
    /// A new leader has no lease before it has applied an entry of its own term: until then it
    /// doesn't know which of its predecessors' entries are committed, and a read could miss one
    /// that an operator was told of.
    pub fn lease(&self, now: Instant) -> Option<Lease> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if self.applied < leader.first_index || leader.transfer.is_some() {
            return None;
        }
        let acked_at = self.majority_acked(leader, now)?;
        let lease = Lease {
            term: self.hard.term,
            until: acked_at + self.timing.lease(),
        };
        lease.holds(now).then_some(lease)
    }

    /// Returns whether a majority answered within an election timeout.
    ///
    /// Without this check a leader on the minority side of a partition would accept commands that
    /// it can never commit, and its callers would wait instead of being sent to the other side.
    pub(super) fn has_quorum(&self, now: Instant) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let heard = self
            .majority_acked(leader, now)
            .unwrap_or(leader.since)
            .max(leader.since);
        now < heard + self.timing.election
    }

    /// Returns the latest instant such that a majority has acknowledged messages sent after it.
    fn majority_acked(&self, leader: &Leader, now: Instant) -> Option<Instant> {
        self.majority(|id| {
            if id == self.id {
                Some(now)
            } else {
                leader.peers.get(&id)?.acked_at
            }
        })
        .flatten()
    }

    /// Returns the last index that a majority has synced, on a leader.
    pub(super) fn majority_matched(&self) -> Option<Index> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        self.majority(|id| {
            if id == self.id {
                self.durable.synced_index()
            } else {
                leader.peers.get(&id).map_or(0, |progress| progress.matched)
            }
        })
    }

    /// Returns the latest heartbeat round that a majority has answered, on a leader.
    pub(super) fn majority_round(&self, leader: &Leader) -> Option<u64> {
        self.majority(|id| {
            if id == self.id {
                leader.round
            } else {
                leader.peers.get(&id).map_or(0, |progress| progress.round)
            }
        })
    }

    /// Returns the highest value that a majority of voters reaches.
    fn majority<T: Ord>(&self, value: impl FnMut(Id) -> T) -> Option<T> {
        let voters = self.history.current();
        let mut values: Vec<T> = voters.voters.keys().copied().map(value).collect();
        values.sort_unstable_by(|one, other| other.cmp(one));
        values.into_iter().nth(voters.majority() - 1)
    }

    /// Counts the voters of a set that answered within an election timeout.
    pub(super) fn count_reachable(&self, voters: &Voters, now: Instant) -> usize {
        let State::Leader(leader) = &self.state else {
            return 0;
        };
        let answers = |id: &Id| {
            *id == self.id
                || leader
                    .peers
                    .get(id)
                    .is_some_and(|peer| peer.is_reachable(&self.timing, now))
        };
        voters.voters.keys().filter(|id| answers(id)).count()
    }

    /// Returns the reachable voter that holds most of the log.
    pub(super) fn successor(&self, now: Instant) -> Option<Id> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let voters = self.history.current();
        let candidates = leader.peers.iter().filter(|(id, progress)| {
            voters.is_voter(**id) && progress.is_reachable(&self.timing, now)
        });
        candidates
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(id, _)| *id)
    }

    pub(super) fn leading(&self, now: Instant) -> Option<Duration> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        Some(now.saturating_duration_since(leader.since))
    }

    pub(super) fn peers(&self, now: Instant) -> IndexMap<Id, Peer> {
        let State::Leader(leader) = &self.state else {
            return IndexMap::new();
        };
        let view = leader.peers.iter().map(|(id, progress)| {
            let peer = Peer {
                matched: progress.matched,
                silent: progress
                    .heard_at
                    .map(|heard_at| now.saturating_duration_since(heard_at)),
                reachable: progress.is_reachable(&self.timing, now),
            };
            (*id, peer)
        });
        view.collect()
    }
}
