//! Starts a control instance, and defines why it cannot start or go on.

use std::{sync::Arc, time::Instant};

use actix::{AsyncContext, Context};
use indexmap::IndexMap;
use tokio::{
    net::UdpSocket,
    sync::{oneshot, watch},
};
use zinniastall_coord::{
    Replica,
    replica::{Limits, Restored, Role},
};
use zinniastall_model::machine::Machine;
use zinniastall_store::Store;
use zinniastall_wire::feed::Feed;

use super::{
    Confirmed, Control, heal::Heal, read::Reads, read_index::Questions, settling::Settling,
    status::HealthQueries, waiting::Waiting,
};
use crate::{
    disk::Disk,
    hub::Hub,
    links::Identity,
    peers::{self, Peers, datagram::Datagrams},
    recall::Registry,
    settings,
};

/// What a control instance starts from.
#[derive(Debug)]
pub struct Start {
    /// Validated settings.
    pub settings: Arc<settings::Control>,
    /// What this instance reports about itself.
    pub identity: Identity,
    /// The opened data directory.
    pub store: Store,
    /// State restored from the data directory.
    pub restored: Restored,
    /// Socket for datagrams between replicas; without it, links carry all messages.
    pub datagrams: Option<UdpSocket>,
    /// Targets of this availability zone that other replicas report.
    pub registry: Registry,
    /// Receives the sign-offs of targets at other replicas.
    pub hub: Hub,
    /// Feed on which the configuration is published.
    pub feed: watch::Sender<Feed>,
    /// Receives the failure that ends the process.
    pub failed: oneshot::Sender<Failure>,
}

/// Why a running control instance cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The disk failed.
    #[error("disk failed: {0}")]
    Disk(zinniastall_store::Error),
    /// A leader's snapshot cannot be read; it may come from a later version of this program.
    #[error("cannot read a snapshot from the leader: {0}")]
    Snapshot(ciborium::de::Error<std::io::Error>),
}

/// Why a control instance cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The timing cannot keep a group safe.
    #[error(transparent)]
    Timing(#[from] zinniastall_coord::election::Error),
    /// The snapshot in the data directory cannot be decoded.
    #[error("cannot read the stored snapshot: {0}")]
    Snapshot(#[from] ciborium::de::Error<std::io::Error>),
    /// The disk thread cannot be started.
    #[error("cannot start the disk thread: {0}")]
    Disk(#[from] std::io::Error),
}

impl Control {
    /// Creates the actor's state in its context.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the snapshot cannot be read, the timing is unsafe or the disk
    /// thread cannot be started.
    pub fn create(start: Start, context: &mut Context<Self>) -> Result<Self, StartError> {
        let settings = start.settings;
        let machine = match &start.restored.snapshot {
            Some(snapshot) => ciborium::from_reader(snapshot.data.as_slice())?,
            None => Machine::default(),
        };
        let builder = Replica::builder(start.store.id(), settings.timing)
            .restored(start.restored)
            .limits(Limits {
                retain: settings.limits.retain,
                ..Limits::default()
            });
        let builder = if settings.clock_stops {
            builder.without_leases()
        } else {
            builder
        };
        let replica = builder.build(Instant::now())?;
        let address = context.address();
        let timing = peers::Timing::new(settings.timing.election);
        let hello = start.identity.borrow().clone();
        let datagrams = start
            .datagrams
            .map(|socket| Datagrams::start(socket, address.clone().recipient()));
        start
            .feed
            .send_modify(|feed| feed.restore(Arc::clone(machine.state()).stripped()));
        let mut control = Self {
            peers: Peers::new(start.store.id(), hello, timing, address.clone().recipient())
                .with_datagrams(datagrams),
            disk: Disk::start(start.store, address.recipient())?,
            identity: start.identity,
            replica,
            submitted: 0,
            synced: 0,
            machine,
            entries_since_snapshot: 0,
            bytes_since_snapshot: 0,
            heal: Heal::new(settings.peers.iter().map(ToString::to_string).collect()),
            feed: start.feed,
            replica_info: IndexMap::new(),
            registry: start.registry,
            hub: start.hub,
            waiting: Waiting::new(settings.limits.calls),
            unconfirmed: Vec::new(),
            settling: Settling::default(),
            reads: Reads::default(),
            read_index: Questions::new(settings.timing.election),
            health_queries: HealthQueries::default(),
            confirmed: Confirmed::default(),
            joining: IndexMap::new(),
            orders: None,
            founding: false,
            scheduled: false,
            role: Role::Follower,
            known_commit: 0,
            failed: Some(start.failed),
            settings,
        };
        let restored = control.machine.state().routing.as_ref();
        control.settling.begin(restored, Instant::now());
        control.update_peers();
        Ok(control)
    }
}
