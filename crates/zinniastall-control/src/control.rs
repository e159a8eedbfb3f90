//! The actor that owns the control state.
//!
//! Every event arrives as a message, and each file of this module handles the messages of one
//! topic. Each handler ends by driving (`Control::drive`) the replica: entries to store go to the
//! disk, messages go to the peers, and committed entries are applied and published.

mod apply;
mod bootstrap;
mod confirmed;
mod drive;
mod entries;
mod group;
mod heal;
mod order;
mod read;
mod read_index;
mod remember;
mod repair;
mod reply;
mod settling;
mod start;
mod status;
mod stop;
mod waiting;
mod write;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, AsyncContext, Context, Handler};
use indexmap::IndexMap;
use tokio::sync::{oneshot, watch};
use zinniastall_coord::{
    Id, Replica,
    replica::{Index, Role},
};
use zinniastall_model::{id, machine::Machine};
use zinniastall_wire::{
    feed::Feed,
    frame::{self, Frame},
    hello::Hello,
};

pub(crate) use self::bootstrap::FOUNDING;
pub use self::{
    bootstrap::{Bootstrap, BootstrapError, Founded},
    confirmed::Confirmed,
    entries::Notice,
    group::Reconfigure,
    heal::{Members, Sample, SetSeeds, Stats},
    read::{Read, View},
    read_index::ReadIndex,
    remember::{Remember, SignOff},
    repair::{Requests, STEP_RETRY_INTERVAL, Throttle, next_step},
    reply::{Deferred, NotLeader, Reply},
    start::{Failure, Start, StartError},
    status::{Health, Inspect},
    stop::Stop,
    write::Write,
};
use self::{
    read::Reads, read_index::Questions, settling::Settling, status::HealthQueries,
    waiting::Waiting, write::Unconfirmed,
};
use crate::{
    disk::{Disk, Done},
    hub::Hub,
    links::Identity,
    orders::Orders,
    peers::{
        self, Peers, Received,
        datagram::{self, Arrived},
    },
    recall::Registry,
    settings,
};

/// Replica ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 3;

/// State of a control instance.
#[derive(Debug)]
pub struct Control {
    settings: Arc<settings::Control>,
    identity: Identity,
    replica: Replica,
    disk: Disk,
    submitted: u64,
    synced: u64,
    machine: Machine,
    entries_since_snapshot: u64,
    bytes_since_snapshot: usize,
    feed: watch::Sender<Feed>,
    peers: Peers,
    replica_info: IndexMap<Id, ReplicaInfo>,
    registry: Registry,
    hub: Hub,
    waiting: Waiting,
    unconfirmed: Vec<Unconfirmed>,
    settling: Settling,
    reads: Reads,
    read_index: Questions,
    health_queries: HealthQueries,
    confirmed: Confirmed,
    joining: IndexMap<String, Instant>,
    orders: Option<Orders>,
    founding: bool,
    heal: heal::Heal,
    scheduled: bool,
    role: Role,
    known_commit: Index,
    failed: Option<oneshot::Sender<Failure>>,
}

/// What another replica reports about itself on its links.
#[derive(Debug)]
struct ReplicaInfo {
    /// Address of its operator interface.
    service: String,
    zone: id::Zone,
}

impl From<Hello> for ReplicaInfo {
    fn from(hello: Hello) -> Self {
        Self {
            service: hello.service,
            zone: hello.place.zone,
        }
    }
}

impl Control {
    /// Ends the process; nothing is stored, sent or applied from here on.
    fn fail(&mut self, failure: Failure) {
        if let Some(failed) = self.failed.take() {
            drop(failed.send(failure));
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.replica.tick(now);
        self.drive();
        self.waiting.expire(now);
        self.answer_confirmed(now);
        self.forward_confirmations();
        self.send_orders(now, context);
        self.heal(now, context);
    }

    fn heartbeat(&self) -> Duration {
        self.settings.timing.heartbeat
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(self.heartbeat() / TICKS_PER_HEARTBEAT, Self::tick);
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
                // The contents of the disk are unknown from here on, so nothing may be
                // acknowledged. The process ends, and its supervisor sees that the disk has to be
                // replaced.
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
        let Received {
            hello,
            frame,
            reply_queue,
        } = received;
        let own = self.replica.id();
        if frame.to != own && frame.to != 0 {
            return;
        }
        let Ok(message) = peers::Message::decode(&frame.message) else {
            tracing::warn!(event = "malformed-message", peer = hello.instance);
            return;
        };
        if frame.from != 0 {
            self.replica_info.insert(frame.from, hello.into());
            self.peers.set_reply_queue(frame.from, reply_queue.clone());
        }
        match message {
            peers::Message::Ping => {
                drop(reply_queue.try_send(addressed(own, frame.from, &peers::Message::Pong)));
            }
            peers::Message::Confirmed(list) => self.note_confirmed(list),
            peers::Message::Join(member) => self.join(member),
            peers::Message::ReadIndex { ask } => self.answer_peer(ask, frame.from, reply_queue),
            peers::Message::ReadIndexAnswer { ask, revision } => {
                self.read_index.answered(ask, revision);
            }
            peers::Message::Drift(list) => self.note_drift(list),
            peers::Message::Remember(targets) => self.registry.record(targets, Instant::now()),
            peers::Message::Log(message) if !self.founding => {
                self.replica.receive(frame.from, *message, Instant::now());
            }
            peers::Message::SignOff(report) => drop(self.hub.note(*report)),
            peers::Message::Admit { id, address } => self.note_join_request(id, address),
            peers::Message::Leave { id } => self.note_leave_request(id),
            peers::Message::Log(_) | peers::Message::Pong => {}
        }
        self.schedule(context);
    }
}

impl Handler<Arrived> for Control {
    type Result = ();

    fn handle(&mut self, arrived: Arrived, context: &mut Context<Self>) {
        let Arrived(frame) = arrived;
        if frame.to != self.replica.id() || self.founding {
            return;
        }
        let message = peers::Message::decode(&frame.message);
        let urgent = message.ok().filter(datagram::is_urgent);
        let Some(peers::Message::Log(message)) = urgent else {
            tracing::warn!(event = "malformed-datagram", peer = frame.from);
            return;
        };
        self.replica.receive(frame.from, *message, Instant::now());
        self.schedule(context);
    }
}

/// Builds the frame that carries a message to another replica.
fn addressed(from: Id, to: Id, message: &peers::Message) -> Frame {
    Frame::Replica(frame::Replica {
        from,
        to,
        message: message.encode(),
    })
}

/// Formats a cluster id as hex.
pub(crate) fn hex(cluster: zinniastall_coord::Cluster) -> String {
    format!("{:032x}", u128::from_be_bytes(cluster))
}
