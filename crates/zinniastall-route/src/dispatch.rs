//! Sixth filter: decides whether a failed attempt is retried.
//!
//! A retry may run a request twice. It is therefore permitted only after an attempt that certainly
//! did not run, or for an idempotent request. It also needs the retry budget and must start before
//! the deadline, so that an outage of some targets does not multiply the load of the others.

use std::time::Instant;

use crate::{
    outcome::{Outcome, Refusal},
    request::Request,
};

/// Maximum number of attempts for one request, including the first.
pub const ATTEMPT_LIMIT: u32 = 3;

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Another attempt is made.
    Retry,
    /// The request ends.
    End,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Number of attempts made.
    pub attempts: u32,
    /// Whether part of a response has been sent to the caller.
    pub relayed: bool,
    /// Whether the retry budget holds a retry.
    pub has_budget: bool,
}

/// Decides what follows a failed attempt.
pub fn next(request: &Request, failure: &Refusal, progress: Progress, now: Instant) -> Next {
    let safe = failure.outcome == Outcome::NotRun || request.idempotent;
    let left = now < request.deadline && progress.attempts < ATTEMPT_LIMIT;
    if safe && left && progress.has_budget && !progress.relayed {
        Next::Retry
    } else {
        Next::End
    }
}

/// Merges the refusals of two attempts: a request is "not run" only if no attempt may have run.
///
/// The reason is that of the attempt which determines the outcome.
#[must_use]
pub fn merge(earlier: Option<Refusal>, later: Refusal) -> Refusal {
    match earlier {
        Some(earlier)
            if earlier.outcome == Outcome::Unknown && later.outcome == Outcome::NotRun =>
        {
            Refusal {
                retry_after: later.retry_after.or(earlier.retry_after),
                ..earlier
            }
        }
        _ => later,
    }
}
