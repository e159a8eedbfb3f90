//! Decides which instances of other zones this instance links to.
//!
//! The speakers of all zones in a region link to each other. Between regions, only the speakers of
//! each region's first zone link to each other, so each fact crosses each slow link once. If
//! nothing is heard from a region, the speakers of all zones try to reach it, because the first
//! zone may be the one that is cut off.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::overlay;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::Peer;

/// Maximum number of zones remembered.
const MAX_ZONES: usize = 1_024;
/// How long the contact points of a silent zone are remembered, in case it returns.
const RETENTION: Duration = Duration::from_hours(2);
/// How long one contact point of a silent zone is tried before the next one.
const ROTATION_SECS: u64 = 4;

#[derive(Debug)]
struct Zone {
    contacts: Vec<Peer>,
    last_heard: Instant,
    fresh: bool,
}

/// Contact points of other zones, including zones that are silent.
#[derive(Debug)]
pub struct Topology {
    own: Place,
    started: Instant,
    zones: IndexMap<Place, Zone>,
}

impl Topology {
    /// Creates an empty topology.
    pub fn new(own: Place, now: Instant) -> Self {
        Self {
            own,
            started: now,
            zones: IndexMap::new(),
        }
    }

    /// Updates the contact points with those that are currently known. All other zones are
    /// remembered as silent.
    pub fn update(&mut self, known: Vec<(Place, Vec<Peer>)>, now: Instant) {
        let known: IndexMap<Place, Vec<Peer>> = known.into_iter().collect();
        for (place, zone) in &mut self.zones {
            if zone.fresh && !known.contains_key(place) {
                tracing::info!(event = "zone-lost", place = %place);
                zone.fresh = false;
            }
        }
        self.zones
            .retain(|_, zone| now.saturating_duration_since(zone.last_heard) <= RETENTION);
        for (place, contacts) in known {
            if !self.is_fresh(&place) {
                tracing::info!(event = "zone-heard", place = %place);
            }
            if self.zones.len() < MAX_ZONES || self.zones.contains_key(&place) {
                let zone = Zone {
                    contacts,
                    last_heard: now,
                    fresh: true,
                };
                self.zones.insert(place, zone);
            }
        }
    }

    /// Records a zone that another instance has mentioned. It is tried in the same way as a silent
    /// zone.
    pub fn report(&mut self, peer: &Peer, now: Instant) {
        let known = self.zones.contains_key(&peer.place) || peer.place == self.own;
        if !known && self.zones.len() < MAX_ZONES {
            let zone = Zone {
                contacts: vec![peer.clone()],
                last_heard: now,
                fresh: false,
            };
            self.zones.insert(peer.place.clone(), zone);
        }
    }

    /// Returns whether unexpired facts about a zone are known.
    pub fn is_fresh(&self, place: &Place) -> bool {
        self.zones.get(place).is_some_and(|zone| zone.fresh)
    }

    /// Returns the peers that a speaker of the given rank links to.
    pub fn wanted(&self, rank: usize, now: Instant) -> Vec<Peer> {
        let places = self.wanted_places();
        let rotation = now.saturating_duration_since(self.started).as_secs() / ROTATION_SECS;
        let pick = |place: &Place| self.pick(place, rank, rotation);
        places.iter().filter_map(pick).collect()
    }

    fn pick(&self, place: &Place, rank: usize, rotation: u64) -> Option<Peer> {
        let zone = self.zones.get(place)?;
        if zone.fresh {
            return overlay::counterpart(rank, &zone.contacts).cloned();
        }
        let rotations = usize::try_from(rotation).unwrap_or_default();
        let index = (rank + rotations).checked_rem(zone.contacts.len())?;
        zone.contacts.get(index).cloned()
    }

    fn wanted_places(&self) -> IndexSet<Place> {
        let mut places = IndexSet::new();
        let mut first: IndexMap<&id::Region, &Place> = IndexMap::new();
        for (place, zone) in &self.zones {
            if place.region == self.own.region {
                places.insert(place.clone());
            } else if zone.fresh {
                let lowest = first.entry(&place.region).or_insert(place);
                *lowest = (*lowest).min(place);
            }
        }
        let silent =
            |place: &&Place| place.region != self.own.region && !first.contains_key(&place.region);
        places.extend(self.zones.keys().filter(silent).cloned());
        if self.is_first() {
            places.extend(first.into_values().cloned());
        }
        places
    }

    /// Returns whether the own zone is the first of its region's zones that are not silent.
    pub fn is_first(&self) -> bool {
        let heard = self.zones.iter().filter(|(_, zone)| zone.fresh);
        let mut near = heard.filter(|(place, _)| place.region == self.own.region);
        near.all(|(place, _)| self.own < *place)
    }
}
