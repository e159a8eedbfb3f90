//! Exit status of the program.

use std::process::ExitCode;

use zinniastall_api::operator::Outcome;

/// Outcome of an invocation; its number is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Status {
    /// The call succeeded, or the write was accepted.
    Accepted = 0,
    /// The call failed, or no replica was reached before anything was sent.
    Failed = 1,
    /// The command line or its JSON is not valid.
    Usage = 2,
    /// The object's revision is not the expected one, since another write came first.
    Conflict = 3,
    /// The write is committed but not yet confirmed by all instances.
    Pending = 4,
    /// The command id was already used with another body.
    Reused = 5,
    /// The write was rejected as not valid.
    Invalid = 6,
    /// The write may or may not have taken effect.
    Unknown = 7,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        Self::from(status as u8)
    }
}

impl From<Outcome> for Status {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted => Self::Accepted,
            Outcome::Pending => Self::Pending,
            Outcome::Conflict => Self::Conflict,
            Outcome::Reused => Self::Reused,
            Outcome::Invalid => Self::Invalid,
            Outcome::Unknown => Self::Unknown,
            Outcome::NotLeader | Outcome::Unavailable | Outcome::Unspecified => Self::Failed,
        }
    }
}
