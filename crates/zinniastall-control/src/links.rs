//! Accepts links: checks the handshake and passes the link to the module that serves it.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use actix::Addr;
use futures_util::FutureExt;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time,
};
use zinniastall_wire::{
    feed::{self, Answer, Event, Feed},
    follow::Message,
    hello::{Hello, Purpose, Refusal},
    link::Link,
};

use crate::{
    control::{Control, FOUNDING, Notice, ReadIndex},
    hub::Hub,
    peers,
};

/// Longest time that a handshake may take.
const HANDSHAKE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// What this instance reports about itself, shared between the actor that changes it and the
/// acceptor.
pub type Identity = Rc<RefCell<Hello>>;

/// Accepts links and serves them.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// What this instance reports about itself.
    pub identity: Identity,
    /// The actor that owns the control state.
    pub control: Addr<Control>,
    /// Configuration for entry instances.
    pub feed: watch::Receiver<Feed>,
    /// Links to gateway instances.
    pub hub: Hub,
    /// Timing of replica links.
    pub timing: peers::Timing,
}

impl Acceptor {
    /// Accepts links forever, serving at most `limit` at once.
    pub async fn run(self, listener: TcpListener, limit: usize) {
        let permits = Arc::new(Semaphore::new(limit));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let acceptor = self.clone();
                    actix::spawn(async move {
                        acceptor.serve(stream).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    // Most likely out of file descriptors; without a pause this loop would spin.
                    tracing::error!(event = "accept-failed", error = %error);
                    time::sleep(std::time::Duration::from_millis(100)).await;
                }
            }
        }
    }

    async fn serve(self, stream: tokio::net::TcpStream) {
        let identity = Rc::clone(&self.identity);
        let check_hello = |peer: &Hello| check_hello(&identity.borrow(), peer);
        let accepted = time::timeout(HANDSHAKE_TIMEOUT, Link::accept(stream, check_hello)).await;
        let link = match accepted {
            Ok(Ok(link)) => link,
            Ok(Err(error)) => {
                tracing::debug!(event = "link-refused", error = %error);
                return;
            }
            Err(_) => return,
        };
        match link.purpose() {
            Purpose::Replica => peers::serve(link, self.timing, self.control.recipient()).await,
            Purpose::Hub => self.hub.serve(link).await,
            _ => self.serve_follower(link).await,
        }
    }

    async fn serve_follower(self, link: Link) {
        let peer = link.peer().instance.clone();
        let (control, hub) = (self.control, self.hub);
        let notify = |event| {
            match event {
                Event::Member(member) => control.do_send(Notice::Member(member)),
                Event::Confirmed(list) => control.do_send(Notice::Confirmed(list)),
                Event::Drifted(list) => control.do_send(Notice::Drift(list)),
                Event::Suspects(list) => hub.report_suspects(list),
                Event::Unreached(report) => hub.reach().hear(report, std::time::Instant::now()),
                Event::Limits(list) => hub.limits().hear(list, std::time::Instant::now()),
                // Operators fetch control's histograms through the operator interface; no peer asks
                // for them on a link.
                Event::SummariesRequested => {}
                Event::ReadIndex(ask) => return Some(read_index(control.clone(), ask)),
            }
            None
        };
        let ended = feed::serve(link, self.feed, notify).await;
        if let Err(error) = ended {
            tracing::info!(event = "follower-gone", peer, error = %error);
        }
    }
}

/// Answers once the group has confirmed the revision that it has reached; without an answer the
/// follower asks again.
fn read_index(control: Addr<Control>, ask: u64) -> Answer {
    async move {
        let revision = control.send(ReadIndex).await.ok()?.await.ok()?;
        Some(Message::ReadIndexAnswer { ask, revision })
    }
    .boxed_local()
}

fn check_hello(own: &Hello, peer: &Hello) -> Result<Hello, Refusal> {
    let clusters_differ =
        matches!((&own.cluster, &peer.cluster), (Some(own), Some(peer)) if own != peer);
    if clusters_differ {
        return Err(Refusal::Cluster);
    }
    // Before the cluster is founded there is nothing to follow, and a follower would not learn the
    // cluster id.
    let serves = match peer.purpose {
        Purpose::Replica | Purpose::Hub => true,
        Purpose::Follow => own
            .cluster
            .as_deref()
            .is_some_and(|cluster| cluster != FOUNDING),
        Purpose::Gossip | Purpose::Stream => false,
    };
    if !serves {
        return Err(Refusal::Purpose);
    }
    Ok(Hello {
        purpose: peer.purpose,
        ..own.clone()
    })
}
