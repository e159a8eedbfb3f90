//! Who collects load reports in a large region.
//!
//! Every instance works it out alike from the list of instances, by rendezvous hashing, so that no word between
//! them is needed. While lists differ, two instances may both take themselves for the first collector:
//! either's sum is right, and instances take whichever came last.

use zinniastall_model::{id, presence::Presence};

use crate::{decide::warm::weight, view::View};

/// Neighbours up to which each instance reports to all others: reports to all grow with the square.
const SMALL: usize = 8;
/// Collectors of a zone: one that works, and one that takes over when it falls silent.
const COLLECTORS: usize = 2;

/// Tells whether the region has so few instances that each reports to all others.
pub fn is_small(view: &View) -> bool {
    let mut near = view.instances.in_region(&view.place.region);
    near.nth(SMALL + 1).is_none()
}

/// The instances of this region, as far as reports are concerned.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    instance: id::Instance,
    zone: id::Zone,
    neighbours: Vec<id::Instance>,
    zone_members: Vec<id::Instance>,
    own_collectors: Vec<id::Instance>,
    other_collectors: Vec<id::Instance>,
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
            ..Self::default()
        };
        if roster.is_small() {
            return roster;
        }
        let mut zones: Vec<&id::Zone> = near.iter().map(|held| &held.place.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let collectors = collectors(&near, zone);
            if *zone == roster.zone {
                roster.own_collectors = collectors;
            } else {
                roster.other_collectors.extend(collectors);
            }
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
        self.neighbours.len() <= SMALL
    }

    /// Tells whether this instance is a collector of its zone.
    pub fn collects(&self) -> bool {
        self.own_collectors.contains(&self.instance)
    }

    /// Tells whether it is the first one.
    pub fn is_first(&self) -> bool {
        self.own_collectors.first() == Some(&self.instance)
    }

    /// Returns the instances to which this one reports.
    pub fn reports_to(&self) -> Vec<id::Instance> {
        if self.is_small() {
            return self.neighbours.clone();
        }
        let collectors = self.own_collectors.iter();
        let others = collectors.filter(|name| **name != self.instance);
        others.cloned().collect()
    }

    /// Returns the collectors of the region's other zones.
    pub fn other_collectors(&self) -> &[id::Instance] {
        &self.other_collectors
    }

    /// Returns the other instances of the zone.
    pub fn zone_members(&self) -> &[id::Instance] {
        &self.zone_members
    }
}

/// Returns the collectors of a zone, the first one first. One that drains is about to end, and collects only
/// where no other one is left.
fn collectors(near: &[&Presence], zone: &str) -> Vec<id::Instance> {
    let members = near.iter().filter(|held| held.place.zone == zone);
    let mut members: Vec<&&Presence> = members.collect();
    members.sort_by_cached_key(|held| (held.ready, weight(zone, &held.instance)));
    let first = members.into_iter().rev().take(COLLECTORS);
    first.map(|held| held.instance.clone()).collect()
}
