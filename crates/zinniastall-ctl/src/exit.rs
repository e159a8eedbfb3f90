//! What an answer means for the exit code.

use std::process::ExitCode;

use zinniastall_api::operator::Outcome;

/// How a run ended; the number is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Status {
    /// The call succeeded; a write is accepted.
    Accepted = 0,
    /// The call failed, or no replica could be reached before anything was sent.
    Failed = 1,
    /// The command line or its JSON is wrong.
    Usage = 2,
    /// Another write came first.
    Conflict = 3,
    /// The write is committed and waits for confirmations.
    Pending = 4,
    /// The command id was used with another body.
    Reused = 5,
    /// The write was refused as not valid.
    Invalid = 6,
    /// The write may or may not have taken force.
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
