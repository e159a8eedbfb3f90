//! Names of the header fields exchanged between callers, the gateway and targets.
//!
//! A deployment's adapter supplies its own names.

use http::HeaderName;
use zinniastall_model::header::{self, LEAVING, RATE_LIMIT, REJECTION_LIMIT};

/// Id of the last event that the caller received; a stream resumes after it. Browsers' event
/// sources send this field.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static(header::LAST_EVENT_ID);
/// Field between instances: what the routing table says by which the sender matched the request; see
/// [`Rule`](zinniastall_model::routing::Rule). The receiver handles the request by that table or
/// rejects it.
pub const RULE: HeaderName = HeaderName::from_static("zs-rule");
/// Field between instances: the outcome of a forwarded request when there is no target's answer to
/// pass on.
pub const OUTCOME: HeaderName = HeaderName::from_static("zs-outcome");
/// Field between instances: delay after which a request that was not run may be retried, in
/// milliseconds.
pub const RETRY_MS: HeaderName = HeaderName::from_static("zs-retry-after-ms");
/// Field between instances: the client account that a request was authenticated as.
pub const ACCOUNT: HeaderName = HeaderName::from_static("zs-account");
/// Field between instances: the suspicion against a request that may crash targets, as JSON.
pub const SUSPICION: HeaderName = HeaderName::from_static("zs-suspicion");
/// Field between instances: the suspicions against the request and the parts of its prompt, as JSON.
pub const SUSPICIONS: HeaderName = HeaderName::from_static("zs-suspicions");
/// Field between instances of a region: the request was handed on because the sender doesn't reach
/// the targets. The receiver sends it to a target itself or rejects it.
pub const DETOUR: HeaderName = HeaderName::from_static("zs-detour");
/// Field between instances, in an answer: the target's answer had neither a length nor chunks, so that
/// its end is not known for certain. The answer between the instances states its own end, which tells
/// that the target's connection ended in order.
pub const CLOSE_DELIMITED: HeaderName = HeaderName::from_static("zs-close-delimited");
/// Field between instances: the service and the software version at which a stream has to go on, as
/// JSON. The receiver sends the request to such a target or rejects it.
pub const REQUIRES: HeaderName = HeaderName::from_static("zs-requires");
/// Field between instances, in an answer: the service and the software version of the target that
/// wrote it, as JSON.
pub const ORIGIN: HeaderName = HeaderName::from_static("zs-origin");
/// Prefix of the fields between instances; fields with this prefix are removed from callers'
/// requests.
pub const INTERNAL_PREFIX: &str = "zs-";

/// Header field names of a deployment.
#[derive(Debug, Clone)]
pub struct Names {
    /// Id of a request; targets echo it.
    pub request_id: HeaderName,
    /// Id of the request that brought the first event of a stream that its caller takes up.
    pub resumes: HeaderName,
    /// Time left until a request's deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Target that a request is addressed to; any other target refuses it.
    pub expected_target: HeaderName,
    /// Marks a response to a request that was not run.
    pub not_run: HeaderName,
    /// Mark of a target in each of its answers with a success, if the targets set one. Without it such an
    /// answer isn't the target's.
    pub signature: Option<HeaderName>,
    /// Requests per second that a target takes from all instances together, in its responses.
    pub rate_limit: HeaderName,
    /// Rejections per second that a target bears from all instances together, in its responses.
    pub rejection_limit: HeaderName,
    /// Time for which a target that rejects a request wants no other one from this instance, in seconds or
    /// as a date (RFC 9110, 10.2.3).
    pub pause: HeaderName,
    /// Says in any answer, by the value 1, that the target leaves.
    pub leaving: HeaderName,
    /// Prompt prefixes that a request shares with others, in order, as comma-separated `id:tokens`.
    pub prompt_parts: HeaderName,
    /// Model that a request is for.
    pub model: HeaderName,
    /// Prompt tokens and maximum answer tokens of a request, separated by a comma.
    pub tokens: HeaderName,
    /// Priority of a request at a target, from 0 (most urgent) to 9.
    pub priority: HeaderName,
    /// Client account of a request, sent to targets.
    pub account: HeaderName,
    /// Address of a target from which the receiving target copies the prompt parts that it lacks.
    pub fetch_from: HeaderName,
    /// Fields that only the gateway may send to targets; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("request-id"),
            resumes: HeaderName::from_static(header::RESUMES),
            deadline_ms: HeaderName::from_static("deadline-ms"),
            expected_target: HeaderName::from_static("expected-target"),
            not_run: HeaderName::from_static("not-run"),
            signature: None,
            rate_limit: HeaderName::from_static(RATE_LIMIT),
            rejection_limit: HeaderName::from_static(REJECTION_LIMIT),
            pause: http::header::RETRY_AFTER,
            leaving: HeaderName::from_static(LEAVING),
            prompt_parts: HeaderName::from_static("prompt-parts"),
            model: HeaderName::from_static("model"),
            tokens: HeaderName::from_static("tokens"),
            priority: HeaderName::from_static("priority-rank"),
            account: HeaderName::from_static("account"),
            fetch_from: HeaderName::from_static("fetch-from"),
            reserved: Vec::new(),
        }
    }
}
