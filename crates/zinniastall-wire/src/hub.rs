//! What control replicas and gateway instances say to each other.
//!
//! A gateway instance keeps a link to every control replica, so that no single replica's loss or cut
//! takes its knowledge away. Each replica passes on what it heard itself; the instance merges. The
//! configuration is announced by number and fetched once, from the nearest replica that has it:
//! tables of hundreds of routes would otherwise cross every border once for each replica.

use serde::{Deserialize, Serialize};
use zinniastall_model::{id, presence::Presence, routing::Table, target::Report};

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
    /// Control: all gateway instances that it is linked with.
    Instances(Vec<Presence>),
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
