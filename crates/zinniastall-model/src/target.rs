//! Reports of targets, as passed on between processes.

use serde::{Deserialize, Serialize};

use crate::{id, place::Place};

/// Lifecycle state of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It accepts requests.
    #[default]
    Ready,
    /// It completes its in-flight requests and accepts no new ones.
    Draining,
    /// It has announced that it is leaving.
    Gone,
}

/// Report of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the target.
    pub target: id::Target,
    /// Run of its process; later runs have higher numbers. 0 if the target reports none.
    pub incarnation: id::Incarnation,
    /// Number of the report within the run.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Address of its HTTP interface.
    pub address: String,
    /// Region and availability zone.
    pub place: Place,
    /// Version of its software, if it states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<id::Version>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Lifecycle state.
    pub state: State,
    /// Time for which it remains cold, in milliseconds.
    pub cold_ms: u64,
    /// Time until it is gone, in milliseconds, if known.
    pub left_ms: Option<u64>,
    /// Age of the report when it was passed on, in milliseconds.
    pub age_ms: u64,
}

impl Report {
    /// Tells whether two reports of a target differ in more than a renewal.
    pub fn differs(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.state != other.state
            || self.address != other.address
            || self.version != other.version
            || self.left_ms.is_some() != other.left_ms.is_some()
            || (self.cold_ms > 0) != (other.cold_ms > 0)
    }

    /// Tells whether this report replaces another one of the same target.
    ///
    /// Reports may arrive out of order, and one that was delayed by a partition may arrive after
    /// its target has restarted under the same name. Within a run, a target that is gone stays
    /// gone.
    pub fn replaces(&self, held: &Self) -> bool {
        if self.incarnation != held.incarnation {
            return self.incarnation > held.incarnation;
        }
        if held.state == State::Gone {
            return false;
        }
        self.state == State::Gone || self.sequence > held.sequence
    }
}
