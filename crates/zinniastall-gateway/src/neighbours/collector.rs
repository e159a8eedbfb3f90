//! Who collects load reports in a large region.
//!
//! Every instance works it out alike from the list of instances, by rendezvous hashing, so that no word between
//! them is needed. While lists differ, two instances may both take themselves for the first collector:
//! either's sum is right, and instances take whichever came last.

use indexmap::{IndexMap, IndexSet};
use zinniastall_model::{id, place::Place, presence::Presence};

use crate::{decide::slow_start::weight, view::View};

/// Neighbours up to which each instance reports to all others: reports to all grow with the square.
const MAX_DIRECT_NEIGHBOURS: usize = 8;
/// Collectors of a zone: one that works, and one that takes over when it falls silent.
const COLLECTORS_PER_ZONE: usize = 2;

/// Tells whether the region has so few instances that each reports to all others.
pub fn is_small(view: &View) -> bool {
    let mut near = view.instances.in_region(&view.place.region);
    near.nth(MAX_DIRECT_NEIGHBOURS + 1).is_none()
}

/// The instances of this region, as far as reports are concerned.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    instance: id::Instance,
    zone: id::Zone,
    neighbours: Vec<id::Instance>,
    zone_members: Vec<id::Instance>,
    own_collectors: Vec<id::Instance>,
    region_collectors: Vec<id::Instance>,
    remote_collectors: Vec<id::Instance>,
    zones: IndexSet<id::Zone>,
    instances: IndexSet<id::Instance>,
}

impl Roster {
    /// Works out who reports to whom.
    pub fn new(view: &View) -> Self {
        let near: Vec<&Presence> = view.instances.in_region(&view.place.region).collect();
        let is_other = |held: &&&Presence| held.instance != view.instance;
        let others = near.iter().filter(is_other);
        let mut roster = Self {
            instance: view.instance.clone(),
            zone: view.place.zone.clone(),
            neighbours: others.map(|held| held.instance.clone()).collect(),
            instances: view.instances.by_name().keys().cloned().collect(),
            ..Self::default()
        };
        let mut zones: IndexMap<&Place, Vec<&Presence>> = IndexMap::new();
        for held in view.instances.by_name().values() {
            zones.entry(&held.place).or_default().push(held);
        }
        for (place, members) in zones {
            let collectors = collectors(members, &place.zone);
            if place.zone == roster.zone {
                roster.own_collectors = collectors;
            } else if place.region == view.place.region {
                roster.region_collectors.extend(collectors);
            } else {
                roster.remote_collectors.extend(collectors);
            }
            roster.zones.insert(place.zone.clone());
        }
        let members = near.iter().filter(|held| held.place.zone == roster.zone);
        let members = members.filter(is_other);
        roster.zone_members = members.map(|held| held.instance.clone()).collect();
        roster
    }

    /// Returns this instance.
    pub const fn instance(&self) -> &id::Instance {
        &self.instance
    }

    /// Returns its zone.
    pub const fn zone(&self) -> &id::Zone {
        &self.zone
    }

    /// Tells whether each instance reports to all others.
    pub const fn is_small(&self) -> bool {
        self.neighbours.len() <= MAX_DIRECT_NEIGHBOURS
    }

    /// Tells whether this instance is a collector of its zone.
    pub fn is_collector(&self) -> bool {
        self.own_collectors.contains(&self.instance)
    }

    /// Tells whether it is the first one.
    pub fn is_first_collector(&self) -> bool {
        self.own_collectors.first() == Some(&self.instance)
    }

    /// Returns the instances to which this one reports its load.
    pub fn report_recipients(&self) -> Vec<id::Instance> {
        if self.is_small() {
            return self.neighbours.clone();
        }
        self.peer_collectors()
    }

    /// Returns the collectors of its zone but for itself.
    pub fn peer_collectors(&self) -> Vec<id::Instance> {
        let collectors = self.own_collectors.iter();
        let others = collectors.filter(|name| **name != self.instance);
        others.cloned().collect()
    }

    /// Returns the collectors of the region's other zones.
    pub fn region_collectors(&self) -> &[id::Instance] {
        &self.region_collectors
    }

    /// Returns the collectors of the zones of other regions.
    pub fn remote_collectors(&self) -> &[id::Instance] {
        &self.remote_collectors
    }

    /// Tells whether an instance is alive.
    pub fn contains(&self, instance: &str) -> bool {
        self.instances.contains(instance)
    }

    /// Returns how many instances are alive, in all regions.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Tells whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Tells whether a zone has instances that are alive.
    pub fn contains_zone(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns how many zones have instances that are alive.
    pub fn zones(&self) -> usize {
        self.zones.len()
    }

    /// Returns the other instances of the zone.
    pub fn zone_members(&self) -> &[id::Instance] {
        &self.zone_members
    }
}

/// Returns the collectors of a zone, the first one first. One that drains is about to end, and collects only
/// where no other one is left.
fn collectors(mut members: Vec<&Presence>, zone: &str) -> Vec<id::Instance> {
    members.sort_by_cached_key(|held| (held.ready, weight(zone, &held.instance)));
    let first = members.into_iter().rev().take(COLLECTORS_PER_ZONE);
    first.map(|held| held.instance.clone()).collect()
}
