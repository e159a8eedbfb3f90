//! Changes: what the control log carries and what applying it answers.

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::{Fingerprint, Suspect},
    id,
    member::Member,
    object::{Key, Object},
    routing::{self, Publication},
};

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Creates or replaces an object.
    Apply(Object),
    /// Deletes an object.
    Delete(Key),
    /// Adds an entry instance, or takes note of its new addresses.
    Join(Member),
    /// Declares an entry instance gone for certain.
    Retire(id::Instance),
    /// Replaces the routing table, if its number is higher than the one in force; a lower or equal
    /// number changes nothing and is done all the same, so that a resend needs no command id.
    Publish(Box<Publication>),
    /// Lets no new request go to the targets of an availability zone.
    Evacuate(id::Zone),
    /// Takes an evacuation back.
    Reopen(id::Zone),
    /// Adds to what is known of requests that are not run any more, as instances found it out.
    Suspect(Vec<Suspect>),
    /// Lets a request run again that is not run any more.
    Release(Fingerprint),
}

/// Who asks, and under which id: together they make a change idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Operator or script.
    pub operator: id::Operator,
    /// Command id.
    pub command: id::Command,
}

/// One change, as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Who asked; `None` for the system's own changes.
    pub origin: Option<Origin>,
    /// Revision that the object must have; 0 when it must not exist, `None` for no check.
    pub expected: Option<id::Revision>,
    /// What it does.
    pub body: Body,
}

impl Change {
    /// Returns the change as entry instances need it: without the operators' text of a routing table.
    #[must_use]
    pub fn stripped(mut self) -> Self {
        if let Body::Publish(publication) = &mut self.body {
            publication.document = None;
        }
        self
    }
}

/// What applying a change answered; the same on every replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The state has it.
    Done {
        /// Revision that it made.
        revision: id::Revision,
        /// Whether it narrows what instances may do, so that every member must confirm it.
        narrows: bool,
    },
    /// Another change came first.
    Conflict {
        /// Revision that the object has; 0 when it does not exist.
        current: id::Revision,
    },
    /// The command id was used before with another body.
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
    /// A field is longer than allowed.
    #[error("field {0} is too long")]
    Long(String),
    /// A field does not have the right form.
    #[error("field {0} is malformed")]
    Malformed(String),
    /// The object refers to one that does not exist.
    #[error("{0} does not exist")]
    Missing(String),
    /// Another object refers to this one.
    #[error("still in use by {0}")]
    Used(String),
    /// The routing table is not valid.
    #[error(transparent)]
    Routing(#[from] routing::Error),
    /// The state holds as many objects as it may.
    #[error("too many objects")]
    Full,
}
