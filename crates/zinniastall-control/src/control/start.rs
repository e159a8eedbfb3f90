//! How a control instance starts, and why it cannot or ends.

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
    Confirmed, Control, heal::Heal, read::Reads, status::Questions, vouch::Vouches,
    waiting::Waiting,
};
use crate::{
    disk::Disk,
    links::Card,
    peers::{self, Peers, datagram::Datagrams},
    recall::Told,
    settings,
};

/// What a control instance starts from.
#[derive(Debug)]
pub struct Start {
    /// Checked settings.
    pub settings: Arc<settings::Control>,
    /// What this instance says of itself.
    pub card: Card,
    /// The opened data folder.
    pub store: Store,
    /// What the folder held.
    pub restored: Restored,
    /// Where datagrams between replicas are sent and received; without it links carry everything.
    pub datagrams: Option<UdpSocket>,
    /// What other replicas say of the targets of this availability zone.
    pub told: Told,
    /// Where configuration is published.
    pub feed: watch::Sender<Feed>,
    /// Where a failure that ends the process is reported.
    pub failed: oneshot::Sender<Failure>,
}

/// Why a running control instance cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The disk failed.
    #[error("the disk failed: {0}")]
    Disk(zinniastall_store::Error),
    /// A leader's snapshot cannot be read; it may come from a later version of this program.
    #[error("a snapshot cannot be read: {0}")]
    Snapshot(ciborium::de::Error<std::io::Error>),
}

/// Why a control instance cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartFault {
    /// The timings can't keep a group safe.
    #[error(transparent)]
    Timing(#[from] zinniastall_coord::election::Error),
    /// The snapshot in the data folder is not one of this program's.
    #[error("the snapshot cannot be read: {0}")]
    Snapshot(#[from] ciborium::de::Error<std::io::Error>),
    /// The disk's thread cannot be started.
    #[error("the disk thread cannot be started: {0}")]
    Disk(#[from] std::io::Error),
}

impl Control {
    /// Creates the actor's state in its context.
    ///
    /// # Errors
    ///
    /// [`StartFault`] says what stands against it.
    pub fn create(start: Start, context: &mut Context<Self>) -> Result<Self, StartFault> {
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
        let hello = start.card.borrow().clone();
        let datagrams = start
            .datagrams
            .map(|socket| Datagrams::start(socket, address.clone().recipient()));
        start
            .feed
            .send_modify(|feed| feed.restore(Arc::clone(machine.state()).stripped()));
        let mut control = Self {
            peers: Peers::new(start.store.id(), hello, timing, address.clone().recipient())
                .datagrams(datagrams),
            disk: Disk::start(start.store, address.recipient())?,
            card: start.card,
            replica,
            handed: 0,
            synced: 0,
            machine,
            fresh: 0,
            fresh_bytes: 0,
            heal: Heal::new(settings.peers.iter().map(ToString::to_string).collect()),
            feed: start.feed,
            others: IndexMap::new(),
            told: start.told,
            waiting: Waiting::new(settings.limits.calls),
            settling: Vec::new(),
            reads: Reads::default(),
            vouches: Vouches::new(settings.timing.election),
            questions: Questions::default(),
            confirmed: Confirmed::default(),
            joining: IndexMap::new(),
            orders: None,
            founding: false,
            scheduled: false,
            part: Role::Follower,
            committed: 0,
            failed: Some(start.failed),
            settings,
        };
        control.meet();
        Ok(control)
    }
}
