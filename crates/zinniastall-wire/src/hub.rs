//! What control replicas and gateway instances say to each other.
//!
//! A gateway instance keeps a link to every control replica, so that no single replica's loss or cut
//! takes its knowledge away. Each replica passes on what it heard itself; the instance merges. The
//! configuration is announced by number and fetched once, from the nearest replica that has it:
//! tables of hundreds of routes would otherwise cross every border once for each replica.

use serde::{Deserialize, Serialize};
use zinniastall_model::{
    id,
    presence::{Presence, RegionLoad},
    routing::Table,
    target::Report,
};

/// A message of a hub link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Gateway: this is how I am.
    Present(Presence),
    /// Gateway: send the configuration.
    Fetch,
    /// Control: the revision held; also the sign of life.
    Reached(id::Revision),
    /// Control: the configuration.
    Configuration(Box<Configuration>),
    /// Control: reports that it heard from targets.
    Targets(Vec<Report>),
    /// Control: all gateway instances that it is linked with; their load stands in [`Message::Loads`].
    Instances(Vec<Presence>),
    /// Control: the load of the instances that it is linked with, by region.
    Loads(Vec<RegionLoad>),
    /// Control: addresses of the links of all replicas of its group.
    Replicas(Vec<String>),
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
