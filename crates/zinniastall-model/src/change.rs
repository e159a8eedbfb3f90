//! Changes: the commands that the control log carries, and the answers to them.

use serde::{Deserialize, Serialize};
use zinniastall_coord::origin::Stage;

use crate::{
    fingerprint::{Fingerprint, Suspect},
    id,
    member::Member,
    object::{Key, Object},
    routing::{self, Publication},
};

/// Effect of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Creates or replaces an object.
    Apply(Object),
    /// Deletes an object.
    Delete(Key),
    /// Adds an entry instance, or updates its addresses.
    Join(Member),
    /// Removes an entry instance that is gone for good.
    Retire(id::Instance),
    /// Replaces the routing table if its number is higher than that of the table in force.
    ///
    /// A lower or equal number succeeds without an effect, so that a resend needs no command id.
    Publish(Box<Publication>),
    /// Stops sending new requests to the targets of an availability zone.
    Evacuate(id::Zone),
    /// Ends the evacuation of an availability zone.
    Reopen(id::Zone),
    /// Merges the crash records of suspect requests, as reported by instances.
    Suspect(Vec<Suspect>),
    /// Releases a request from quarantine.
    Release(Fingerprint),
    /// Brings software versions of services to a stage, as targets state them.
    Versions(Vec<(id::Service, id::Version, Stage)>),
}

/// Sender and command id of a change, which together make it idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Operator or script that sent the change.
    pub operator: id::Operator,
    /// Command id, unique for the operator.
    pub command: id::Command,
}

/// A change, as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Who sent the change; `None` for the system's own changes.
    pub origin: Option<Origin>,
    /// Revision that the object must have: 0 if it must not exist, `None` for no check.
    pub expected: Option<id::Revision>,
    /// Effect.
    pub body: Body,
}

impl Change {
    /// Returns the change without the source document of a routing table, which entry instances
    /// don't need.
    #[must_use]
    pub fn stripped(mut self) -> Self {
        if let Body::Publish(publication) = &mut self.body {
            publication.document = None;
        }
        self
    }
}

/// Result of applying a change; the same on every replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The change has been applied.
    Done {
        /// Revision of the state after the change.
        revision: id::Revision,
        /// Whether the change narrows what instances may do, so that every member must confirm it.
        narrows: bool,
    },
    /// The object has another revision than expected.
    Conflict {
        /// Revision of the object, see [`State::current_revision`].
        ///
        /// [`State::current_revision`]: crate::state::State::current_revision
        current: id::Revision,
    },
    /// The command id has already been used with another body.
    Reused,
    /// The change is not valid.
    Invalid(Invalid),
}

/// Why a change is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Invalid {
    /// A required field is empty.
    #[error("field {0} must not be empty")]
    Empty(String),
    /// A field exceeds its maximum length.
    #[error("field {0} is too long")]
    Long(String),
    /// A field has an invalid format.
    #[error("field {0} is malformed")]
    Malformed(String),
    /// The object refers to an object that does not exist.
    #[error("{0} does not exist")]
    Missing(String),
    /// Another object refers to this one.
    #[error("still in use by {0}")]
    Used(String),
    /// The routing table is not valid.
    #[error(transparent)]
    Routing(#[from] routing::Error),
    /// The state has reached a size limit.
    #[error("too many objects")]
    Full,
}
