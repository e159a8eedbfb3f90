//! Errors of proposals and barriers.

use thiserror::Error;

use super::{Id, Index};
use crate::voters::Error;

/// Reason why a proposal, a change of voters or a barrier was refused; nothing of it took effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// This replica doesn't lead; another one may.
    #[error("this replica does not lead; leader: {leader:?}")]
    NotLeader {
        /// The leader that this replica knows.
        leader: Option<Id>,
    },
    /// The leader has not yet committed an entry of its own term.
    #[error("the leader has not committed in its own term yet")]
    Unready,
    /// A leadership transfer is in progress.
    #[error("leadership is being handed over")]
    Transferring,
    /// Too many bytes are waiting to be committed.
    #[error("{bytes} bytes wait to be committed, the limit is {limit}")]
    Busy {
        /// Bytes that are waiting.
        bytes: usize,
        /// Most bytes that may wait.
        limit: usize,
    },
    /// The command is larger than the limit.
    #[error("the command has {bytes} bytes, the limit is {limit}")]
    TooLarge {
        /// Size of the command in bytes.
        bytes: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// The previous change of voters is not committed yet.
    #[error("the change of voters at {index} is not committed yet")]
    Pending {
        /// Index of that change.
        index: Index,
    },
    /// The change doesn't fit the current set.
    #[error(transparent)]
    Voters(#[from] Error),
    /// The learner has not caught up.
    #[error("the learner holds entries up to {matched}, committed is {commit}")]
    Behind {
        /// Last index that the learner holds.
        matched: Index,
        /// Last committed index.
        commit: Index,
    },
    /// The learner has not answered within an election timeout.
    #[error("learner {id} does not answer")]
    Silent {
        /// The learner.
        id: Id,
    },
    /// The new set would have no reachable majority.
    #[error("only {reachable} voters of the new set answer, {needed} are needed")]
    Unreachable {
        /// Voters of the new set that answered within an election timeout.
        reachable: usize,
        /// Size of a majority of the new set.
        needed: usize,
    },
    /// No other voter is reachable.
    #[error("no other voter can take over")]
    NoSuccessor,
}

impl Refusal {
    /// Returns whether the same proposal may be accepted later without any change to it.
    pub const fn is_transient(&self) -> bool {
        !matches!(self, Self::TooLarge { .. } | Self::Voters(_))
    }
}
