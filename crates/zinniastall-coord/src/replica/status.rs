//! A replica's view of itself and its group, for operators and for the embedder's decisions.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Cluster, Id, Index, Term};
use crate::voters::Voters;

/// The role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for pre-votes.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// A leader's view of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Last index that the member has synced.
    pub matched: Index,
    /// Time since the member last answered, if it did in this term.
    pub silent: Option<Duration>,
    /// Whether it answered within the last election timeout.
    pub reachable: bool,
}

/// A replica's view of itself and its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Id of this replica.
    pub id: Id,
    /// Its cluster, unless it is fresh.
    pub cluster: Option<Cluster>,
    /// Its role.
    pub role: Role,
    /// Its current term.
    pub term: Term,
    /// Leader that it knows.
    pub leader: Option<Id>,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index handed out to be applied.
    pub applied: Index,
    /// Last index of its log.
    pub last: Index,
    /// Latest set of voters in its log.
    pub voters: Voters,
    /// Index of that set in the log; the set is committed once `commit` reaches it.
    pub voters_index: Index,
    /// Time for which it has led, on a leader only.
    pub leading: Option<Duration>,
    /// The other members, on a leader only.
    pub peers: IndexMap<Id, Peer>,
    /// Whether this replica was told that it has been removed, so that its data folder may be
    /// deleted.
    pub removed: bool,
    /// First instant at which the lease of a leader no longer holds.
    pub lease_until: Option<Instant>,
}

impl Status {
    /// Returns how many voters may be lost at once without stopping the group or losing a change.
    ///
    /// Counts the voters that answered within an election timeout and hold every committed entry,
    /// and subtracts a majority;
    /// [`Replica::failure_tolerance_since`](super::Replica::failure_tolerance_since) asks them
    /// again. It is known on a leader only, and zero while a change of voters isn't committed: an
    /// operator who repairs a group waits until it is above zero before another replica may be
    /// taken down.
    pub fn failure_tolerance(&self) -> usize {
        if self.role != Role::Leader || self.voters_index > self.commit {
            return 0;
        }
        let up_to_date = self
            .voters
            .voters
            .keys()
            .filter(|id| self.is_up_to_date(**id))
            .count();
        up_to_date.saturating_sub(self.voters.majority())
    }

    fn is_up_to_date(&self, id: Id) -> bool {
        let up_to_date = |peer: &Peer| peer.reachable && peer.matched >= self.commit;
        id == self.id || self.peers.get(&id).is_some_and(up_to_date)
    }
}
