//! Selects the instances that collect load reports in a large region.
//!
//! Every instance derives the collectors from the list of instances by rendezvous hashing, without
//! communication. While lists differ, two instances may both act as the first collector; the sums
//! of both are correct, and instances use whichever arrived last.

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::rendezvous::weight;
use zinniastall_model::{id, place::Place, presence::Presence};

use crate::view::View;

/// Maximum number of neighbours for which each instance reports to all others; that traffic grows
/// with the square of the number.
const MAX_DIRECT_NEIGHBOURS: usize = 8;
/// Collectors in a zone: an active one, and one that takes over when the first falls silent.
const COLLECTORS_PER_ZONE: usize = 2;

/// Returns whether the region is small enough for each instance to report to all others.
pub fn is_small(view: &View) -> bool {
    let mut near = view.instances.in_region(&view.place.region);
    near.nth(MAX_DIRECT_NEIGHBOURS + 1).is_none()
}

/// Members of the system and their roles in the exchange of reports, as seen from this instance.
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
    is_in_first_zone: bool,
}

impl Roster {
    /// Derives the roles from a view.
    pub fn new(view: &View) -> Self {
        let near: Vec<&Presence> = view.instances.in_region(&view.place.region).collect();
        let is_other = |held: &&&Presence| held.instance != view.instance;
        let others = near.iter().filter(is_other);
        let mut roster = Self {
            instance: view.instance.clone(),
            zone: view.place.zone.clone(),
            neighbours: others.map(|held| held.instance.clone()).collect(),
            instances: view.instances.by_name().keys().cloned().collect(),
            is_in_first_zone: near.iter().all(|held| held.place.zone >= view.place.zone),
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

    /// Returns the name of this instance.
    pub const fn instance(&self) -> &id::Instance {
        &self.instance
    }

    /// Returns the zone of this instance.
    pub const fn zone(&self) -> &id::Zone {
        &self.zone
    }

    /// Returns whether each instance reports to all others of the region.
    pub const fn is_small(&self) -> bool {
        self.neighbours.len() <= MAX_DIRECT_NEIGHBOURS
    }

    /// Returns whether this instance is a collector of its zone.
    pub fn is_collector(&self) -> bool {
        self.own_collectors.contains(&self.instance)
    }

    /// Returns whether this instance is the first collector of its zone.
    pub fn is_first_collector(&self) -> bool {
        self.own_collectors.first() == Some(&self.instance)
    }

    /// Returns whether no zone of the region that has live instances comes before this one by name.
    pub const fn is_in_first_zone(&self) -> bool {
        self.is_in_first_zone
    }

    /// Returns the recipients of this instance's load reports.
    pub fn report_recipients(&self) -> Vec<id::Instance> {
        if self.is_small() {
            return self.neighbours.clone();
        }
        self.peer_collectors()
    }

    /// Returns the other instances of the region.
    pub fn neighbours(&self) -> &[id::Instance] {
        &self.neighbours
    }

    /// Returns the collectors of this zone, without this instance.
    pub fn peer_collectors(&self) -> Vec<id::Instance> {
        let collectors = self.own_collectors.iter();
        let others = collectors.filter(|name| **name != self.instance);
        others.cloned().collect()
    }

    /// Returns the collectors of the region's other zones.
    pub fn region_collectors(&self) -> &[id::Instance] {
        &self.region_collectors
    }

    /// Returns the collectors of all zones of other regions.
    pub fn remote_collectors(&self) -> &[id::Instance] {
        &self.remote_collectors
    }

    /// Returns the other collectors, of this zone and of all others.
    pub fn all_other_collectors(&self) -> Vec<id::Instance> {
        let others = self.region_collectors.iter();
        let others = others.chain(&self.remote_collectors).cloned();
        self.peer_collectors().into_iter().chain(others).collect()
    }

    /// Returns whether an instance is alive.
    pub fn contains(&self, instance: &str) -> bool {
        self.instances.contains(instance)
    }

    /// Returns the number of live instances in all regions.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns whether no live instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns whether a zone has live instances.
    pub fn contains_zone(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the number of zones that have live instances.
    pub fn zones(&self) -> usize {
        self.zones.len()
    }

    /// Returns the other instances of this zone.
    pub fn zone_members(&self) -> &[id::Instance] {
        &self.zone_members
    }
}

/// Returns the collectors of a zone, the first collector first. A draining instance is about to
/// end, so it collects only if no other is left.
pub(super) fn collectors(mut members: Vec<&Presence>, zone: &str) -> Vec<id::Instance> {
    members.sort_by_cached_key(|held| (held.ready, weight(zone, &held.instance)));
    let first = members.into_iter().rev().take(COLLECTORS_PER_ZONE);
    first.map(|held| held.instance.clone()).collect()
}
