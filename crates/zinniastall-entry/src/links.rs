//! Accepts the system's own links and hands each to the owner of its purpose.
//!
//! One listener serves all purposes. It runs on the control arbiter; an owner that works on another
//! thread takes the link there with [`zinniastall_wire::link::Link::detach`].

use std::{
    rc::Rc,
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use zinniastall_model::{id, place::Place};
use zinniastall_wire::{
    hello::{Hello, Purpose, Refusal, VERSION},
    link::{self, Link},
    meter::Meter,
};

/// Longest time that a handshake may take; an end that is silent must not hold a place forever.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most handshakes at once; further connections wait in the listener's backlog.
const MAX_HANDSHAKES: usize = 256;
/// Pause after the listener failed, as it does when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What this instance says of itself when it opens or takes a link.
///
/// Clones share one identity, so that what one owner learns, such as the cluster, holds for all.
#[derive(Debug, Clone)]
pub struct Identity {
    fixed: Arc<Fixed>,
    cluster: Arc<OnceLock<String>>,
    incarnation: Arc<Mutex<id::Incarnation>>,
    meters: Arc<Mutex<IndexMap<Purpose, Arc<Meter>>>>,
}

/// The part of an identity that never changes.
#[derive(Debug)]
struct Fixed {
    instance: id::Instance,
    place: Place,
    addresses: Addresses,
}

/// Addresses under which others reach this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: String,
    /// For targets.
    pub targets: String,
    /// For links.
    pub links: String,
}

impl Identity {
    /// Creates the identity of a run.
    pub fn new(
        instance: id::Instance,
        incarnation: id::Incarnation,
        place: Place,
        addresses: Addresses,
    ) -> Self {
        Self {
            fixed: Arc::new(Fixed {
                instance,
                place,
                addresses,
            }),
            cluster: Arc::default(),
            incarnation: Arc::new(Mutex::new(incarnation)),
            meters: Arc::default(),
        }
    }

    /// Returns the meter of all links of a purpose.
    pub fn meter(&self, purpose: Purpose) -> Arc<Meter> {
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(meters.entry(purpose).or_default())
    }

    /// Dials an address, shakes hands and counts the link's frames.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be reached in time or the other end refuses.
    pub async fn dial(&self, address: &str, purpose: Purpose) -> Result<Link, link::Error> {
        let dial = Link::dial(address, self.hello(purpose));
        let link = timeout(HANDSHAKE_TIMEOUT, dial)
            .await
            .map_err(|_| link::Error::Handshake)??;
        Ok(link.meter(self.meter(purpose)))
    }

    /// Returns the instance's name.
    pub fn instance(&self) -> &str {
        &self.fixed.instance
    }

    /// Returns where it runs.
    pub fn place(&self) -> &Place {
        &self.fixed.place
    }

    /// Returns the addresses under which others reach it.
    pub fn addresses(&self) -> &Addresses {
        &self.fixed.addresses
    }

    /// Returns its run.
    pub fn incarnation(&self) -> id::Incarnation {
        *self
            .incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Raises its run, when others remember a later one; never lowers it.
    pub fn raise_incarnation(&self, incarnation: id::Incarnation) {
        let mut held = self
            .incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *held = incarnation.max(*held);
    }

    /// Returns the cluster, once it is known.
    pub fn cluster(&self) -> Option<&str> {
        self.cluster.get().map(String::as_str)
    }

    /// Takes note of the cluster; the first one holds for the life of the process.
    pub fn set_cluster(&self, cluster: String) {
        // A second cluster is refused at the handshake, so a lost race here changes nothing.
        drop(self.cluster.set(cluster));
    }

    /// Makes the first frame of a link.
    pub fn hello(&self, purpose: Purpose) -> Hello {
        Hello {
            version: VERSION,
            purpose,
            cluster: self.cluster.get().cloned(),
            instance: self.fixed.instance.clone(),
            incarnation: self.incarnation(),
            place: self.fixed.place.clone(),
            links: self.fixed.addresses.links.clone(),
            service: self.fixed.addresses.callers.clone(),
        }
    }
}

/// Owner of the links of one purpose.
pub trait Acceptor: std::fmt::Debug {
    /// Takes a link whose handshake is done. Called on the control arbiter; must not block.
    fn accept(&self, link: Link);
}

/// Owners by purpose.
#[derive(Debug)]
pub struct Acceptors {
    identity: Identity,
    owners: IndexMap<Purpose, Box<dyn Acceptor>>,
}

impl Acceptors {
    /// Creates an empty table.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            owners: IndexMap::new(),
        }
    }

    /// Registers the owner of a purpose.
    #[must_use]
    pub fn owner(mut self, purpose: Purpose, owner: impl Acceptor + 'static) -> Self {
        self.owners.insert(purpose, Box::new(owner));
        self
    }

    fn check_hello(&self, peer: &Hello) -> Result<Hello, Refusal> {
        if !self.owners.contains_key(&peer.purpose) {
            return Err(Refusal::Purpose);
        }
        let own = self.identity.cluster();
        if own.is_some() && peer.cluster.is_some() && own != peer.cluster.as_deref() {
            return Err(Refusal::Cluster);
        }
        Ok(self.identity.hello(peer.purpose))
    }

    async fn accept(&self, stream: TcpStream) {
        let handshake = Link::accept(stream, |peer| self.check_hello(peer));
        let link = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Ok(link)) => link,
            Ok(Err(error)) => return log_refusal(&error),
            Err(_) => return log_refusal(&link::Error::Handshake),
        };
        if let Some(owner) = self.owners.get(&link.purpose()) {
            let meter = self.identity.meter(link.purpose());
            owner.accept(link.meter(meter));
        }
    }
}

fn log_refusal(error: &link::Error) {
    tracing::debug!(event = "link-refused", error = %error);
}

/// Accepts links until the arbiter stops.
pub async fn serve(listener: TcpListener, acceptors: Acceptors) {
    let acceptors = Rc::new(acceptors);
    let permits = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let acceptors = Rc::clone(&acceptors);
                actix::spawn(async move {
                    acceptors.accept(stream).await;
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept-failed", error = %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
