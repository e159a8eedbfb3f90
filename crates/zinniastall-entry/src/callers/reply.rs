//! An answer on its way back, wherever it comes from.

use std::time::Instant;

use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::{self, LocalBoxStream},
};
use zinniastall_model::{id, place::Place};
use zinniastall_route::outcome::Refusal;

/// Parts of an answer. The stream ends without an error only if the answer is whole.
pub type Body = LocalBoxStream<'static, Result<Bytes, Refusal>>;

/// An answer whose head has arrived.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers that the caller may see.
    pub headers: Vec<(String, String)>,
    /// Announced length of the body.
    pub length: Option<u64>,
    /// Whether the body is a stream of events.
    pub events: bool,
    /// Event at which a resumed stream starts, as its target says.
    pub offset: u64,
    /// Who serves it.
    pub served: Served,
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

/// Who serves a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// Target.
    pub target: id::Target,
    /// Where the target runs.
    pub place: Place,
}

/// Returns the time left until an instant, in milliseconds.
pub fn remaining_ms(until: Instant) -> u64 {
    let left = until.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// What a body is pulled from.
pub(super) trait BodySource: 'static {
    /// Returns the next part, or nothing at the end of the whole body.
    ///
    /// # Errors
    ///
    /// The refusal that cuts the body; nothing is pulled after it.
    async fn next_part(&mut self) -> Result<Option<Bytes>, Refusal>;
}

/// Makes a body that asks for a part only when its reader does.
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
