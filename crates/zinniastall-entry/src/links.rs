//! Accepts links from other instances and passes each one to the owner of its purpose.
//!
//! One listener serves all purposes. It runs on the control arbiter. An owner that works on another
//! thread moves the link there with [`zinniastall_wire::link::Link::detach`].

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

/// Maximum duration of a handshake. A silent peer must not occupy a permit forever.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent handshakes; further connections wait in the listener's backlog.
const MAX_HANDSHAKES: usize = 256;
/// Pause after the listener has failed, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What this instance says about itself when it opens or accepts a link.
///
/// Clones share their state, so that what one owner learns, such as the cluster, applies to all.
#[derive(Debug, Clone)]
pub struct Identity {
    fixed: Arc<Fixed>,
    cluster: Arc<OnceLock<String>>,
    incarnation: Arc<Mutex<id::Incarnation>>,
    meters: Arc<Mutex<IndexMap<Purpose, Arc<Meter>>>>,
}

/// The immutable part of an identity.
#[derive(Debug)]
struct Fixed {
    instance: id::Instance,
    place: Place,
    addresses: Addresses,
}

/// Addresses at which others reach this instance.
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
    /// Creates the identity of one incarnation of an instance.
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

    /// Returns the traffic meter shared by all links of a purpose.
    pub fn meter(&self, purpose: Purpose) -> Arc<Meter> {
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(meters.entry(purpose).or_default())
    }

    /// Opens a link to an address and counts its traffic.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be reached in time or the other end refuses the link.
    pub async fn dial(&self, address: &str, purpose: Purpose) -> Result<Link, link::Error> {
        let dial = Link::dial(address, self.hello(purpose));
        let link = timeout(HANDSHAKE_TIMEOUT, dial)
            .await
            .map_err(|_| link::Error::Handshake)??;
        Ok(link.meter(self.meter(purpose)))
    }

    /// Returns the name of the instance.
    pub fn instance(&self) -> &str {
        &self.fixed.instance
    }

    /// Returns the place of the instance.
    pub fn place(&self) -> &Place {
        &self.fixed.place
    }

    /// Returns the addresses at which others reach the instance.
    pub fn addresses(&self) -> &Addresses {
        &self.fixed.addresses
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> id::Incarnation {
        *self
            .incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Raises the incarnation if others remember a later one; never lowers it.
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

    /// Sets the cluster. The first one is kept for the lifetime of the process.
    pub fn set_cluster(&self, cluster: String) {
        // Another cluster is refused in the handshake, so a lost race has no effect.
        drop(self.cluster.set(cluster));
    }

    /// Creates the first frame of a link.
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
    /// Takes over a link after its handshake. It is called on the control arbiter and must not
    /// block.
    fn accept(&self, link: Link);
}

/// Link owners by purpose.
#[derive(Debug)]
pub struct Acceptors {
    identity: Identity,
    owners: IndexMap<Purpose, Box<dyn Acceptor>>,
}

impl Acceptors {
    /// Creates a set without owners.
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
