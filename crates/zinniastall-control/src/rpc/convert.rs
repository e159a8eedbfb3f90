//! Between the schema's types and the model's.

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

/// A field without which a request makes no sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    /// The field is missing.
    #[error("field {0} is required")]
    Missing(&'static str),
    /// The field does not have the right form.
    #[error("field {0} is malformed")]
    Malformed(&'static str),
}

impl From<Error> for Status {
    fn from(fault: Error) -> Self {
        Self::invalid_argument(fault.to_string())
    }
}

/// Makes a change of an operator's command.
///
/// The expected revision is required: it is what keeps a resend from running twice after its
/// command id has been forgotten.
pub(super) fn change(command: Option<api::Command>, body: Body) -> Result<Change, Error> {
    let command = command.ok_or(Error::Missing("command"))?;
    let expected = command.expected.ok_or(Error::Missing("command.expected"))?;
    Ok(Change {
        expected: Some(expected),
        ..unconditional(command, body)
    })
}

/// Makes a change of a command that names no object, such as a retirement.
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

/// Reads the kind of an object.
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

/// Reads the key of an object.
pub(super) fn key(number: i32, id: String) -> Result<Key, Error> {
    Ok(Key {
        kind: kind(number)?,
        name: id,
    })
}

/// Reads a replica id, given as hex.
pub(super) fn replica(id: &str) -> Result<u64, Error> {
    u64::from_str_radix(id, 16).map_err(|_| Error::Malformed("replica"))
}

/// Writes a deletion.
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

/// Says whether a committed change is accepted, or still waits for confirmations.
pub(super) const fn acceptance(narrows: bool, waiting: &[String]) -> api::Outcome {
    if narrows && !waiting.is_empty() {
        api::Outcome::Pending
    } else {
        api::Outcome::Accepted
    }
}

/// Writes how a change ended.
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
