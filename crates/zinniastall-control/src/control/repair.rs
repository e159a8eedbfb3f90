//! Decides which change of voters repairs the group next.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_coord::{
    Id,
    replica::{Peer, Status},
    voters::{Address, Change},
};

/// Silence after which a voter may be removed from an even set. It is longer than a restart or an
/// election takes, since a voter that is removed and comes back has to catch up and be promoted
/// again.
const REMOVAL_SILENCE: Duration = Duration::from_secs(6);
/// Silence after which a voter gives way to a new one at the same address.
const REPLACEMENT_SILENCE: Duration = Duration::from_secs(1);
/// Entries that a learner may lack when it is promoted; it receives them within a message or two.
const MAX_PROMOTION_LAG: u64 = 8;

/// Time after which a step without effect is repeated: it was refused, or its answer was lost.
pub const STEP_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Limits how often a step is repeated.
///
/// Replacing a lost disk takes three steps, and if a second disk is lost before the last one, the
/// group can never elect a leader again. A timer between the steps would extend that window by a
/// second, so each step follows as soon as the previous one is in force.
#[derive(Debug, Default)]
pub struct Throttle {
    last: Option<(Change, Instant)>,
}

impl Throttle {
    /// Returns whether a step is due, and records it if so.
    pub fn is_due(&mut self, step: &Change, now: Instant) -> bool {
        let is_repeated =
            |(last, at): &(Change, Instant)| last == step && now < *at + STEP_RETRY_INTERVAL;
        if self.last.as_ref().is_some_and(is_repeated) {
            return false;
        }
        self.last = Some((step.clone(), now));
        true
    }
}

/// A group as its leader sees it.
struct Group<'a> {
    status: &'a Status,
    /// Replicas that ask to join, with their addresses.
    join_requests: &'a IndexMap<Id, Address>,
}

/// Returns the next change of voters that repairs a group, as its leader sees it.
///
/// `join_requests` holds the replicas that ask to join, with their addresses. There is no next step
/// until the previous change is committed.
pub fn next_step(status: &Status, join_requests: &IndexMap<Id, Address>) -> Option<Change> {
    if status.voters_index > status.commit {
        return None;
    }
    let group = Group {
        status,
        join_requests,
    };
    let remove = |id| Change::Remove { id };
    let promote = |id| Change::Promote { id };
    let replaced = group.replaced();
    // Promoting the new voter first would make an even set: with the silent voter in it, every
    // voter that answers would be needed for a majority, and one more loss before the next step
    // would leave a group that can never elect a leader again. A group of two keeps both voters
    // until the new one is promoted.
    let first = replaced.filter(|_| status.voters.voters.len() > 2);
    first
        .map(remove)
        .or_else(|| group.caught_up().map(promote))
        .or_else(|| group.stale_learner().map(remove))
        .or_else(|| group.admission())
        .or_else(|| group.surplus_voter().map(remove))
}

impl Group<'_> {
    fn peer(&self, id: Id) -> Option<&Peer> {
        self.status.peers.get(&id)
    }

    fn is_reachable(&self, id: Id) -> bool {
        self.peer(id).is_some_and(|peer| peer.reachable)
    }

    fn is_silent(&self, id: Id, least: Duration) -> bool {
        let long =
            |peer: &Peer| !peer.reachable && peer.silent.is_none_or(|silent| silent >= least);
        id != self.status.id && self.peer(id).is_some_and(long)
    }

    fn voters(&self) -> impl Iterator<Item = Id> {
        self.status.voters.voters.keys().copied()
    }

    fn learners(&self) -> impl Iterator<Item = Id> {
        self.status.voters.learners.keys().copied()
    }

    /// Returns a silent voter whose address belongs to another voter or to a reachable learner.
    fn replaced(&self) -> Option<Id> {
        let address = |id: Id| self.status.voters.address(id);
        let is_taken = |id: Id| {
            let same = |other: Id| other != id && address(other) == address(id);
            let answers = |other: Id| same(other) && self.is_reachable(other);
            self.voters().any(same) || self.learners().any(answers)
        };
        let is_replaced = |id: &Id| self.is_silent(*id, REPLACEMENT_SILENCE) && is_taken(*id);
        self.voters().find(is_replaced)
    }

    fn caught_up(&self) -> Option<Id> {
        let commit = self.status.commit;
        let has_all = |peer: &Peer| peer.reachable && peer.matched + MAX_PROMOTION_LAG >= commit;
        self.learners()
            .find(|id| self.peer(*id).is_some_and(has_all))
    }

    fn stale_learner(&self) -> Option<Id> {
        let is_stale =
            |id: &Id| self.is_silent(*id, REMOVAL_SILENCE) && !self.join_requests.contains_key(id);
        self.learners().find(is_stale)
    }

    fn admission(&self) -> Option<Change> {
        let voters = &self.status.voters;
        let (id, address) = self
            .join_requests
            .iter()
            .find(|(id, _)| !voters.is_member(**id))?;
        Some(Change::Admit {
            id: *id,
            address: address.clone(),
        })
    }

    /// Returns a silent voter of an even set. Without it the group tolerates as many losses and
    /// needs one vote less for a majority.
    fn surplus_voter(&self) -> Option<Id> {
        let size = self.status.voters.voters.len();
        let is_even = size > 2 && size.is_multiple_of(2);
        self.voters()
            .find(|id| is_even && self.is_silent(*id, REMOVAL_SILENCE))
    }
}
