//! Messages between control replicas and gateway instances.
//!
//! A gateway instance keeps a link to every control replica, so that it stays up to date when a
//! single replica fails or is partitioned. Each replica passes on only what it has received itself,
//! and the instance merges it. The configuration is announced by revision and fetched once, from
//! the nearest replica that has it; otherwise tables of hundreds of routes would cross every region
//! border once per replica.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use zinniastall_coord::{origin, rate::Limit};
use zinniastall_model::{
    fingerprint::Suspect,
    id,
    presence::{Presence, RegionLoad},
    routing::{self, Table},
    target::Report,
};

use crate::reach;

/// Identifies a question of a gateway instance in the answer; a time of the instance's own clock.
pub type Stamp = u64;

/// A message of a hub link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Gateway: announces its own state.
    Present(Presence),
    /// Gateway: requests the configuration, or its changes since the given revision; 0 if it holds
    /// none.
    Fetch(id::Revision),
    /// Gateway: whether the replica should send the list of instances and the load of regions. All
    /// replicas hold the same of both, so an instance subscribes to two of them at most.
    Subscribe(bool),
    /// Gateway: asks which revision the group has reached. The answer repeats the stamp.
    #[serde(rename = "vouch")]
    ReadIndex(Stamp),
    /// Gateway: quarantined and released requests that the group doesn't hold yet. Control: all
    /// those that the group holds.
    Suspects(Vec<Suspect>),
    /// Gateway: software versions of services that targets state and the group doesn't know.
    Versions(Vec<(id::Service, id::Version)>),
    /// Gateway: rates that targets have named to instances.
    Limits(Vec<(id::Target, Limit)>),
    /// Gateway: targets that it does not reach.
    Unreached(reach::Report),
    /// Control: the revision that it holds; also serves as a keepalive.
    Reached(id::Revision),
    /// Control: the group had reached this revision when the question arrived, and had accepted no
    /// later one.
    #[serde(rename = "vouched")]
    ReadIndexAnswer {
        /// Stamp of the question.
        stamp: Stamp,
        /// Revision that the group had reached.
        revision: id::Revision,
    },
    /// Control: the whole configuration.
    Configuration(Box<Configuration>),
    /// Control: changes of the configuration.
    Changes(Box<Changes>),
    /// Control: reports that it has received from targets.
    Targets(Vec<Report>),
    /// Control: the gateway instances that it is linked with, or the changes since the previous
    /// message. Their load is sent in [`Message::Loads`].
    Instances(Instances),
    /// Control: the load of the instances that it is linked with, by region.
    Loads(Vec<RegionLoad>),
    /// Control: link addresses of all replicas of its group.
    Replicas(Vec<String>),
}

/// The gateway instances that a replica is linked with, or the changes that a subscriber lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Whether the list is complete; otherwise instances that are not named are unchanged.
    pub whole: bool,
    /// Instances that were added or have changed.
    pub present: Vec<Presence>,
    /// Instances whose links have ended.
    pub gone: Vec<id::Instance>,
}

/// Part of the replicated state that gateway instances need.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision of the state.
    pub revision: id::Revision,
    /// Routing table in force, if any.
    pub table: Option<Table>,
    /// Evacuated availability zones, whose targets get no new requests.
    pub evacuated: Vec<id::Zone>,
    /// Software versions by service; `None` from a replica that doesn't know of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
}

/// Software versions by service.
pub type Versions = IndexMap<id::Service, Arc<origin::Versions>>;

/// Difference between the configurations of two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to which the changes apply.
    pub from: id::Revision,
    /// Revision that results from them.
    pub revision: id::Revision,
    /// Changes of the routing table; `None` if it is the same.
    pub table: Option<routing::Changes>,
    /// Evacuated availability zones, whose targets get no new requests.
    pub evacuated: Vec<id::Zone>,
    /// Software versions by service; `None` from a replica that doesn't know of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
}

impl Changes {
    /// Applies the changes to a configuration and returns the later one.
    ///
    /// Returns `None` if the configuration has another revision or no routing table.
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
            versions: self.versions,
        })
    }
}

/// Logs the report of a target; `via` is the replica that passed it on, if any.
pub fn log_report(report: &Report, via: Option<&str>) {
    tracing::info!(
        event = "target",
        target = report.target,
        state = format!("{:?}", report.state).to_lowercase(),
        service = report.service,
        address = report.address,
        zone = report.place.zone,
        version = report.version,
        run = report.incarnation,
        sequence = report.sequence,
        cold_ms = report.cold_ms,
        left_ms = report.left_ms,
        age_ms = report.age_ms,
        run_age_ms = report.run_age_ms,
        sign_off = report.sign_off,
        via,
    );
}
