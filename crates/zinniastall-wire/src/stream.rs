//! Forwarded requests and their answers.
//!
//! A request is one stream of a link, numbered by the dialling end. The answer's parts carry their
//! offset, so that a lost, doubled or late one is noticed; [`Message::End`] carries the length, so
//! that a cut answer never looks whole.

use serde::{Deserialize, Serialize};
use zinniastall_model::{id, object::Subject, place::Place};

/// Number of a stream, unique on its link.
pub type Id = u64;

/// A message of a stream link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Opens a stream with a whole request.
    Open(Box<Open>),
    /// Starts the answer.
    Head {
        /// Stream.
        stream: Id,
        /// HTTP status.
        status: u16,
        /// HTTP headers that the caller may see.
        headers: Vec<(String, String)>,
    },
    /// A part of the answer.
    Data {
        /// Stream.
        stream: Id,
        /// Offset of the first byte in the answer's body.
        offset: u64,
        /// Bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The answer is whole.
    End {
        /// Stream.
        stream: Id,
        /// Length of the answer's body, in bytes.
        length: u64,
    },
    /// The request ended without a whole answer.
    Failed {
        /// Stream.
        stream: Id,
        /// Whether it certainly did not run.
        failure: Failure,
    },
    /// The caller is gone or has lost interest.
    Cancel {
        /// Stream.
        stream: Id,
    },
    /// The receiver of the answer can take more; without bytes, its end has arrived.
    Credit {
        /// Stream.
        stream: Id,
        /// Further bytes; 0 acknowledges [`Message::End`] or [`Message::Failed`].
        bytes: u64,
    },
}

impl Message {
    /// Returns the stream that it belongs to.
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

/// A whole request on its way to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Stream.
    pub stream: Id,
    /// Request id for logs.
    pub request: String,
    /// Places that the request has passed, the receiving entry instance's first.
    pub hops: Vec<Place>,
    /// Configuration revision under which the sender decided.
    pub revision: id::Revision,
    /// Client.
    pub client: id::Client,
    /// Class.
    pub class: id::Class,
    /// What is to serve it.
    pub subject: Subject,
    /// Regions that the sender's configuration permits.
    pub regions: Vec<id::Region>,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Ticket, encoded; required when it may not be repeated.
    pub ticket: Option<String>,
    /// Time left to its deadline, in milliseconds.
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

/// How a request ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// It certainly did not run.
    NotRun {
        /// Why, for logs and the caller.
        reason: String,
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// It may have run.
    Unknown {
        /// Why, for logs and the caller.
        reason: String,
    },
}
