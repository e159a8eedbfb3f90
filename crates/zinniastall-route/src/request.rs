//! What the filters know of a request.

use std::time::Instant;

use zinniastall_model::{id, object::Subject, place::Place};

/// What the filters know of a request; its payload stays outside.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id for logs.
    pub id: String,
    /// Client.
    pub client: id::Client,
    /// Weight of the client's share.
    pub weight: u32,
    /// Class.
    pub class: id::Class,
    /// What is to serve it.
    pub subject: Subject,
    /// Configured version of the model; targets that hold it are preferred.
    pub version: Option<String>,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Ticket of a request that may not be repeated, as the caller sent it.
    pub ticket: Option<String>,
    /// When its answer is due.
    pub deadline: Instant,
    /// Whether the answer is a stream of events that ends with a mark of its own.
    pub events: bool,
    /// Digests of its prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Regions that may serve it.
    pub regions: Vec<id::Region>,
    /// Places that it has passed, the receiving entry instance's first.
    pub hops: Vec<Place>,
    /// Configuration revision under which it was judged.
    pub revision: id::Revision,
}
