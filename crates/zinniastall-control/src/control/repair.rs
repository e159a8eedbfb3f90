//! Decides which change of voters repairs the group next.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::{
    Id,
    replica::{Peer, Status},
    voters::{Address, Change},
};

/// Silence after which a voter that the group can spare is removed. A machine that was lost for good
/// must not count for longer than its successor needs to catch up; one that comes back rejoins with
/// its log and misses only a few entries.
const REMOVAL_SILENCE: Duration = Duration::from_secs(2);
/// Silence after which a learner that no longer asks to join is removed.
const LEARNER_SILENCE: Duration = Duration::from_secs(6);
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

/// What replicas ask of the leader.
#[derive(Debug, Default)]
pub struct Requests {
    /// Replicas that ask to join, with their addresses.
    pub join: IndexMap<Id, Address>,
    /// Members that are shutting down.
    pub leave: IndexSet<Id>,
}

/// A group as its leader sees it.
struct Group<'a> {
    status: &'a Status,
    requests: &'a Requests,
    /// Losses of a disk that the group must bear at once.
    losses: usize,
}

/// Returns whether a group of this many voters can spare one that is gone.
///
/// `answering` is the number of voters that would remain and answer, `losses` the number of disks
/// whose loss at once the group must bear. An even set bears as many losses without one of its
/// voters and needs one vote less. An odd set is reduced only while the voters that answer bear the
/// losses on their own: if they are fewer, the one that is gone may come back with the only copy of a
/// change that is left.
pub(super) const fn can_spare_voter(voters: usize, answering: usize, losses: usize) -> bool {
    let is_even = voters > 2 && voters.is_multiple_of(2);
    is_even || answering > 2 * losses
}

/// Returns the next change of voters that repairs a group, as its leader sees it.
///
/// `losses` is the number of disks whose loss at once the group must bear. There is no next step
/// until the previous change is committed.
pub fn next_step(status: &Status, requests: &Requests, losses: usize) -> Option<Change> {
    if status.voters_index > status.commit {
        return None;
    }
    let group = Group {
        status,
        requests,
        losses,
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
        .or_else(|| group.unneeded_learner())
        .map(remove)
        .or_else(|| group.caught_up().map(promote))
        .or_else(|| group.surplus_voter().map(remove))
        .or_else(|| group.admission())
}

impl Group<'_> {
    fn peer(&self, id: Id) -> Option<&Peer> {
        self.status.peers.get(&id)
    }

    fn is_reachable(&self, id: Id) -> bool {
        self.peer(id).is_some_and(|peer| peer.reachable)
    }

    /// Returns whether a member has not answered for a time. One that has not answered this leader
    /// yet may do so at any moment, so the time counts from when it began to lead.
    fn is_silent(&self, id: Id, least: Duration) -> bool {
        let silent = |peer: &Peer| peer.silent.or(self.status.leading);
        let long =
            |peer: &Peer| !peer.reachable && silent(peer).is_some_and(|silent| silent >= least);
        id != self.status.id && self.peer(id).is_some_and(long)
    }

    /// Returns whether a member whose address another one has taken over has not answered lately.
    fn is_superseded(&self, id: Id) -> bool {
        let is_old = |silent: Duration| silent >= REPLACEMENT_SILENCE;
        let is_gone = |peer: &Peer| !peer.reachable && peer.silent.is_none_or(is_old);
        id != self.status.id && self.peer(id).is_some_and(is_gone)
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
        let is_replaced = |id: &Id| self.is_superseded(*id) && is_taken(*id);
        self.voters().find(is_replaced)
    }

    fn is_up_to_date(&self, id: Id) -> bool {
        let commit = self.status.commit;
        let has_all = |peer: &Peer| peer.reachable && peer.matched + MAX_PROMOTION_LAG >= commit;
        id == self.status.id || self.peer(id).is_some_and(has_all)
    }

    fn is_leaving(&self, id: Id) -> bool {
        self.requests.leave.contains(&id)
    }

    fn caught_up(&self) -> Option<Id> {
        self.learners().find(|id| self.is_up_to_date(*id))
    }

    /// Returns a learner that is shutting down, or is silent and no longer asks to join.
    fn unneeded_learner(&self) -> Option<Id> {
        let is_stale =
            |id: Id| self.is_silent(id, LEARNER_SILENCE) && !self.requests.join.contains_key(&id);
        self.learners()
            .find(|id| self.is_leaving(*id) || is_stale(*id))
    }

    fn admission(&self) -> Option<Change> {
        let voters = &self.status.voters;
        let (id, address) = self
            .requests
            .join
            .iter()
            .find(|(id, _)| !voters.is_member(**id) && !self.is_leaving(**id))?;
        Some(Change::Admit {
            id: *id,
            address: address.clone(),
        })
    }

    /// Returns a voter that is shutting down or silent, if the group can spare it.
    fn surplus_voter(&self) -> Option<Id> {
        let remains = |id: &Id| !self.is_leaving(*id) && self.is_up_to_date(*id);
        let answering = self.voters().filter(remains).count();
        let voters = self.status.voters.voters.len();
        let is_gone = |id: &Id| self.is_leaving(*id) || self.is_silent(*id, REMOVAL_SILENCE);
        self.voters()
            .find(is_gone)
            .filter(|_| can_spare_voter(voters, answering, self.losses))
    }
}
