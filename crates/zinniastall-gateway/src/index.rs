//! Targets, instances and loads, indexed the way the request path looks them up.
//!
//! A request is placed among the dozen or so targets of its service in one region. Scanning all
//! targets, instances and loads of the system for them would take most of a small instance's time;
//! the example `place_cost` measures this.

use indexmap::IndexMap;
use zinniastall_model::{
    id,
    presence::{Presence, RegionLoad},
};

use crate::view::Target;

/// Positions in a list, by region.
#[derive(Debug, Clone, Default)]
struct ByRegion(IndexMap<id::Region, Vec<usize>>);

/// Targets that accept requests.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    named: IndexMap<id::Target, Target>,
    services: IndexMap<id::Service, ByRegion>,
}

/// Gateway instances that are alive.
#[derive(Debug, Clone, Default)]
pub struct Instances {
    named: IndexMap<id::Instance, Presence>,
    regions: ByRegion,
}

/// Load that all instances of a region place on the targets of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Total {
    /// Requests in flight.
    pub in_flight: u32,
    /// Expected time to read the prompts of requests whose answers have not begun, in microseconds.
    pub reading_us: u64,
}

/// Load by service and region.
#[derive(Debug, Clone, Default)]
pub struct Loads(IndexMap<id::Service, IndexMap<id::Region, Total>>);

impl ByRegion {
    fn add(&mut self, region: &str, position: usize) {
        match self.0.get_mut(region) {
            Some(positions) => positions.push(position),
            None => {
                self.0.insert(region.to_owned(), vec![position]);
            }
        }
    }

    fn positions(&self, region: &str) -> &[usize] {
        self.0.get(region).map_or(&[], Vec::as_slice)
    }
}

impl Targets {
    /// Returns all targets by name.
    pub const fn by_name(&self) -> &IndexMap<id::Target, Target> {
        &self.named
    }

    /// Returns the targets of a service in a region.
    pub fn of(&self, service: &str, region: &str) -> impl Iterator<Item = &Target> {
        let regions = self.services.get(service);
        let positions = regions.map_or(&[][..], |regions| regions.positions(region));
        positions.iter().map(|position| &self.named[*position])
    }

    /// Returns the regions that have targets of a service.
    pub fn regions(&self, service: &str) -> impl Iterator<Item = &id::Region> {
        let regions = self.services.get(service).into_iter();
        regions.flat_map(|regions| regions.0.keys())
    }
}

impl FromIterator<(id::Target, Target)> for Targets {
    fn from_iter<I: IntoIterator<Item = (id::Target, Target)>>(targets: I) -> Self {
        let named: IndexMap<id::Target, Target> = targets.into_iter().collect();
        let mut services: IndexMap<id::Service, ByRegion> = IndexMap::new();
        for (position, target) in named.values().enumerate() {
            let report = &target.report;
            if !services.contains_key(&report.service) {
                services.insert(report.service.clone(), ByRegion::default());
            }
            services[&report.service].add(&report.place.region, position);
        }
        Self { named, services }
    }
}

impl Instances {
    /// Returns all instances by name.
    pub const fn by_name(&self) -> &IndexMap<id::Instance, Presence> {
        &self.named
    }

    /// Returns whether instances state different capacities.
    pub fn is_uneven(&self) -> bool {
        let mut stated = self.named.values().map(|presence| presence.capacity);
        let mut stated = stated.by_ref().filter(|capacity| *capacity > 0);
        let first = stated.next();
        stated.any(|capacity| Some(capacity) != first)
    }

    /// Returns the instances of a region.
    pub fn in_region(&self, region: &str) -> impl Iterator<Item = &Presence> {
        let positions = self.regions.positions(region).iter();
        positions.map(|position| &self.named[*position])
    }

    /// Returns the instances of a region that accept requests.
    pub fn ready_in(&self, region: &str) -> impl Iterator<Item = &Presence> {
        self.in_region(region).filter(|presence| presence.ready)
    }
}

impl FromIterator<(id::Instance, Presence)> for Instances {
    fn from_iter<I: IntoIterator<Item = (id::Instance, Presence)>>(instances: I) -> Self {
        let named: IndexMap<id::Instance, Presence> = instances.into_iter().collect();
        let mut regions = ByRegion::default();
        for (position, presence) in named.values().enumerate() {
            regions.add(&presence.place.region, position);
        }
        Self { named, regions }
    }
}

impl Loads {
    /// Returns the load on a service from the instances of a region.
    pub fn of(&self, service: &str, region: &str) -> Total {
        let regions = self.0.get(service);
        let sum = regions.and_then(|regions| regions.get(region));
        sum.copied().unwrap_or_default()
    }
}

impl FromIterator<RegionLoad> for Loads {
    fn from_iter<I: IntoIterator<Item = RegionLoad>>(loads: I) -> Self {
        let mut services: IndexMap<id::Service, IndexMap<id::Region, Total>> = IndexMap::new();
        for held in loads {
            let regions = services.entry(held.load.service).or_default();
            let sum = regions.entry(held.region).or_default();
            sum.in_flight += held.load.in_flight;
            sum.reading_us += held.load.reading_us;
        }
        Self(services)
    }
}
