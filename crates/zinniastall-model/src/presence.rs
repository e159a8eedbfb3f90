//! Announcements of gateway instances.

use serde::{Deserialize, Serialize};

use crate::{id, place::Place};

/// Announcement of a gateway instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Instance.
    pub instance: id::Instance,
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Region and availability zone.
    pub place: Place,
    /// Address on which it accepts requests from callers.
    pub callers: String,
    /// Address on which it accepts requests forwarded by other gateway instances.
    pub forward: String,
    /// Whether it accepts requests from callers.
    pub ready: bool,
    /// Whether it sends a stream that it is told to continue only to a target of the given version.
    #[serde(default)]
    pub checks_origins: bool,
    /// Processor capacity, in thousandths of a core; 0 if it is not stated.
    #[serde(default)]
    pub capacity: u32,
    /// In-flight requests at targets, by service.
    pub load: Vec<Load>,
}

impl Presence {
    /// Tells whether two announcements of an instance differ in more than load.
    pub fn differs(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.ready != other.ready
            || self.checks_origins != other.checks_origins
            || self.capacity != other.capacity
            || self.place != other.place
            || self.callers != other.callers
            || self.forward != other.forward
    }
}

/// In-flight requests that the instances of a region have sent to the targets of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLoad {
    /// Region.
    pub region: id::Region,
    /// Sum over the instances of the region.
    pub load: Load,
}

/// In-flight requests that one instance has sent to the targets of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Service.
    pub service: id::Service,
    /// Number of in-flight requests.
    #[serde(rename = "flights")]
    pub in_flight: u32,
    /// Expected prefill time of the requests whose responses have not begun, in microseconds.
    pub reading_us: u64,
}
