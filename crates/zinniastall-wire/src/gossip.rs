//! Membership, targets and digests between entry instances.

use serde::{Deserialize, Serialize};
use zinniastall_model::{id, object::Subject, place::Place};

/// A message of a gossip link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Heartbeat: what the sender knows of itself and of others.
    Heartbeat(Heartbeat),
    /// Targets of the sender's zone; inside the zone only.
    Targets(Vec<Target>),
    /// Capacity of places; between zones and regions.
    Digests(Vec<Digest>),
}

/// Instances as the sender sees them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts the sender's heartbeats.
    pub sequence: u64,
    /// Configuration revision that the sender holds.
    pub revision: id::Revision,
    /// The sender and the instances that it has heard of.
    pub peers: Vec<Peer>,
}

/// An entry instance as another one sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name.
    pub instance: id::Instance,
    /// Run.
    pub incarnation: id::Incarnation,
    /// Where it runs.
    pub place: Place,
    /// Address of its links.
    pub links: String,
    /// Address that callers use.
    pub callers: String,
    /// Address that targets announce to.
    pub targets: String,
    /// Counts its own heartbeats; the highest is the news.
    pub sequence: u64,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Requests in progress over what it can take, in thousandths.
    pub load: u32,
}

/// A target's announcement, as spread inside its zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name.
    pub target: id::Target,
    /// Run.
    pub incarnation: id::Incarnation,
    /// Counts its announcements within a run; the highest is the news.
    pub sequence: u64,
    /// Where it runs.
    pub place: Place,
    /// Address of its HTTP interface.
    pub address: String,
    /// Kind of target, which decides whether it checks fencing numbers.
    pub kind: String,
    /// Role, such as `prefill`, `decode` or `both`.
    pub role: String,
    /// What it serves, with versions.
    pub serves: Vec<Serving>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it runs or queues, as of its last report.
    pub busy: u32,
    /// Price of one busy second, in the deployment's own unit.
    pub price: f64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time left of its lease when sent, in milliseconds.
    pub left_ms: u64,
    /// Digests of prompt prefixes in its cache, newest last; bounded.
    pub prefixes: Vec<u64>,
    /// Whether cache events were missed, so that `prefixes` is unsure.
    pub gap: bool,
}

/// A model or service and its version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Serving {
    /// Model or service.
    pub subject: Subject,
    /// Version; empty for services without one.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<id::Adapter>,
}

/// Capacity of one zone for one subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Zone that it describes.
    pub place: Place,
    /// Model or service.
    pub subject: Subject,
    /// Role.
    pub role: String,
    /// Slots in all.
    pub slots: u32,
    /// Slots free.
    pub free: u32,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// Mean price of one busy second.
    pub price: f64,
    /// Instance that made it and the run and sequence by which later ones are known.
    pub maker: (id::Instance, id::Incarnation, u64),
    /// Age when sent, in milliseconds.
    pub age_ms: u64,
}
