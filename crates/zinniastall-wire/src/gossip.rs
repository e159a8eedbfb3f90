//! Gossip between entry instances: membership, targets and zone digests.
//!
//! Fields of frequent messages have one-letter names on the wire, because the control traffic of an
//! instance is limited to 17 KB per second.

mod pack;

use serde::{Deserialize, Serialize};
use zinniastall_coord::{digest, membership, rate::Limit};
use zinniastall_model::{fingerprint::Suspect, id, object::Subject, place::Place};

use crate::{
    rates::{Demand, Verdict},
    reach,
};

/// A message of a gossip link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Heartbeat with the fast-changing state of its sender.
    Heartbeat(Heartbeat),
    /// The sender knows a later run of the receiver, given here.
    Stale(id::Incarnation),
    /// Instances that the sender considers alive; sent first on a link and when an instance joins.
    Peers(Vec<Peer>),
    /// Full reports of targets of the sender's zone; only sent within the zone.
    Targets(Vec<Target>),
    /// Facts about zones; sent between zones and regions.
    #[serde(rename = "news")]
    Delta(Delta),
    /// Rates that targets of the zone name, and permits to send to these; only sent within the zone.
    Rates(Rates),
    /// Targets that an instance of the zone does not reach; only sent within the zone.
    Paths(Paths),
}

/// Message about targets that an instance does not reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Paths {
    /// Asks which of some targets the receiver reaches.
    Question(reach::Part),
    /// Answer to a question.
    Answer(reach::Part),
}

/// Message about targets that take a limited rate from all instances of the zone together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rates {
    /// Rates that the receiver may lack.
    Named(Vec<(id::Target, Limit)>),
    /// Asks a target's coordinator for a permit to send it a request.
    Demand(Demand),
    /// A coordinator's answer.
    Verdict(Verdict),
}

/// A heartbeat to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Input of the membership's failure detector.
    #[serde(rename = "b")]
    pub beat: membership::Heartbeat,
    /// Configuration revision that the sender holds.
    #[serde(rename = "r")]
    pub revision: id::Revision,
    /// Whether the sender is draining and accepts no new requests.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// In-flight requests of the sender relative to its capacity, in thousandths.
    #[serde(rename = "l", default)]
    pub load: u32,
    /// Lease renewals of targets that were sent in full before; only sent within the zone. They are
    /// part of the heartbeat because the headers of a separate message would outweigh its content.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
}

/// An entry instance, as seen by another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name.
    pub instance: id::Instance,
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Region and availability zone.
    pub place: Place,
    /// Address on which it accepts links.
    pub links: String,
    /// Address on which it accepts requests from callers.
    pub callers: String,
    /// Address on which it accepts announcements of targets.
    pub targets: String,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// In-flight requests relative to its capacity, in thousandths.
    pub load: u32,
    /// Uptime in milliseconds, up to [`MAX_UP_MS`].
    pub up_ms: u64,
}

/// Maximum of [`Peer::up_ms`]; no instance treats a peer with a longer uptime as new.
pub const MAX_UP_MS: u64 = 60_000;

/// Lease renewal and load of a target whose other fields have not changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Identifies the target, its run and its unchanged fields, see [`Target::tag`].
    #[serde(rename = "t")]
    pub tag: u64,
    /// Number of the announcement.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Number of requests that it runs or queues.
    #[serde(rename = "b")]
    pub busy: u32,
    /// Remaining time of its lease when sent, in milliseconds.
    #[serde(rename = "m")]
    pub left_ms: u64,
    /// Digests of the prompt prefixes added to its cache.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub added: Vec<u64>,
}

/// Announcement of a target, as gossiped within its zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name.
    pub target: id::Target,
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Number of the announcement within a run; the highest is the latest.
    pub sequence: u64,
    /// Region and availability zone.
    pub place: Place,
    /// Address of its HTTP interface.
    pub address: String,
    /// Path that answers a `GET` without running anything, if it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Kind of target, which determines whether it checks fencing tokens.
    pub kind: String,
    /// Role, such as `prefill`, `decode` or `both`.
    pub role: String,
    /// Models or services that it serves, with their versions.
    pub serves: Vec<Serving>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of requests that it runs or queues, as of its last report.
    pub busy: u32,
    /// Price of one busy second, in a unit chosen by the deployment.
    pub price: f64,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Remaining time of its lease when sent, in milliseconds.
    pub left_ms: u64,
    /// Digests of the most recent prompt prefixes in its cache, newest last.
    pub prefixes: Vec<u64>,
    /// Whether cache events were missed, so that `prefixes` may be incomplete.
    pub gap: bool,
}

impl Target {
    /// Returns a hash of the target, its run and the fields that rarely change.
    ///
    /// Reports with the same tag differ only in sequence, load, lease and cached prefixes.
    pub fn tag(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let stable = (
            (&self.target, self.incarnation, &self.place, &self.address),
            (&self.kind, &self.role, &self.serves, self.slots),
            (self.price.to_bits(), self.leaving, self.gap),
        );
        // Writing to a hasher cannot fail. A failure would only cause a full report to be sent.
        drop(ciborium::into_writer(&stable, &mut hasher));
        // Instances that don't know the field compute the same tag of a target without it.
        if let Some(health_path) = &self.health_path {
            hasher.update(health_path.as_bytes());
        }
        let mut tag = [0; 8];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(tag)
    }
}

/// A model or service that a target serves, with its version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Serving {
    /// Model or service.
    pub subject: Subject,
    /// Version; empty for a service without one.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<id::Adapter>,
}

/// Facts, renewals and suspects that the receiver may lack, either created by the sender or
/// forwarded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "pack::Delta", into = "pack::Delta")]
pub struct Delta {
    /// Facts.
    pub items: Vec<Item>,
    /// Renewals of facts that still hold.
    pub renewals: Vec<Renewal>,
    /// Suspected requests.
    pub suspects: Suspects,
}

/// Requests that are suspected of crashing targets, and an acknowledgement of the receiver's.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Suspected requests that the receiver may lack.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub list: Vec<Suspect>,
    /// Version of the sender's suspicions that the receiver has with this list; 0 for none. The
    /// receiver acknowledges it.
    #[serde(rename = "v", default)]
    pub version: u64,
    /// Latest version that the sender has received from the receiver; 0 for none.
    #[serde(rename = "h", default)]
    pub heard: u64,
}

/// Origin of facts.
///
/// An instance acts as one maker for its zone and as another for its region, because the facts of
/// the two take different paths. Their renewals are separate and each follows the path of its own
/// facts: a renewal that overtook a fact would renew the value that the fact replaces.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Maker {
    /// Instance.
    pub instance: id::Instance,
    /// Whether it acts for its region rather than for its zone.
    pub region: bool,
}

/// A fact about a zone.
pub type Item = digest::Item<Topic, Maker, Fact>;
/// Renewal of the facts of a zone or region.
pub type Renewal = digest::Renewal<Maker>;

/// Subject of a fact.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Contact points of a zone: the instances through which it is reached.
    Contacts(Place),
    /// Capacity of a zone for a subject in a role; sent within the zone's region.
    Capacity(Place, Subject, String),
    /// Capacity of a region for a subject in a role, stated by the zone that speaks for the region;
    /// sent to other regions.
    Region(Place, Subject, String),
}

impl Topic {
    /// Returns the zone that states the fact.
    pub const fn place(&self) -> &Place {
        match self {
            Self::Contacts(place) | Self::Capacity(place, _, _) | Self::Region(place, _, _) => {
                place
            }
        }
    }
}

/// Value of a fact.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    /// Contact points of a zone, its speakers first.
    Contacts(Vec<Peer>),
    /// Capacity of a zone.
    Capacity(Capacity),
    /// Zone with the most capacity in a region, and that capacity.
    Region(id::Zone, Capacity),
}

/// Capacity for a subject in a role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Total number of slots.
    pub slots: u32,
    /// Number of free slots.
    pub free: u32,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// Mean price of one busy second.
    pub price: f64,
}

/// Capacity of a zone for a subject in a role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Zone that it describes.
    pub place: Place,
    /// Model or service.
    pub subject: Subject,
    /// Role.
    pub role: String,
    /// Total number of slots.
    pub slots: u32,
    /// Number of free slots.
    pub free: u32,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// Mean price of one busy second.
    pub price: f64,
    /// Instance that created the digest, with its run and a sequence number to detect later
    /// digests.
    pub maker: (id::Instance, id::Incarnation, u64),
    /// Age when sent, in milliseconds.
    pub age_ms: u64,
}
