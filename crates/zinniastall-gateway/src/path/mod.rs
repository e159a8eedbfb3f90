//! The path of a request: read, judged, placed, sent, handed over.

pub mod answer;
pub mod attempt;
pub mod client;
mod crash;
pub mod events;
pub mod job;
mod outgoing;
pub mod placing;
pub mod pool;
pub mod run;
pub mod serve;
mod transfer;
mod watch;

use std::{cell::RefCell, rc::Rc};

use tokio::sync::Notify;

use crate::{
    decide::quota::Quotas,
    headers::Names,
    metrics::Metrics,
    neighbours::{Neighbours, claims::Claims},
    policy::Policy,
    request_log::Log,
    suspects::Suspects,
    tracker::Tracker,
    view::Shared,
};

use self::{pool::Pool, serve::Connections};

/// What the request path of one traffic thread holds.
#[derive(Debug)]
pub struct Traffic {
    /// What is known of the rest of the system.
    pub board: Shared,
    /// Names of header fields.
    pub names: Names,
    /// Times and weights of the deployment.
    pub policy: Policy,
    /// What this thread counts.
    pub books: Rc<RefCell<Tracker>>,
    /// What the other instances of the region have at targets.
    pub neighbours: Rc<RefCell<Neighbours>>,
    /// What they have sent to targets within the last moments.
    pub claims: Rc<Claims>,
    /// Use of client accounts' quotas.
    pub quotas: Rc<RefCell<Quotas>>,
    /// Requests that are suspected of crashing targets.
    pub suspects: Rc<RefCell<Suspects>>,
    /// Says that the other instances have to be told of a suspect.
    pub news: Rc<Notify>,
    /// Connections at rest.
    pub pool: Pool,
    /// Connections of callers and instances.
    pub connections: Connections,
    /// Log lines on requests.
    pub journal: Log,
    /// Counters and histograms.
    pub figures: Metrics,
}

impl Traffic {
    /// Creates the request path of a thread.
    pub fn new(board: Shared, names: Names, policy: Policy, figures: Metrics) -> Self {
        Self {
            books: Rc::new(RefCell::new(Tracker::new(policy.retry_budget))),
            neighbours: Rc::default(),
            claims: Rc::default(),
            quotas: Rc::new(RefCell::new(Quotas::new(policy.quota))),
            suspects: Rc::default(),
            news: Rc::default(),
            pool: Pool::default(),
            connections: Connections::default(),
            journal: Log::default(),
            figures,
            board,
            names,
            policy,
        }
    }
}
