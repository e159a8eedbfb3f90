//! Membership, targets and digests between entry instances.
//!
//! Messages that are sent all the time have one-letter field names on the wire: a node's budget for
//! control is 17 KB a second.

mod pack;

use serde::{Deserialize, Serialize};
use zinniastall_coord::{digest, membership};
use zinniastall_model::{id, object::Subject, place::Place};

/// A message of a gossip link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Heartbeat, and what changes all the time at its sender.
    Heartbeat(Heartbeat),
    /// The receiver's run is lower than one that the sender remembers of it.
    Stale(id::Incarnation),
    /// Instances that are alive as far as the sender knows; first on a link and when one joins.
    Peers(Vec<Peer>),
    /// Targets of the sender's zone, whole; inside the zone only.
    Targets(Vec<Target>),
    /// What zones say of themselves; between zones and regions.
    #[serde(rename = "news")]
    Delta(Delta),
}

/// A heartbeat to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Evidence for the membership.
    #[serde(rename = "b")]
    pub beat: membership::Heartbeat,
    /// Configuration revision that the sender holds.
    #[serde(rename = "r")]
    pub revision: id::Revision,
    /// Whether the sender takes no new requests.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// The sender's requests in progress over what it can take, in thousandths.
    #[serde(rename = "l", default)]
    pub load: u32,
    /// Renewals of targets that were sent whole before; inside the zone only. They travel with the
    /// heartbeat because a message of its own costs more in headers than in content.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
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
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Requests in progress over what it can take, in thousandths.
    pub load: u32,
    /// How long it has been up, in milliseconds, up to [`MAX_UP_MS`].
    pub up_ms: u64,
}

/// Greatest [`Peer::up_ms`]; whoever is up longer is no newcomer to anybody.
pub const MAX_UP_MS: u64 = 60_000;

/// A renewal of a target whose other fields have not changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Names the target, its run and its unchanged fields: [`Target::tag`].
    #[serde(rename = "t")]
    pub tag: u64,
    /// Announcement's number.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Requests that it runs or queues.
    #[serde(rename = "b")]
    pub busy: u32,
    /// Time left of its lease when sent, in milliseconds.
    #[serde(rename = "m")]
    pub left_ms: u64,
    /// Digests of prompt prefixes that are new in its cache.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub added: Vec<u64>,
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

impl Target {
    /// Returns a number for the target, its run and the fields that rarely change.
    ///
    /// Two reports with the same tag differ in load, lease and cached prefixes only.
    pub fn tag(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let stable = (
            (&self.target, self.incarnation, &self.place, &self.address),
            (&self.kind, &self.role, &self.serves, self.slots),
            (self.price.to_bits(), self.leaving, self.gap),
        );
        // Writing to a hasher cannot fail; a failure would only cost a whole report.
        drop(ciborium::into_writer(&stable, &mut hasher));
        let mut tag = [0; 8];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(tag)
    }
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

/// What zones say of themselves, as made or passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "pack::Delta", into = "pack::Delta")]
pub struct Delta {
    /// Facts.
    pub items: Vec<Item>,
    /// Words that facts still hold.
    pub renewals: Vec<Renewal>,
}

/// Who makes facts.
///
/// What an instance says for its region goes other ways than what it says for its zone. As two
/// makers they are vouched for apart, each on the way of its own facts: a word that overtook a fact
/// would vouch for what that fact replaces.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Maker {
    /// Instance.
    pub instance: id::Instance,
    /// Whether it speaks for its region here, and not for its zone.
    pub region: bool,
}

/// A fact about a zone.
pub type Item = digest::Item<Topic, Maker, Fact>;
/// A zone's or region's word that its facts still hold.
pub type Renewal = digest::Renewal<Maker>;

/// What a fact is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Instances through which a zone is reached.
    Contacts(Place),
    /// Capacity of a zone for a subject in a role; for the zone's own region.
    Capacity(Place, Subject, String),
    /// What a region has for a subject in a role, as the zone says that speaks for it; for other
    /// regions.
    Region(Place, Subject, String),
}

impl Topic {
    /// Returns the zone that says it.
    pub const fn place(&self) -> &Place {
        match self {
            Self::Contacts(place) | Self::Capacity(place, _, _) | Self::Region(place, _, _) => {
                place
            }
        }
    }
}

/// A fact.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    /// Instances through which a zone is reached, its speakers first.
    Contacts(Vec<Peer>),
    /// Capacity.
    Capacity(Capacity),
    /// The region's zone that has most, and its capacity.
    Region(id::Zone, Capacity),
}

/// Capacity for one subject in one role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Slots in all.
    pub slots: u32,
    /// Slots free.
    pub free: u32,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// Mean price of one busy second.
    pub price: f64,
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
