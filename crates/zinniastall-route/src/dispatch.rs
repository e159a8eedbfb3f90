//! Sixth filter: what may follow an attempt that brought no whole answer.
//!
//! A retry may run a request twice. It is therefore permitted only after an attempt that certainly
//! did not run, or for an idempotent request; and only within a budget and before the deadline, so
//! that an outage of some targets isn't multiplied onto the rest.

use std::time::Instant;

use crate::{
    outcome::{Outcome, Refusal},
    request::Request,
};

/// Most attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Another target is tried.
    Retry,
    /// The request ends.
    End,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Attempts made.
    pub attempts: u32,
    /// Whether a part of an answer has gone to the caller.
    pub relayed: bool,
    /// Whether the retry budget has something left.
    pub has_budget: bool,
}

/// Decides on what follows a failed attempt.
pub fn next(request: &Request, failure: &Refusal, progress: Progress, now: Instant) -> Next {
    let safe = failure.outcome == Outcome::NotRun || request.idempotent;
    let left = now < request.deadline && progress.attempts < MAX_ATTEMPTS;
    if safe && left && progress.has_budget && !progress.relayed {
        Next::Retry
    } else {
        Next::End
    }
}

/// Merges the ends of two attempts: a request is "not run" only if no attempt may have run.
///
/// The caller is told why the attempt ended that decides on the outcome.
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
