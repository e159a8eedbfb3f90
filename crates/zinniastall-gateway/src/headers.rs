//! Names of the header fields with which callers, the gateway and targets speak.
//!
//! A deployment's adapter gives its own names; the decisions behind them stay the same.

use http::HeaderName;

/// Field that says after which event a stream is to go on, as browsers' event sources send it.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Field between instances: the sender's configuration revision. Its presence marks a request that
/// was passed on, which the receiver serves itself or not at all.
pub const REVISION: HeaderName = HeaderName::from_static("zs-revision");
/// Field between instances: how a request ended that the receiver didn't get a target's answer to.
pub const OUTCOME: HeaderName = HeaderName::from_static("zs-outcome");
/// Field between instances: time after which a request that wasn't run may be sent again, in
/// milliseconds.
pub const RETRY_MS: HeaderName = HeaderName::from_static("zs-retry-after-ms");
/// Field between instances: the client account as which a request was identified.
pub const ACCOUNT: HeaderName = HeaderName::from_static("zs-account");
/// Field between instances: what is known of a request that is suspected of crashing targets, as JSON.
pub const SUSPICION: HeaderName = HeaderName::from_static("zs-suspicion");
/// Prefix of the fields between instances; those that a caller sends are dropped.
pub const INTERNAL_PREFIX: &str = "zs-";

/// Names of header fields.
#[derive(Debug, Clone)]
pub struct Names {
    /// Id of a request; targets echo it.
    pub request_id: HeaderName,
    /// Time that is left for a request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Target for which a request is meant; another one refuses it.
    pub expected_target: HeaderName,
    /// Mark of an answer whose request has not run.
    pub not_run: HeaderName,
    /// Beginnings that a request shares with others, `id:tokens` by commas, in order.
    pub prompt_parts: HeaderName,
    /// Tokens of a request's prompt and the most of its answer, with a comma between.
    pub tokens: HeaderName,
    /// Urgency towards a target, from 0 for the most urgent to 9.
    pub priority: HeaderName,
    /// Client account of a request, for targets.
    pub account: HeaderName,
    /// Address of a target from which another one copies parts of a prompt that it lacks.
    pub fetch_from: HeaderName,
    /// Fields that only the gateway may set towards targets; those that a caller sends are dropped.
    pub reserved: Vec<HeaderName>,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("request-id"),
            deadline_ms: HeaderName::from_static("deadline-ms"),
            expected_target: HeaderName::from_static("expected-target"),
            not_run: HeaderName::from_static("not-run"),
            prompt_parts: HeaderName::from_static("prompt-parts"),
            tokens: HeaderName::from_static("tokens"),
            priority: HeaderName::from_static("priority-rank"),
            account: HeaderName::from_static("account"),
            fetch_from: HeaderName::from_static("fetch-from"),
            reserved: Vec::new(),
        }
    }
}
