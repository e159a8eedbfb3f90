//! Names of the HTTP headers that the system reads and writes.

/// Request: class, such as `interactive` or `batch`.
pub const CLASS: &str = "x-zinniastall-class";
/// Request: time left to the deadline, in milliseconds.
pub const DEADLINE: &str = "x-zinniastall-deadline-ms";
/// Request: `true` when it may be repeated, `false` when it runs at most once.
pub const IDEMPOTENT: &str = "x-zinniastall-idempotent";
/// Request: ticket of work that runs at most once. Answer: a fresh ticket in a refusal for want of
/// one.
pub const TICKET: &str = "x-zinniastall-ticket";
/// Request to a target: offset at which a broken stream resumes, in events.
pub const OFFSET: &str = "x-zinniastall-offset";
/// Request to a target: the client.
pub const CLIENT: &str = "x-zinniastall-client";
/// Both ways: id of the request, for logs.
pub const REQUEST: &str = "x-zinniastall-request";
/// Order to a target: fencing number.
pub const FENCE: &str = "x-zinniastall-fence";
/// Answer: how the request ended, `answered`, `not-run` or `unknown`. A target that refuses work
/// before running it says `not-run` here.
pub const OUTCOME: &str = "x-zinniastall-outcome";
/// Answer: when to come back, in milliseconds; `retry-after` has it rounded up to seconds.
pub const RETRY: &str = "x-zinniastall-retry-ms";
/// Answer: entry instance that received the request.
pub const INSTANCE: &str = "x-zinniastall-instance";
/// Answer: target that served the request.
pub const TARGET: &str = "x-zinniastall-target";
/// Answer: region and availability zone of the target that served the request.
pub const PLACE: &str = "x-zinniastall-place";
