//! Voters and learners of a group, and changes of them.
//!
//! The set changes by one replica at a time. Any majority of the set before a change and any
//! majority of the set after it share a replica, so the two sets can't elect two leaders at once. A
//! new replica is admitted as a learner, which receives the log without counting towards
//! majorities, and is promoted once it has caught up.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::replica::Id;

/// Address of a replica, in the form in which the embedder dials it.
pub type Address = String;

/// The replicas of a group with their addresses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Replicas whose votes and acknowledgements count.
    pub voters: IndexMap<Id, Address>,
    /// Replicas that receive the log but don't count.
    pub learners: IndexMap<Id, Address>,
}

/// A change from one set to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    Admit {
        /// Replica to add.
        id: Id,
        /// Address of the replica.
        address: Address,
    },
    /// Makes a learner a voter.
    Promote {
        /// Learner to promote.
        id: Id,
    },
    /// Removes a voter or a learner.
    Remove {
        /// Replica to remove.
        id: Id,
    },
    /// Changes the address of a member.
    Move {
        /// Member that moved.
        id: Id,
        /// New address.
        address: Address,
    },
}

/// Error of a change that doesn't fit the current set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The replica is already a member.
    #[error("replica {0} is a member already")]
    Member(Id),
    /// The replica isn't a member.
    #[error("replica {0} is no member")]
    Unknown(Id),
    /// The replica isn't a learner.
    #[error("replica {0} is no learner")]
    Learner(Id),
    /// The replica is the last voter.
    #[error("replica {0} is the last voter")]
    Last(Id),
}

impl Voters {
    /// Creates the set of a group that one replica founds.
    pub fn founding(id: Id, address: impl Into<Address>) -> Self {
        Self {
            voters: IndexMap::from([(id, address.into())]),
            learners: IndexMap::new(),
        }
    }

    /// Returns the number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a replica is a voter.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns whether a replica is a voter or a learner.
    pub fn is_member(&self, id: Id) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// Returns the ids of voters and learners.
    pub fn members(&self) -> impl Iterator<Item = Id> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// Returns the address of a member.
    pub fn address(&self, id: Id) -> Option<&Address> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Returns the set after one change.
    ///
    /// # Errors
    ///
    /// [`Error`](enum@Error) when the change doesn't fit this set.
    pub fn after(&self, change: &Change) -> Result<Self, Error> {
        let mut next = self.clone();
        match change {
            Change::Admit { id, address } => next.admit(*id, address.clone())?,
            Change::Promote { id } => next.promote(*id)?,
            Change::Remove { id } => next.remove(*id)?,
            Change::Move { id, address } => next.relocate(*id, address.clone())?,
        }
        Ok(next)
    }

    fn admit(&mut self, id: Id, address: Address) -> Result<(), Error> {
        if self.is_member(id) {
            return Err(Error::Member(id));
        }
        self.learners.insert(id, address);
        Ok(())
    }

    fn promote(&mut self, id: Id) -> Result<(), Error> {
        let address = self.learners.shift_remove(&id).ok_or(Error::Learner(id))?;
        self.voters.insert(id, address);
        Ok(())
    }

    fn remove(&mut self, id: Id) -> Result<(), Error> {
        if self.is_voter(id) && self.voters.len() == 1 {
            return Err(Error::Last(id));
        }
        let voter = self.voters.shift_remove(&id);
        voter
            .or_else(|| self.learners.shift_remove(&id))
            .ok_or(Error::Unknown(id))?;
        Ok(())
    }

    fn relocate(&mut self, id: Id, address: Address) -> Result<(), Error> {
        let held = self
            .voters
            .get_mut(&id)
            .or_else(|| self.learners.get_mut(&id));
        *held.ok_or(Error::Unknown(id))? = address;
        Ok(())
    }
}
