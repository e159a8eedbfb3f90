//! Request as seen by the filters.

use std::time::Instant;

use zinniastall_model::{id, object::Subject, place::Place};

/// Properties of a request that the filters use, without its payload.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id used in logs.
    pub id: String,
    /// Client that the request belongs to.
    pub client: id::Client,
    /// Weight of the client's share.
    pub weight: u32,
    /// Priority class.
    pub class: id::Class,
    /// Model or service that is to serve it.
    pub subject: Subject,
    /// Configured version of the model; targets that hold it are preferred.
    pub version: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Ticket sent by the caller for a request that is not idempotent.
    pub ticket: Option<String>,
    /// When its response is due.
    pub deadline: Instant,
    /// Whether the response is an event stream that ends with a closing event.
    pub events: bool,
    /// Digests of its prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Regions that may serve it.
    pub regions: Vec<id::Region>,
    /// Places that it has passed, starting with that of the entry instance that received it.
    pub hops: Vec<Place>,
    /// Whether another instance of this place handed it on because it does not reach the targets. Such
    /// a request is sent to a target from here or not at all.
    pub detoured: bool,
    /// Revision of the configuration under which it was admitted.
    pub revision: id::Revision,
}
