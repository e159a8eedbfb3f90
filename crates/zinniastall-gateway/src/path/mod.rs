//! The request path: reads a request, matches its route, chooses a target, forwards the request and
//! returns the answer.

pub mod answer;
pub mod attempt;
mod crash;
pub mod events;
pub mod job;
mod outgoing;
pub mod placement;
pub mod pool;
pub mod responder;
pub mod run;
pub mod serve;
mod transfer;
mod watch;

use std::{cell::RefCell, rc::Rc};

use tokio::sync::Notify;

use crate::{
    books::Books,
    decide::quota::Quotas,
    figures::Figures,
    journal::Journal,
    names::Names,
    neighbours::{Neighbours, claims::Claims},
    policy::Policy,
    suspects::Suspects,
    view::Board,
};

use self::{pool::Pool, serve::Connections};

/// The reverse proxy of one traffic thread.
#[derive(Debug)]
pub struct Proxy {
    /// Shared view of the rest of the system.
    pub state: Board,
    /// Names of header fields.
    pub header_names: Names,
    /// Times and weights of the deployment.
    pub policy: Policy,
    /// Requests of this thread, by target and service.
    pub tracker: Rc<RefCell<Books>>,
    /// Load of the region's other instances at targets.
    pub neighbours: Rc<RefCell<Neighbours>>,
    /// Requests that those instances sent to targets within the last moments.
    pub claims: Rc<Claims>,
    /// Use of client accounts' quotas.
    pub quotas: Rc<RefCell<Quotas>>,
    /// Requests suspected of crashing targets.
    pub suspects: Rc<RefCell<Suspects>>,
    /// Notified when the other instances have to be told of a suspect.
    pub suspects_changed: Rc<Notify>,
    /// Idle connections to targets and instances.
    pub pool: Pool,
    /// Connections of callers and instances.
    pub connections: Connections,
    /// Log of requests.
    pub request_log: Journal,
    /// Counters and histograms.
    pub metrics: Figures,
}

impl Proxy {
    /// Creates the proxy of a thread.
    pub fn new(state: Board, header_names: Names, policy: Policy, metrics: Figures) -> Self {
        Self {
            tracker: Rc::new(RefCell::new(Books::new(policy.repeats))),
            neighbours: Rc::default(),
            claims: Rc::default(),
            quotas: Rc::new(RefCell::new(Quotas::new(policy.quota))),
            suspects: Rc::default(),
            suspects_changed: Rc::default(),
            pool: Pool::default(),
            connections: Connections::default(),
            request_log: Journal::default(),
            metrics,
            state,
            header_names,
            policy,
        }
    }
}
