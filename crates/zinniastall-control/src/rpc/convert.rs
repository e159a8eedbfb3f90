//! Converts between the types of the schema and those of the model.

mod object;
mod routing;

use tonic::Status;
use zinniastall_api::operator as api;
use zinniastall_model::{
    change::{Body, Change, Origin},
    object::{Key, Kind},
};

pub(super) use self::{
    object::{object, record},
    routing::{published, routing},
};
use crate::control::Reply;

/// A request has a missing or malformed field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    /// The field is missing.
    #[error("field {0} is required")]
    Missing(&'static str),
    /// The field is malformed.
    #[error("field {0} is malformed")]
    Malformed(&'static str),
}

impl From<Error> for Status {
    fn from(fault: Error) -> Self {
        Self::invalid_argument(fault.to_string())
    }
}

/// Converts an operator's command into a change.
///
/// The expected revision is required: it keeps a resent command from being applied twice after its
/// command id has been forgotten.
pub(super) fn change(command: Option<api::Command>, body: Body) -> Result<Change, Error> {
    let command = command.ok_or(Error::Missing("command"))?;
    let expected = command.expected.ok_or(Error::Missing("command.expected"))?;
    Ok(Change {
        expected: Some(expected),
        ..unconditional(command, body)
    })
}

/// Converts a command without an expected revision, such as a retirement, into a change.
pub(super) fn unconditional(command: api::Command, body: Body) -> Change {
    Change {
        origin: Some(Origin {
            operator: command.operator,
            command: command.id,
        }),
        expected: None,
        body,
    }
}

/// Converts the kind of an object.
pub(super) fn kind(number: i32) -> Result<Kind, Error> {
    match api::Kind::try_from(number) {
        Ok(api::Kind::Client) => Ok(Kind::Client),
        Ok(api::Kind::Route) => Ok(Kind::Route),
        Ok(api::Kind::Model) => Ok(Kind::Model),
        Ok(api::Kind::Adapter) => Ok(Kind::Adapter),
        Ok(api::Kind::Residency) => Ok(Kind::Residency),
        Ok(api::Kind::Role) => Ok(Kind::Role),
        Ok(api::Kind::Unspecified) | Err(_) => Err(Error::Missing("kind")),
    }
}

/// Converts the key of an object.
pub(super) fn key(number: i32, id: String) -> Result<Key, Error> {
    Ok(Key {
        kind: kind(number)?,
        name: id,
    })
}

/// Parses a replica id given as hex.
pub(super) fn replica(id: &str) -> Result<u64, Error> {
    u64::from_str_radix(id, 16).map_err(|_| Error::Malformed("replica"))
}

/// Converts the key of a deleted object.
pub(super) fn removed(key: &Key) -> api::Removed {
    let kind = match key.kind {
        Kind::Client => api::Kind::Client,
        Kind::Route => api::Kind::Route,
        Kind::Model => api::Kind::Model,
        Kind::Adapter => api::Kind::Adapter,
        Kind::Residency => api::Kind::Residency,
        Kind::Role => api::Kind::Role,
    };
    api::Removed {
        kind: kind.into(),
        id: key.name.clone(),
    }
}

/// Returns whether a committed change is accepted or still waits for confirmations.
pub(super) const fn acceptance(narrows: bool, waiting: &[String]) -> api::Outcome {
    if narrows && !waiting.is_empty() {
        api::Outcome::Pending
    } else {
        api::Outcome::Accepted
    }
}

/// Converts the outcome of a change.
pub(super) fn response(reply: Reply) -> api::ChangeResponse {
    use api::Outcome;
    let empty = api::ChangeResponse::default();
    let with = |outcome: Outcome| api::ChangeResponse {
        outcome: outcome.into(),
        ..empty.clone()
    };
    match reply {
        Reply::Done {
            revision,
            narrows,
            waiting,
        } => api::ChangeResponse {
            revision,
            current: revision,
            waiting: waiting.clone(),
            ..with(acceptance(narrows, &waiting))
        },
        Reply::Conflict { current } => api::ChangeResponse {
            current,
            ..with(Outcome::Conflict)
        },
        Reply::Reused => with(Outcome::Reused),
        Reply::Invalid(fault) => api::ChangeResponse {
            reason: fault.to_string(),
            ..with(Outcome::Invalid)
        },
        Reply::Refused(refusal) => api::ChangeResponse {
            reason: refusal.to_string(),
            ..with(if refusal.is_transient() {
                Outcome::Unavailable
            } else {
                Outcome::Invalid
            })
        },
        Reply::NotLeader(not) => api::ChangeResponse {
            leader: not.leader.unwrap_or_default(),
            ..with(Outcome::NotLeader)
        },
        Reply::Unknown => with(Outcome::Unknown),
    }
}
