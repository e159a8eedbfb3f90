//! What control replicas and gateway instances say to each other.
//!
//! A gateway instance keeps a link to every control replica, so that no single replica's loss or cut
//! takes its knowledge away. Each replica passes on what it heard itself; the instance merges. The
//! configuration is announced by number and fetched once, from the nearest replica that has it:
//! tables of hundreds of routes would otherwise cross every border once for each replica.

use serde::{Deserialize, Serialize};
use zinniastall_model::{
    fingerprint::Suspect,
    id,
    presence::{Presence, RegionLoad},
    routing::{self, Table},
    target::Report,
};

/// Tells a gateway instance which of its questions is answered; a moment of its own clock.
pub type Stamp = u64;

/// A message of a hub link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Gateway: this is how I am.
    Present(Presence),
    /// Gateway: send the configuration, or what has changed of it since the revision held; 0 for none.
    Fetch(id::Revision),
    /// Gateway: whether the replica should tell which instances there are and how loaded regions are. All
    /// replicas know the same of both, so an instance asks two of them at most.
    Subscribe(bool),
    /// Gateway: asks which revision the group has reached by now. The stamp comes back with the answer.
    #[serde(rename = "vouch")]
    ReadIndex(Stamp),
    /// Gateway: requests that aren't run any more, or may run again, as far as the group doesn't hold that yet.
    /// Control: all that the group holds of these.
    Suspects(Vec<Suspect>),
    /// Control: the revision held; also the sign of life.
    Reached(id::Revision),
    /// Control: the group had reached a revision when the question with this stamp came, and no later one was
    /// accepted before.
    #[serde(rename = "vouched")]
    ReadIndexAnswer {
        /// Stamp of the question.
        stamp: Stamp,
        /// Revision.
        revision: id::Revision,
    },
    /// Control: the configuration.
    Configuration(Box<Configuration>),
    /// Control: what has changed of it.
    Changes(Box<Changes>),
    /// Control: reports that it heard from targets.
    Targets(Vec<Report>),
    /// Control: the gateway instances that it is linked with, or what has changed of them since the message
    /// before; their load stands in [`Message::Loads`].
    Instances(Instances),
    /// Control: the load of the instances that it is linked with, by region.
    Loads(Vec<RegionLoad>),
    /// Control: addresses of the links of all replicas of its group.
    Replicas(Vec<String>),
}

/// The gateway instances that a replica is linked with, as far as a subscriber doesn't know them yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Whether these are all of them; otherwise those that are not named are as they were.
    pub whole: bool,
    /// Instances that came or changed.
    pub present: Vec<Presence>,
    /// Instances whose links ended.
    pub gone: Vec<id::Instance>,
}

/// What gateway instances need of the replicated state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision of the state.
    pub revision: id::Revision,
    /// Routing table in force, if there is one.
    pub table: Option<Table>,
    /// Availability zones whose targets get no new requests.
    pub evacuated: Vec<id::Zone>,
}

/// What turns the configuration of one revision into that of a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to which they apply.
    pub from: id::Revision,
    /// Revision that they make.
    pub revision: id::Revision,
    /// Changes of the routing table; `None` where it is the same.
    pub table: Option<routing::Changes>,
    /// Availability zones whose targets get no new requests.
    pub evacuated: Vec<id::Zone>,
}

impl Changes {
    /// Makes the later configuration of the earlier one; `None` where that is of another revision, or holds no
    /// table to change.
    pub fn apply(self, held: &Configuration) -> Option<Configuration> {
        if held.revision != self.from {
            return None;
        }
        let before = held.table.as_ref()?;
        let after = self.table.map(|changes| changes.apply(before));
        Some(Configuration {
            revision: self.revision,
            table: Some(after.unwrap_or_else(|| before.clone())),
            evacuated: self.evacuated,
        })
    }
}

/// Logs what a report says of a target; `via` names the replica over which it came, if any.
pub fn log_report(report: &Report, via: Option<&str>) {
    tracing::info!(
        event = "target",
        target = report.target,
        state = format!("{:?}", report.state).to_lowercase(),
        service = report.service,
        address = report.address,
        zone = report.place.zone,
        run = report.incarnation,
        sequence = report.sequence,
        cold_ms = report.cold_ms,
        left_ms = report.left_ms,
        age_ms = report.age_ms,
        via,
    );
}
