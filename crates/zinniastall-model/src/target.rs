//! What targets say of themselves, as the system passes it on.

use serde::{Deserialize, Serialize};

use crate::{id, place::Place};

/// Whether a target takes requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    #[default]
    Ready,
    /// It finishes what it runs and takes nothing new.
    Draining,
    /// It has signed off.
    Gone,
}

/// One report of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Target, as it names itself.
    pub target: id::Target,
    /// Its run: later runs have higher numbers, 0 where the target names none.
    pub incarnation: id::Incarnation,
    /// Number of the report within its run.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Address of its HTTP interface.
    pub address: String,
    /// Where it runs.
    pub place: Place,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: State,
    /// How much longer it stays cold, in milliseconds.
    pub cold_ms: u64,
    /// Time after which it is gone, in milliseconds, if it knows.
    pub left_ms: Option<u64>,
    /// Age of the report when it was passed on, in milliseconds.
    pub age_ms: u64,
}

impl Report {
    /// Tells whether two reports say different things of a target, beyond that it is still there.
    pub fn differs(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.state != other.state
            || self.address != other.address
            || self.left_ms.is_some() != other.left_ms.is_some()
            || (self.cold_ms > 0) != (other.cold_ms > 0)
    }

    /// Tells whether this report replaces another one of the same target.
    ///
    /// Reports overtake each other, and one that a cut held up may arrive after its target has
    /// started again under the same name. Within a run, who signed off stays gone.
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
