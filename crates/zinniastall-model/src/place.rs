//! Location of an instance or target.

use serde::{Deserialize, Serialize};

use crate::id;

/// A region and an availability zone in it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Region.
    pub region: id::Region,
    /// Availability zone.
    pub zone: id::Zone,
}

impl Place {
    /// Creates a place from a region and an availability zone.
    pub fn new(region: impl Into<id::Region>, zone: impl Into<id::Zone>) -> Self {
        Self {
            region: region.into(),
            zone: zone.into(),
        }
    }
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.region, self.zone)
    }
}
