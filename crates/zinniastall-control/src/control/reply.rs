//! Replies to operators.

use tokio::sync::oneshot;
use zinniastall_coord::replica::Refusal;
use zinniastall_model::{change::Invalid, id};

/// A reply that arrives later.
pub type Deferred<T> = oneshot::Receiver<T>;

/// This replica does not lead, or cannot be sure that it does.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("this replica does not lead")]
pub struct NotLeader {
    /// Address of the leader's operator interface, if known.
    pub leader: Option<String>,
}

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The write is committed.
    Done {
        /// Revision that it created; 0 for a change of the group.
        revision: id::Revision,
        /// Whether it narrows what instances may do, so that it counts as accepted only after all
        /// members have confirmed it.
        narrows: bool,
        /// Members that have not confirmed it yet.
        waiting: Vec<id::Instance>,
    },
    /// Another write came first.
    Conflict {
        /// Current revision of the object.
        current: id::Revision,
    },
    /// The command id was already used with another body.
    Reused,
    /// The change is not valid.
    Invalid(Invalid),
    /// The group refused the change; it has no effect.
    Refused(Refusal),
    /// This replica does not lead; the write has no effect.
    NotLeader(NotLeader),
    /// The write may or may not take effect.
    Unknown,
}
