//! Times and weights of a deployment.

use std::time::Duration;

use crate::decide::budget::Bound;

/// Times and weights by which the request path decides.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Bound on requests that are sent a second time.
    pub repeats: Bound,
    /// Prompt tokens that an engine reads in a millisecond, as its operators state it.
    pub read_rate: f64,
    /// Time that an engine takes to compare a million pairs of prompt tokens, in milliseconds.
    pub pairs_ms: f64,
    /// Time that a plain service takes for a request, until it has been measured.
    pub work: Duration,
    /// Time to another region and back.
    pub trip: Duration,
}

impl Default for Policy {
    /// What engines of the usual size do, and regions of one continent.
    fn default() -> Self {
        Self {
            repeats: Bound::default(),
            read_rate: 44.0,
            pairs_ms: 0.75,
            work: Duration::from_millis(20),
            trip: Duration::from_millis(120),
        }
    }
}
