//! A replica's view of itself and its group, for operators and for the embedder's decisions.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Cluster, Id, Index, Term};
use crate::voters::Voters;

/// What a replica does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether a campaign would be granted.
    PreCandidate,
    /// Campaigns.
    Candidate,
    /// Leads.
    Leader,
}

/// A leader's view of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Last entry that the member has synced.
    pub matched: Index,
    /// Time since the member was heard, if it ever was in this term.
    pub silent: Option<Duration>,
    /// Whether it answered within the last election timeout.
    pub reachable: bool,
}

/// A replica's view of itself and its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: Id,
    /// Its cluster, unless it is fresh.
    pub cluster: Option<Cluster>,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader it knows.
    pub leader: Option<Id>,
    /// Last entry known to be committed.
    pub commit: Index,
    /// Last entry handed out to be applied.
    pub applied: Index,
    /// Last entry of its log.
    pub last: Index,
    /// Latest set of voters in its log.
    pub voters: Voters,
    /// Place of that set in the log; the set is in force for good once `commit` reaches it.
    pub voters_index: Index,
    /// The other members, on a leader only.
    pub peers: IndexMap<Id, Peer>,
    /// Whether this replica was told that it has been removed: its folder may be cleared.
    pub removed: bool,
    /// First instant at which a leader's lease no longer holds.
    pub lease_until: Option<Instant>,
}

impl Status {
    /// Returns how many voters may be lost at once without stopping the group or losing a change.
    ///
    /// Counts the voters that were heard within an election timeout and hold every committed entry, less
    /// a majority; [`Replica::failure_tolerance_since`](super::Replica::failure_tolerance_since) asks anew. It is known
    /// on a leader only, and zero while a change of voters isn't committed: an operator who repairs
    /// a group waits until it is above zero before the next loss is safe.
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
