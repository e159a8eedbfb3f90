//! Requests that cross from one entry instance to another, over stream links.
//!
//! [`mux`] is the sender's end: it carries many streams over one link to an instance. [`serve`] is
//! the receiver's end. A traffic thread keeps its own links, so that no request waits for another
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
use crate::{links::Identity, view::View};

pub use serve::Receiver;

use mux::Mux;

/// Bytes of an answer that may be on their way without having been taken by the reader.
const WINDOW_BYTES: u64 = 256 * 1024;
/// Time between two pulses on a link that has nothing else to send.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a link counts as lost.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);
/// Asks the other end for a sign of life; it answers the same. No stream has this number.
const KEEPALIVE: Message = Message::Credit {
    stream: 0,
    bytes: 0,
};
/// Longest time to open a link. Regions are a slow link apart.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// One thread's links to other instances.
#[derive(Debug)]
pub struct Links {
    identity: Option<Identity>,
    open: RefCell<IndexMap<id::Instance, Rc<Mux>>>,
}

impl Links {
    /// Creates the links of one thread; none is open yet.
    pub fn new(identity: Option<Identity>) -> Self {
        Self {
            identity,
            open: RefCell::default(),
        }
    }

    /// Returns a link to a run of an instance, opening it if there is none.
    async fn connect(&self, peer: &Peer) -> Result<Rc<Mux>, Refusal> {
        let unreachable = || Refusal::not_run(Reason::Unreachable);
        if let Some(mux) = self.find(peer) {
            return Ok(mux);
        }
        let identity = self.identity.as_ref().ok_or_else(unreachable)?;
        let dialled = identity.dial(&peer.links, Purpose::Stream).await;
        let link: Link = dialled.map_err(|_| unreachable())?;
        // The address may have been taken over by another run or another instance.
        let hello = link.peer();
        if hello.instance != peer.instance || hello.incarnation != peer.incarnation {
            return Err(unreachable());
        }
        let mux = Mux::start(link);
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

/// Chooses an instance of a place, a less loaded one with a higher probability.
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

/// Sends a request to another instance and waits for the head of its answer.
///
/// # Errors
///
/// "Not run" if no link could be opened or the other instance says so, "unknown" otherwise.
pub async fn send(
    worker: &Rc<Worker>,
    call: &Call,
    peer: &Peer,
    hops: Vec<Place>,
) -> Result<Reply, Refusal> {
    let deadline = call.request.deadline;
    let until = deadline.min(Instant::now() + DIAL_TIMEOUT);
    let mux = timeout_at(until.into(), worker.links.connect(peer)).await;
    let mux = mux.map_err(|_| Refusal::not_run(Reason::Unreachable))??;
    // Opening a link takes seconds over a slow network. A rule that was narrowed meanwhile has been
    // reported as accepted, so the request must not leave by what was in force before.
    worker
        .check_again(&call.request, &peer.place)
        .map_err(Refusal::not_run)?;
    let reply = mux.request(open::pack(call, hops));
    let reply = timeout_at(deadline.into(), reply).await;
    reply.map_err(|_| Refusal::unknown(Reason::Deadline))?
}

/// Returns what a failure that another instance reported means here.
fn refusal(failure: Failure) -> Refusal {
    match failure {
        Failure::NotRun { reason, retry_ms } => {
            let refusal = Refusal::not_run(Reason::Forwarded(reason));
            refusal.retry(Duration::from_millis(retry_ms))
        }
        Failure::Unknown { reason } => Refusal::unknown(Reason::Forwarded(reason)),
    }
}

/// Returns a refusal as the failure that another instance is told.
fn failure(refusal: &Refusal) -> Failure {
    let reason = refusal.reason.to_string();
    if refusal.outcome == zinniastall_route::outcome::Outcome::NotRun {
        let retry = refusal.retry.unwrap_or_default();
        return Failure::NotRun {
            reason,
            retry_ms: u64::try_from(retry.as_millis()).unwrap_or(u64::MAX),
        };
    }
    Failure::Unknown { reason }
}
