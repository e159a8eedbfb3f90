//! The actor that owns control state.
//!
//! Everything that happens arrives as a message; the handlers stand in one file a matter. Each ends
//! by [driving](Control::drive) the replica: what it wants stored goes to the disk, what it wants
//! sent goes to the peers, and what is committed is applied and published.

mod apply;
mod confirmed;
mod entries;
mod found;
mod group;
mod order;
mod read;
mod reply;
mod status;
mod stop;
mod vouch;
mod waiting;
mod write;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, AsyncContext, Context, Handler, Message};
use indexmap::IndexMap;
use tokio::sync::{oneshot, watch};
use zinniastall_coord::{
    Id, Replica,
    replica::{Part, Ready, Restored},
};
use zinniastall_model::machine::Machine;
use zinniastall_store::Store;
use zinniastall_wire::{
    feed::Feed,
    frame::{self, Frame},
};

pub(crate) use self::found::FOUNDING;
pub use self::{
    confirmed::Confirmed,
    entries::Heard,
    found::{Bootstrap, Founded, Refused},
    group::Regroup,
    read::{Look, Read},
    reply::{Later, NotLeader, Reply},
    status::{Health, Inspect},
    stop::Stop,
    vouch::Vouch,
    write::Write,
};
use self::{read::Reads, status::Questions, vouch::Vouches, waiting::Waiting, write::Settling};
use crate::{
    disk::{Disk, Done, Work},
    links::Card,
    orders::Orders,
    peers::{self, Peers, Received},
    settings,
};

/// Ticks within one heartbeat.
const TICKS: u32 = 3;

/// A control instance's state, owned by the control arbiter.
#[derive(Debug)]
pub struct Control {
    settings: Arc<settings::Control>,
    card: Card,
    replica: Replica,
    disk: Disk,
    handed: u64,
    synced: u64,
    machine: Machine,
    fresh: u64,
    feed: watch::Sender<Feed>,
    peers: Peers,
    operators: IndexMap<Id, String>,
    waiting: Waiting,
    settling: Vec<Settling>,
    reads: Reads,
    vouches: Vouches,
    questions: Questions,
    confirmed: Confirmed,
    joining: IndexMap<String, Instant>,
    orders: Option<Orders>,
    founding: bool,
    scheduled: bool,
    part: Part,
    failed: Option<oneshot::Sender<Failure>>,
}

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
    Disk(zinniastall_store::Fault),
    /// A leader's snapshot cannot be read; it may come from a later version of this program.
    #[error("a snapshot cannot be read: {0}")]
    Snapshot(ciborium::de::Error<std::io::Error>),
}

/// Why a control instance cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartFault {
    /// The timings can't keep a group safe.
    #[error(transparent)]
    Timing(#[from] zinniastall_coord::election::Fault),
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
        let replica = Replica::builder(start.store.id(), settings.timing)
            .restored(start.restored)
            .build(Instant::now())?;
        let address = context.address();
        let timing = peers::Timing::new(settings.timing.election);
        let hello = start.card.borrow().clone();
        start
            .feed
            .send_modify(|feed| feed.restore(Arc::clone(machine.state())));
        let mut control = Self {
            peers: Peers::new(start.store.id(), hello, timing, address.clone().recipient()),
            disk: Disk::start(start.store, address.recipient())?,
            card: start.card,
            replica,
            handed: 0,
            synced: 0,
            machine,
            fresh: 0,
            feed: start.feed,
            operators: IndexMap::new(),
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
            part: Part::Follower,
            failed: Some(start.failed),
            settings,
        };
        control.meet();
        Ok(control)
    }

    /// Does what the replica asks for, until it asks for nothing more.
    fn drive(&mut self) {
        if self.failed.is_none() {
            return;
        }
        let now = Instant::now();
        while let Some(ready) = self.replica.ready() {
            self.perform(ready, now);
        }
        self.publish();
        self.check_part(now);
        self.check_reads(now);
        self.check_questions(now);
    }

    fn perform(&mut self, mut ready: Ready, now: Instant) {
        let messages = std::mem::take(&mut ready.messages);
        let committed = std::mem::take(&mut ready.committed);
        let meets = ready.cluster.is_some();
        if let Some(snapshot) = ready.install.clone() {
            self.restore(&snapshot);
        }
        if ready.needs_sync() || self.handed > self.synced {
            self.handed = ready.batch;
            self.disk.hand(Work::Save(Box::new(ready)));
        } else {
            self.handed = ready.batch;
            self.synced = ready.batch;
            self.replica.synced(ready.batch, now);
        }
        if meets {
            self.meet();
        }
        let voters = self.replica.status(now).voters;
        for (to, message) in messages {
            let message = peers::Message::Log(Box::new(message));
            self.peers.send(to, voters.address(to), &message);
        }
        self.apply(committed);
    }

    /// Dials the group as it is now, under the cluster that is known now.
    fn meet(&mut self) {
        let status = self.replica.status(Instant::now());
        let cluster = status.cluster.map(hex);
        self.card.borrow_mut().cluster = cluster;
        let hello = self.card.borrow().clone();
        let others = status.voters.members().filter(|id| *id != status.id);
        let addresses: Vec<String> = others
            .filter_map(|id| status.voters.address(id).cloned())
            .collect();
        self.operators.retain(|id, _| status.voters.is_member(*id));
        self.peers.dial(&hello, &addresses);
    }

    /// Runs [`Control::drive`] once the messages that wait already have been handled, so that all
    /// their commands share one sync.
    fn schedule(&mut self, context: &mut Context<Self>) {
        if !self.scheduled {
            self.scheduled = true;
            context.notify(Drive);
        }
    }

    /// Ends the process; nothing is stored, sent or applied from here on.
    fn fail(&mut self, failure: Failure) {
        if let Some(failed) = self.failed.take() {
            drop(failed.send(failure));
        }
    }

    fn check_part(&mut self, now: Instant) {
        let status = self.replica.status(now);
        if status.part == self.part {
            return;
        }
        let (part, term) = (format!("{:?}", status.part).to_lowercase(), status.term);
        tracing::info!(event = "part-changed", part, term);
        if self.part == Part::Leader {
            self.waiting.hurry(now + self.settings.timing.election * 2);
        }
        self.part = status.part;
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.replica.tick(now);
        self.drive();
        self.waiting.expire(now);
        self.settle(now);
        self.pass_on_confirmations();
        self.send_orders(now, context);
    }

    fn heartbeat(&self) -> Duration {
        self.settings.timing.heartbeat
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(self.heartbeat() / TICKS, Self::tick);
    }
}

/// Drives the replica.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Drive;

impl Handler<Drive> for Control {
    type Result = ();

    fn handle(&mut self, _: Drive, _: &mut Context<Self>) {
        self.scheduled = false;
        self.drive();
    }
}

impl Handler<Done> for Control {
    type Result = ();

    fn handle(&mut self, done: Done, _: &mut Context<Self>) {
        match done {
            Done::Synced(batch) => {
                self.synced = batch;
                self.replica.synced(batch, Instant::now());
            }
            Done::Snapshot(snapshot) => {
                tracing::info!(event = "snapshot", index = snapshot.last.index);
                self.replica.compacted(*snapshot);
            }
            Done::Founded(founded) => self.founded(*founded),
            Done::Failed(fault) => {
                // What is on the disk is not known any more, so nothing may be promised: the
                // process ends, and its supervisor sees that the disk has to be replaced.
                self.fail(Failure::Disk(fault));
                return;
            }
        }
        self.drive();
    }
}

impl Handler<Received> for Control {
    type Result = ();

    fn handle(&mut self, received: Received, context: &mut Context<Self>) {
        let Received { hello, frame, back } = received;
        let own = self.replica.id();
        if frame.to != own && frame.to != 0 {
            return;
        }
        let Ok(message) = peers::Message::decode(&frame.message) else {
            tracing::warn!(event = "malformed-message", peer = hello.instance);
            return;
        };
        if frame.from != 0 {
            self.operators.insert(frame.from, hello.service);
            self.peers.note(frame.from, back.clone());
        }
        match message {
            peers::Message::Ping => {
                drop(back.try_send(addressed(own, frame.from, &peers::Message::Pong)));
            }
            peers::Message::Confirmed(list) => self.note_confirmed(list),
            peers::Message::Join(member) => self.join(member),
            peers::Message::Vouch { ask } => self.vouch_for_peer(ask, frame.from, back),
            peers::Message::Vouched { ask, revision } => self.vouches.answered(ask, revision),
            peers::Message::Astray(list) => self.note_astray(list),
            peers::Message::Log(message) if !self.founding => {
                self.replica.receive(frame.from, *message, Instant::now());
            }
            peers::Message::Log(_) | peers::Message::Pong => {}
        }
        self.schedule(context);
    }
}

/// Addresses a message to another replica.
fn addressed(from: Id, to: Id, message: &peers::Message) -> Frame {
    Frame::Replica(frame::Replica {
        from,
        to,
        message: message.encode(),
    })
}

/// Writes a cluster id as hex.
pub(crate) fn hex(cluster: zinniastall_coord::Cluster) -> String {
    format!("{:032x}", u128::from_be_bytes(cluster))
}
