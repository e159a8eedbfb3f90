//! Errors of the targets' HTTP interface and their responses.

use actix_web::{HttpResponse, ResponseError, http::StatusCode};
use serde_json::json;
use zinniastall_model::id;

/// Why an announcement or a leave request is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The body is not valid JSON of the expected form.
    #[error("body is malformed: {0}")]
    Body(String),
    /// A field is out of bounds.
    #[error("field {0} is out of bounds")]
    Field(&'static str),
    /// A later incarnation of the target is known.
    #[error("incarnation {0} of this target is known; announce with a later one")]
    Stale(id::Incarnation),
    /// The zone has the maximum number of targets.
    #[error("too many targets in this zone")]
    Full,
    /// The path does not exist.
    #[error("no such path; see /v1/targets/announce and /v1/targets/leave, both POST")]
    Path,
    /// The instance can't accept announcements at the moment.
    #[error("not ready; announce to another instance")]
    Busy,
}

impl Problem {
    /// Returns the error type stated in the response.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Body(_) => "malformed",
            Self::Field(_) => "invalid",
            Self::Stale(_) => "stale-incarnation",
            Self::Full => "full",
            Self::Path => "no-path",
            Self::Busy => "busy",
        }
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Body(_) | Self::Field(_) => StatusCode::BAD_REQUEST,
            Self::Path => StatusCode::NOT_FOUND,
            Self::Stale(_) => StatusCode::CONFLICT,
            Self::Full | Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let error = json!({"error": {"type": self.kind(), "message": self.to_string()}});
        HttpResponse::build(self.status_code()).json(error)
    }
}
