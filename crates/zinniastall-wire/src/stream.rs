//! Forwarded requests and their responses.
//!
//! Each request is a stream of a link, numbered by the dialling end. The parts of a response carry
//! their offset, so that lost, duplicate and late parts are detected. [`Message::End`] carries the
//! total length, so that a truncated response never appears complete.

use serde::{Deserialize, Serialize};
use zinniastall_http::ending::Ending;
use zinniastall_model::{fingerprint::Suspect, id, object::Subject, place::Place};

/// Id of a stream, unique within its link.
pub type Id = u64;

/// A message of a stream link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Opens a stream with a complete request.
    Open(Box<Open>),
    /// Begins the response.
    Head {
        /// Id of the stream.
        stream: Id,
        /// HTTP status.
        status: u16,
        /// HTTP headers to pass to the caller.
        headers: Vec<(String, String)>,
        /// The most that is known of the end of the target's answer once [`Message::End`] has arrived.
        #[serde(default = "complete", skip_serializing_if = "is_complete")]
        highest: Ending,
    },
    /// Part of the response body.
    Data {
        /// Id of the stream.
        stream: Id,
        /// Offset of the first byte in the body.
        offset: u64,
        /// Bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Ends the response; a response without it is incomplete.
    End {
        /// Id of the stream.
        stream: Id,
        /// Length of the body, in bytes.
        length: u64,
    },
    /// The request ended without a complete response.
    Failed {
        /// Id of the stream.
        stream: Id,
        /// Whether the request certainly did not run, or may have run.
        failure: Failure,
        /// The request, if it is suspected of crashing targets.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        suspect: Option<Suspect>,
        /// Parts of its prompt that are suspected of it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<Suspect>,
    },
    /// The caller has disconnected or no longer needs the response.
    Cancel {
        /// Id of the stream.
        stream: Id,
    },
    /// Flow control: the receiver of the response accepts more bytes, or acknowledges its end.
    Credit {
        /// Id of the stream.
        stream: Id,
        /// Number of additional bytes; 0 acknowledges [`Message::End`] or [`Message::Failed`].
        bytes: u64,
    },
}

impl Message {
    /// Returns the stream to which the message belongs.
    #[must_use]
    pub const fn stream(&self) -> Id {
        match self {
            Self::Open(open) => open.stream,
            Self::Head { stream, .. }
            | Self::Data { stream, .. }
            | Self::End { stream, .. }
            | Self::Failed { stream, .. }
            | Self::Cancel { stream }
            | Self::Credit { stream, .. } => *stream,
        }
    }
}

const fn complete() -> Ending {
    Ending::Complete
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature that serde expects"
)]
const fn is_complete(ending: &Ending) -> bool {
    matches!(ending, Ending::Complete)
}

/// A complete request that is forwarded to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Id of the stream.
    pub stream: Id,
    /// Id of the request, for logs.
    pub request: String,
    /// Places through which the request has passed, beginning with that of the entry instance that
    /// received it.
    pub hops: Vec<Place>,
    /// Whether the sender hands it on because it does not reach the targets of its place.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub detoured: bool,
    /// Configuration revision under which the sender chose the destination.
    pub revision: id::Revision,
    /// Client.
    pub client: id::Client,
    /// Class.
    pub class: id::Class,
    /// Model or service to serve it.
    pub subject: Subject,
    /// Regions in which it may run, according to the sender's configuration.
    pub regions: Vec<id::Region>,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Encoded ticket; required if it may not be repeated.
    pub ticket: Option<String>,
    /// The request, if the sender suspects it of crashing targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub suspect: Option<Suspect>,
    /// Parts of its prompt that the sender suspects of it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Suspect>,
    /// Time left until its deadline, in milliseconds.
    pub left_ms: u64,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// HTTP headers for the target.
    pub headers: Vec<(String, String)>,
    /// HTTP body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Outcome of a request that ended without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The request certainly did not run.
    NotRun {
        /// Reason, for logs and the caller.
        reason: String,
        /// Delay before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The request may have run.
    Unknown {
        /// Reason, for logs and the caller.
        reason: String,
    },
}
