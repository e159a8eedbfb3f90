//! What gateway instances say of themselves.

use serde::{Deserialize, Serialize};

use crate::{id, place::Place};

/// One gateway instance, as it presents itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Instance.
    pub instance: id::Instance,
    /// Its run.
    pub incarnation: id::Incarnation,
    /// Where it runs.
    pub place: Place,
    /// Address that callers use.
    pub callers: String,
    /// Address that other gateway instances use for requests that they pass on.
    pub forward: String,
    /// Whether it takes requests of callers.
    pub ready: bool,
    /// Requests in progress at targets, by service.
    pub load: Vec<Load>,
}

impl Presence {
    /// Tells whether two words of an instance differ in more than its load.
    pub fn differs(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.ready != other.ready
            || self.place != other.place
            || self.callers != other.callers
            || self.forward != other.forward
    }
}

/// Requests in progress that the instances of a region have sent to the targets of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLoad {
    /// Region.
    pub region: id::Region,
    /// Sum over its instances.
    pub load: Load,
}

/// Requests in progress that one instance has sent to the targets of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Service.
    pub service: id::Service,
    /// Requests at targets.
    #[serde(rename = "flights")]
    pub in_flight: u32,
    /// Expected time to read the prompts of those whose answers have not begun, in microseconds.
    pub reading_us: u64,
}
