//! Which change of voters repairs a group next.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_coord::{
    Id,
    replica::{Peer, Status},
    voters::{Address, Change},
};

/// Silence after which a voter may be removed from an even set. It is longer than a restart or an
/// election takes, since a voter that comes back has to catch up and be promoted anew.
const REMOVAL_SILENCE: Duration = Duration::from_secs(6);
/// Silence after which the voter before gives way to a new one at its own address.
const REPLACEMENT_SILENCE: Duration = Duration::from_secs(1);
/// Entries that a learner may lack when it is promoted; it gets them within a message or two.
const MAX_PROMOTION_LAG: u64 = 8;

/// Time after which a step is repeated that changed nothing: it was refused, or its answer is lost.
pub const STEP_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// When a step is due.
///
/// A lost disk takes three steps, and until the last one a second lost disk leaves a group that never leads
/// again. Steps that each wait for a timer take a second of that time; here one follows as soon as the one
/// before is in force.
#[derive(Debug, Default)]
pub struct Throttle {
    last: Option<(Change, Instant)>,
}

impl Throttle {
    /// Tells whether a step is due, and notes it if so.
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
    /// Replicas that ask to be taken in, with their addresses.
    join_requests: &'a IndexMap<Id, Address>,
}

/// Returns the next change of voters that repairs a group, as its leader sees it.
///
/// `asking` are the replicas that ask to be taken in, with their addresses. There is none while the change
/// before isn't in force.
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
    // Promoted beside the one that it replaces, the new voter would make an even set, in which all that
    // answer make a majority: one more loss before the next step would leave a group that never leads
    // again. Two voters stay two until the new one counts.
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

    /// Returns a silent voter whose address belongs to another voter, or to a learner that answers.
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

    /// Returns a silent voter of an even set: without it as many others may be lost, and one vote less makes
    /// a majority.
    fn surplus_voter(&self) -> Option<Id> {
        let size = self.status.voters.voters.len();
        let is_even = size > 2 && size.is_multiple_of(2);
        self.voters()
            .find(|id| is_even && self.is_silent(*id, REMOVAL_SILENCE))
    }
}
