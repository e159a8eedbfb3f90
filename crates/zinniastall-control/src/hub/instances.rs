//! Gateway instances that are linked to a replica, with versioned changes for subscribers.
//!
//! Each change gets a version, and each subscriber remembers the version up to which it was sent.
//! Everything that changed in between is sent once, in its current state: a subscriber with a slow
//! link skips to the newest state, and nothing queues up for it.

use indexmap::IndexMap;
use zinniastall_model::{
    id,
    presence::{Load, Presence, RegionLoad},
};
use zinniastall_wire::hub;

use super::{LinkNumber, Version};

/// Instances that are remembered after their link ended. A subscriber whose version is older than
/// the oldest of them gets the whole list.
const MAX_GONE: usize = 4_096;

/// Gateway instances by name.
#[derive(Debug, Default)]
pub(super) struct Instances {
    present: IndexMap<id::Instance, Present>,
    gone: IndexMap<id::Instance, Version>,
    forgotten: Version,
    version: Version,
}

#[derive(Debug)]
struct Present {
    presence: Presence,
    link: LinkNumber,
    version: Version,
}

impl Instances {
    /// Returns the version of the last change.
    pub(super) const fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of instances.
    pub(super) fn len(&self) -> usize {
        self.present.len()
    }

    /// Iterates over the instances.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Presence> {
        self.present.values().map(|present| &present.presence)
    }

    /// Records the state of an instance. A change of its load alone does not count as a change for
    /// subscribers.
    pub(super) fn note(&mut self, presence: Presence, link: LinkNumber) {
        let held = self.present.get(&presence.instance);
        // Links of two runs of an instance overlap when it restarts after a run that ended without
        // closing its link; the later run counts.
        if held.is_some_and(|held| held.presence.incarnation > presence.incarnation) {
            return;
        }
        let unchanged = held.filter(|held| !held.presence.differs(&presence));
        let version = unchanged.map_or(self.version + 1, |held| held.version);
        self.version = self.version.max(version);
        let name = presence.instance.clone();
        self.gone.shift_remove(&name);
        let present = Present {
            presence,
            link,
            version,
        };
        self.present.insert(name, present);
    }

    /// Removes the instances of a link that ended.
    pub(super) fn disconnect(&mut self, link: LinkNumber) {
        let ended = self
            .present
            .iter()
            .filter(|(_, present)| present.link == link);
        let ended: Vec<id::Instance> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            self.version += 1;
            self.present.swap_remove(&name);
            self.gone.insert(name, self.version);
        }
        let surplus = self.gone.len().saturating_sub(MAX_GONE);
        if let Some((_, last)) = self.gone.drain(..surplus).last() {
            self.forgotten = last;
        }
    }

    /// Returns the changes since a version; the whole list for version 0, which means that the
    /// subscriber has no list yet.
    pub(super) fn since(&self, seen: Version) -> hub::Instances {
        let whole = seen == 0 || seen < self.forgotten;
        let after = if whole { 0 } else { seen };
        let changed = self.present.values().filter(|held| held.version > after);
        let present = changed.map(|held| Presence {
            load: Vec::new(),
            ..held.presence.clone()
        });
        let ended = self.gone.iter().filter(|(_, version)| **version > after);
        let gone = ended.map(|(name, _)| name.clone());
        hub::Instances {
            whole,
            present: present.collect(),
            gone: if whole { Vec::new() } else { gone.collect() },
        }
    }

    /// Returns the load of each region, summed over its instances. The loads of a hundred single
    /// instances would take up most of the traffic on their links.
    pub(super) fn loads(&self) -> Vec<RegionLoad> {
        let mut sums: IndexMap<(id::Region, id::Service), Load> = IndexMap::new();
        for presence in self.iter() {
            for load in &presence.load {
                let key = (presence.place.region.clone(), load.service.clone());
                let sum = sums.entry(key).or_insert_with(|| Load {
                    service: load.service.clone(),
                    in_flight: 0,
                    reading_us: 0,
                });
                sum.in_flight += load.in_flight;
                sum.reading_us += load.reading_us;
            }
        }
        let loads = sums.into_iter();
        loads
            .map(|((region, _), load)| RegionLoad { region, load })
            .collect()
    }
}
