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

/// What the request path of one traffic thread holds.
#[derive(Debug)]
pub struct Traffic {
    /// What is known of the rest of the system.
    pub board: Board,
    /// Names of header fields.
    pub names: Names,
    /// Times and weights of the deployment.
    pub policy: Policy,
    /// What this thread counts.
    pub books: Rc<RefCell<Books>>,
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
    pub journal: Journal,
    /// Counters and histograms.
    pub figures: Figures,
}

impl Traffic {
    /// Creates the request path of a thread.
    pub fn new(board: Board, names: Names, policy: Policy, figures: Figures) -> Self {
        Self {
            books: Rc::new(RefCell::new(Books::new(policy.repeats))),
            neighbours: Rc::default(),
            claims: Rc::default(),
            quotas: Rc::new(RefCell::new(Quotas::new(policy.quota))),
            suspects: Rc::default(),
            news: Rc::default(),
            pool: Pool::default(),
            connections: Connections::default(),
            journal: Journal::default(),
            figures,
            board,
            names,
            policy,
        }
    }
}
