//! Names of HTTP headers that the system reads and writes.

/// Request: request class, such as `interactive` or `batch`.
pub const CLASS: &str = "x-zinniastall-class";
/// Request: time left to the deadline, in milliseconds.
pub const DEADLINE: &str = "x-zinniastall-deadline-ms";
/// Request: `true` if it may be repeated, `false` if it runs at most once.
pub const IDEMPOTENT: &str = "x-zinniastall-idempotent";
/// Request: ticket of a request that runs at most once. Response: a new ticket, in the refusal of a
/// request that lacks one.
pub const TICKET: &str = "x-zinniastall-ticket";
/// Request to a target: offset at which an interrupted stream resumes, in events.
pub const OFFSET: &str = "x-zinniastall-offset";
/// Request to a target: name of the client.
pub const CLIENT: &str = "x-zinniastall-client";
/// Request and response: id of the request, for logs.
pub const REQUEST: &str = "x-zinniastall-request";
/// Request: id of the last event of a stream that the caller received; the stream goes on after it
/// (WHATWG HTML, 9.2).
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Request: id of the request that brought the first event of a stream which its caller takes up.
pub const RESUMES: &str = "resumes";
/// Order to a target: fencing token.
pub const FENCE: &str = "x-zinniastall-fence";
/// Response: outcome of the request: `answered`, `not-run` or `unknown`. A target sets `not-run`
/// when it refuses a request without running it.
pub const OUTCOME: &str = "x-zinniastall-outcome";
/// Response: delay before a retry, in milliseconds; `retry-after` holds it rounded up to seconds.
pub const RETRY: &str = "x-zinniastall-retry-ms";
/// Response: entry instance that received the request.
pub const INSTANCE: &str = "x-zinniastall-instance";
/// Response: target that served the request.
pub const TARGET: &str = "x-zinniastall-target";
/// Response: region and availability zone of the target that served the request.
pub const PLACE: &str = "x-zinniastall-place";
/// Response of a target: version of the software that wrote the answer. Request to a target: version
/// at which an interrupted stream resumes; others refuse it.
pub const SOFTWARE: &str = "x-zinniastall-software";
/// Response of a target: requests per second that it takes from all instances together, as a decimal
/// number, for as long as it says so.
pub const RATE_LIMIT: &str = "rate-limit";
/// Response of a target: `1` if it leaves and gets no new requests, until its next run.
pub const LEAVING: &str = "leaving";
/// Response of a target: rejections per second that it bears from all instances together, as a decimal
/// number, for as long as it says so.
pub const REJECTION_LIMIT: &str = "rejection-limit";
