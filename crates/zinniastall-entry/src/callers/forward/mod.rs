//! Forwards requests between entry instances over stream links.
//!
//! `mux` is the sending end, which multiplexes streams over one link per instance. `serve` is
//! the receiving end. Each traffic thread has its own links, so that no request waits for another
//! thread.

mod credit;
mod handler;
mod head;
mod mux;
mod open;
mod serve;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use tokio::time::timeout_at;
use zinniastall_model::{id, place::Place};
use zinniastall_route::outcome::{Reason, Refusal};
use zinniastall_wire::{
    gossip::Peer,
    hello::Purpose,
    link::Link,
    stream::{Failure, Message},
};

use super::{call::Call, reply::Reply, worker::Worker};
use crate::{links::Identity, quarantine::Quarantine, view::View};

pub use serve::Receiver;

use mux::Mux;

/// Flow-control window: bytes of a response that may be sent before the reader consumes them.
const WINDOW_BYTES: u64 = 256 * 1024;
/// Interval between keepalive messages on a link with nothing else to send.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without any message after which a link is considered lost.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);
/// Keepalive message, which the other end returns. No stream has number 0.
const KEEPALIVE: Message = Message::Credit {
    stream: 0,
    bytes: 0,
};
/// Maximum time to open a link; links between regions are slow.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Links from one thread to other instances.
#[derive(Debug)]
pub struct Links {
    identity: Option<Identity>,
    quarantine: Quarantine,
    open: RefCell<IndexMap<id::Instance, Rc<Mux>>>,
}

impl Links {
    /// Creates an empty set of links. What other instances report of suspects goes to `quarantine`.
    pub fn new(identity: Option<Identity>, quarantine: Quarantine) -> Self {
        Self {
            identity,
            quarantine,
            open: RefCell::default(),
        }
    }

    /// Returns a link to an incarnation of an instance, opening one if needed.
    async fn connect(&self, peer: &Peer) -> Result<Rc<Mux>, Refusal> {
        let unreachable = || Refusal::not_run(Reason::TargetUnreachable);
        if let Some(mux) = self.find(peer) {
            return Ok(mux);
        }
        let identity = self.identity.as_ref().ok_or_else(unreachable)?;
        let dialled = identity.dial(&peer.links, Purpose::Stream).await;
        let link: Link = dialled.map_err(|_| unreachable())?;
        // Another incarnation or another instance may have taken over the address.
        let hello = link.peer();
        if hello.instance != peer.instance || hello.incarnation != peer.incarnation {
            return Err(unreachable());
        }
        let mux = Mux::start(link, self.quarantine.clone());
        let mut open = self.open.borrow_mut();
        open.insert(peer.instance.clone(), Rc::clone(&mux));
        Ok(mux)
    }

    fn find(&self, peer: &Peer) -> Option<Rc<Mux>> {
        let mut open = self.open.borrow_mut();
        open.retain(|_, mux| mux.is_alive());
        let mux = open.get(&peer.instance)?;
        (mux.incarnation() == peer.incarnation).then(|| Rc::clone(mux))
    }
}

/// Where a forwarded request passes.
#[derive(Debug)]
pub struct Route {
    /// Places that it has passed, including its destination.
    pub hops: Vec<Place>,
    /// Whether it goes to another instance of this place, which reaches the targets that this one
    /// doesn't.
    pub is_detour: bool,
}

impl Route {
    /// Creates the route of a request that goes to another place, or to the issuer of its ticket.
    pub const fn to(hops: Vec<Place>) -> Self {
        Self {
            hops,
            is_detour: false,
        }
    }

    /// Creates the route of a request that goes to another instance of its place.
    pub fn detour(here: Place) -> Self {
        Self {
            hops: vec![here],
            is_detour: true,
        }
    }
}

/// Chooses an instance of a place at random, preferring less loaded ones.
pub fn choose_peer<'a>(view: &'a View, place: &Place) -> Option<&'a Peer> {
    let peers = view.peers.values();
    let usable: Vec<_> = peers
        .filter(|peer| peer.place == *place && !peer.draining && peer.instance != view.instance)
        .collect();
    let weight = |peer: &&Peer| 1.0 / (1.0 + f64::from(peer.load));
    usable
        .choose_weighted(&mut rand::rng(), weight)
        .ok()
        .copied()
}

/// Forwards a request to another instance and waits for the response head.
///
/// # Errors
///
/// Returns "not run" if no link could be opened or the other instance reports so, "unknown"
/// otherwise.
pub async fn send(
    worker: &Rc<Worker>,
    call: &Call,
    peer: &Peer,
    route: Route,
) -> Result<Reply, Refusal> {
    let deadline = call.request.deadline;
    let until = deadline.min(Instant::now() + DIAL_TIMEOUT);
    let mux = timeout_at(until.into(), worker.links.connect(peer)).await;
    let mux = mux.map_err(|_| Refusal::not_run(Reason::TargetUnreachable))??;
    // Opening a link can take seconds over a slow network. A residency rule narrowed meanwhile has
    // been confirmed to the operator, so the request must not leave under the previous rule.
    worker
        .check_again(&call.request, &peer.place)
        .map_err(Refusal::not_run)?;
    let reply = mux.request(open::pack(call, route, worker.suspicions(call)));
    let reply = timeout_at(deadline.into(), reply).await;
    reply.map_err(|_| Refusal::unknown(Reason::DeadlinePassed))?
}

/// Converts a failure reported by another instance to a refusal.
fn refusal(failure: Failure) -> Refusal {
    match failure {
        Failure::NotRun { reason, retry_ms } => {
            let refusal = Refusal::not_run(Reason::ForwardedFailed(reason));
            refusal.retry_after(Duration::from_millis(retry_ms))
        }
        Failure::Unknown { reason } => Refusal::unknown(Reason::ForwardedFailed(reason)),
    }
}

/// Converts a refusal to the failure that is reported to another instance.
fn failure(refusal: &Refusal) -> Failure {
    let reason = refusal.reason.to_string();
    if refusal.outcome == zinniastall_route::outcome::Outcome::NotRun {
        let retry = refusal.retry_after.unwrap_or_default();
        return Failure::NotRun {
            reason,
            retry_ms: u64::try_from(retry.as_millis()).unwrap_or(u64::MAX),
        };
    }
    Failure::Unknown { reason }
}
