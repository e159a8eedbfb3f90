//! Why a replica doesn't take a proposal.

use thiserror::Error;

use super::{Id, Index};
use crate::voters::Error;

/// Why a proposal, a change of voters or a barrier was refused; nothing of it took effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Another replica leads, if any is known.
    #[error("this replica does not lead; leader: {leader:?}")]
    NotLeader {
        /// Leader heard last.
        leader: Option<Id>,
    },
    /// The leader has not yet committed an entry of its own term.
    #[error("the leader has not committed in its own term yet")]
    Unready,
    /// Leadership is being handed over.
    #[error("leadership is being handed over")]
    Transferring,
    /// Too many bytes wait to be committed.
    #[error("{bytes} bytes wait to be committed, the limit is {limit}")]
    Busy {
        /// Bytes that wait.
        bytes: usize,
        /// Bytes that may wait.
        limit: usize,
    },
    /// The command is larger than a message may be.
    #[error("the command has {bytes} bytes, the limit is {limit}")]
    TooLarge {
        /// Bytes of the command.
        bytes: usize,
        /// Bytes a command may have.
        limit: usize,
    },
    /// The change before has not been committed yet.
    #[error("the change of voters at {index} is not committed yet")]
    Pending {
        /// Place of that change.
        index: Index,
    },
    /// The change doesn't fit the present set.
    #[error(transparent)]
    Voters(#[from] Error),
    /// The learner has not caught up.
    #[error("the learner holds entries up to {matched}, committed is {commit}")]
    Behind {
        /// Last entry the learner holds.
        matched: Index,
        /// Last committed entry.
        commit: Index,
    },
    /// The learner has not been heard for an election timeout.
    #[error("learner {id} does not answer")]
    Silent {
        /// The learner.
        id: Id,
    },
    /// The set after the change would have no majority that answers.
    #[error("only {reachable} voters of the new set answer, {needed} are needed")]
    Unreachable {
        /// Voters that were heard within an election timeout.
        reachable: usize,
        /// Majority of the new set.
        needed: usize,
    },
    /// No other voter has caught up.
    #[error("no other voter can take over")]
    NoSuccessor,
}

impl Refusal {
    /// Tells whether the same proposal may be taken later without any change to it.
    pub const fn is_transient(&self) -> bool {
        !matches!(self, Self::TooLarge { .. } | Self::Voters(_))
    }
}
