//! Selects the instances that lend and borrow for their regions.

use indexmap::IndexMap;
use zinniastall_model::{id, presence::Presence};

use crate::{neighbours::collector::collectors, view::View};

/// Leaders of all regions: the collectors of the first zone by name that has live instances, the
/// acting one first.
#[derive(Debug, Clone, Default)]
pub struct Leaders {
    regions: IndexMap<id::Region, Vec<id::Instance>>,
    /// Collectors of the other zones of this region, by zone.
    zones: Vec<Vec<id::Instance>>,
}

impl Leaders {
    /// Derives the leaders from a view.
    pub fn new(view: &View) -> Self {
        let mut zones: IndexMap<&id::Region, IndexMap<&id::Zone, Vec<&Presence>>> = IndexMap::new();
        for held in view.instances.by_name().values() {
            let region = zones.entry(&held.place.region).or_default();
            region.entry(&held.place.zone).or_default().push(held);
        }
        let mut leaders = Self::default();
        for (region, mut zones) in zones {
            zones.sort_keys();
            let is_own = *region == view.place.region;
            for (at, (zone, members)) in zones.into_iter().enumerate() {
                let chosen = collectors(members, zone);
                if at == 0 {
                    leaders.regions.insert(region.clone(), chosen);
                } else if is_own {
                    leaders.zones.push(chosen);
                }
            }
        }
        leaders
    }

    /// Returns the leaders of a region, the first one first.
    pub fn of(&self, region: &str) -> &[id::Instance] {
        self.regions.get(region).map_or(&[], Vec::as_slice)
    }

    /// Returns the regions that have live instances.
    pub fn regions(&self) -> impl Iterator<Item = &id::Region> {
        self.regions.keys()
    }

    /// Returns the collectors of the other zones of this region.
    pub fn zone_collectors(&self) -> impl Iterator<Item = &id::Instance> {
        self.zones.iter().flatten()
    }
}
