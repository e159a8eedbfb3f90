//! A response on its way back to the caller, from a target or another instance.

use std::time::Instant;

use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::{self, LocalBoxStream},
};
use zinniastall_http::ending::Ending;
use zinniastall_model::{id, place::Place};
use zinniastall_route::outcome::Refusal;

/// Parts of a body. The stream ends with an error if the body is known to be incomplete.
pub type Body = LocalBoxStream<'static, Result<Bytes, Refusal>>;

/// A response whose head has arrived.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers that the caller may see.
    pub headers: Vec<(String, String)>,
    /// Announced length of the body.
    pub length: Option<u64>,
    /// The most that is known of its end once the body has ended without an error.
    pub highest: Ending,
    /// Whether the body is an event stream.
    pub events: bool,
    /// Event number at which a resumed stream starts, as stated by the target.
    pub offset: u64,
    /// Target that serves the request.
    pub served: Served,
    /// Version of the software that writes the answer, if its target states it and this instance
    /// received it from there.
    pub software: Option<String>,
    /// Body; dropping it cancels the request at the target.
    pub body: Body,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply")
            .field("status", &self.status)
            .field("served", &self.served)
            .finish_non_exhaustive()
    }
}

/// The target that serves a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// Name of the target.
    pub target: id::Target,
    /// Place in which the target runs.
    pub place: Place,
}

/// Returns the time remaining until an instant, in milliseconds.
pub fn remaining_ms(until: Instant) -> u64 {
    let left = until.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// Source of a body's parts.
pub(super) trait BodySource: 'static {
    /// Returns the next part, or `None` at the end of a body that is not known to be incomplete.
    ///
    /// # Errors
    ///
    /// Returns the refusal that ends the body; the source is not polled after it.
    async fn next_part(&mut self) -> Result<Option<Bytes>, Refusal>;
}

/// Creates a body that requests a part only when it is polled.
pub(super) fn lazy_body(parts: impl BodySource) -> Body {
    let next = |state: Option<_>| async move {
        let mut parts = state?;
        match BodySource::next_part(&mut parts).await {
            Ok(Some(part)) => Some((Ok(part), Some(parts))),
            Ok(None) => None,
            Err(refusal) => Some((Err(refusal), None)),
        }
    };
    stream::unfold(Some(parts), next).boxed_local()
}
