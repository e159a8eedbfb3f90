//! Facts about zones and regions: received, forwarded and read.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::Entry;
use zinniastall_model::{id, object::Subject, place::Place};
use zinniastall_wire::gossip::{self, Delta, Fact, Item, Maker, Peer, Topic};

use super::{
    capacity::{Zones, sum_targets},
    forwarder::{Facts, Forwarder},
    links::Handle,
    speaker::{Scope, Snapshot, Speaker},
};
use crate::view;

/// Facts about zones and regions.
#[derive(Debug)]
pub struct Digests {
    place: Place,
    own: id::Instance,
    /// Other instances of the zone.
    zone: IndexSet<id::Instance>,
    speaker: Speaker,
    table: Facts,
    forwarder: Forwarder,
    horizon: Duration,
}

impl Digests {
    /// Creates an empty collection. If this instance is a speaker, it renews its facts once per
    /// interval.
    pub fn new(
        own: &id::Instance,
        incarnation: id::Incarnation,
        place: Place,
        interval: Duration,
        now: Instant,
    ) -> Self {
        let horizon = interval * 5;
        Self {
            speaker: Speaker::new(own, incarnation, place.clone(), interval, now),
            forwarder: Forwarder::new(place.clone()),
            place,
            own: own.clone(),
            zone: IndexSet::new(),
            table: Facts::new(horizon),
            horizon,
        }
    }

    /// Creates the facts that are due if this instance is a speaker.
    pub fn speak(
        &mut self,
        scope: Scope,
        contacts: Vec<Peer>,
        targets: &IndexMap<id::Target, view::Target>,
        now: Instant,
    ) {
        let others = contacts.iter().map(|peer| &peer.instance);
        let others = others.filter(|instance| **instance != self.own);
        self.zone = others.cloned().collect();
        let snapshot = Snapshot {
            contacts,
            own: sum_targets(targets),
            others: self.region_capacities(now),
        };
        let update = self.speaker.speak(scope, &snapshot, now);
        for item in update.items {
            self.apply_item(None, item, now);
        }
        for renewal in &update.renewals {
            self.apply_renewal(None, renewal, now);
        }
    }

    /// Returns the capacities of the region's other zones.
    ///
    /// A summary of the region has a maker of its own, whose renewals extend the lifetime of what
    /// was summed up. Facts must therefore be younger here than facts that are only forwarded.
    fn region_capacities(&self, now: Instant) -> Zones {
        let mut zones = Zones::new();
        for entry in self.table.fresh(now) {
            let (Topic::Capacity(place, subject, role), Fact::Capacity(capacity)) =
                (entry.key, entry.value)
            else {
                continue;
            };
            let near = place.region == self.place.region && *place != self.place;
            if near && now.saturating_duration_since(entry.made) <= self.horizon / 2 {
                let key = (subject.clone(), role.clone());
                let zone = (place.zone.clone(), *capacity);
                zones.entry(key).or_default().push(zone);
            }
        }
        zones
    }

    /// Sets the links on which facts are forwarded, with the places of their other ends.
    pub fn set_links(&mut self, links: &IndexMap<Handle, Place>) {
        self.forwarder.set_links(&self.table, links);
    }

    /// Returns the facts to send per link within a byte budget, and the bytes that they need.
    pub fn flush(&mut self, bytes: u64, now: Instant) -> (Vec<(Handle, Delta)>, u64) {
        self.forwarder.flush(&self.table, bytes, now)
    }

    /// Returns the number of facts that are waiting to be sent, over all links.
    pub fn pending_count(&self) -> usize {
        self.forwarder.pending_count()
    }

    /// Applies facts that arrived on a link. Returns whether any of them is new.
    pub fn apply(&mut self, link: Handle, from: &Place, news: Delta, now: Instant) -> bool {
        let mut changed = false;
        for item in news.items {
            // Facts of the own zone are not accepted from other zones.
            if *item.key.place() != self.place || *from == self.place {
                changed |= self.apply_item(Some((link, from)), item, now);
            }
        }
        for renewal in &news.renewals {
            changed |= self.apply_renewal(Some((link, from)), renewal, now);
        }
        changed
    }

    /// Returns the known contact points of other zones.
    pub fn contacts(&self, now: Instant) -> Vec<(Place, Vec<Peer>)> {
        let entries = self.table.fresh(now);
        let contacts = entries.filter_map(|entry| match (entry.key, entry.value) {
            (Topic::Contacts(place), Fact::Contacts(contacts)) if *place != self.place => {
                Some((place.clone(), contacts.clone()))
            }
            _ => None,
        });
        contacts.collect()
    }

    /// Returns the known capacities of other zones that can be reached. A zone without contact
    /// points is unusable, and only the zone itself renews its contact points.
    pub fn capacities(&self, now: Instant) -> Vec<view::Digest> {
        let contacts: IndexSet<Place> = self
            .contacts(now)
            .into_iter()
            .map(|(place, _)| place)
            .collect();
        let mut digests: IndexMap<(Place, Subject, String), view::Digest> = IndexMap::new();
        // Zones of the own region are known individually, so regional summaries are skipped.
        let is_own_region = |entry: &Entry<'_, Topic, Maker, Fact>| matches!(entry.key, Topic::Region(by, ..) if by.region == self.place.region);
        let facts = self.table.fresh(now).filter(|entry| !is_own_region(entry));
        for digest in facts.filter_map(|entry| read_capacity(&entry)) {
            let report = &digest.report;
            let key = (
                report.place.clone(),
                report.subject.clone(),
                report.role.clone(),
            );
            // While one zone takes over from another, facts from both may describe the region.
            let known = digests.get(&key);
            let is_newer = known.is_none_or(|known| known.made < digest.made);
            if is_newer && contacts.contains(&report.place) {
                digests.insert(key, digest);
            }
        }
        digests.into_values().collect()
    }

    /// Removes facts that expired long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.table.sweep(now);
        self.forwarder.sweep(&self.table);
    }

    fn apply_item(&mut self, from: Option<(Handle, &Place)>, item: Item, now: Instant) -> bool {
        let topic = item.key.clone();
        // While this instance is the zone's speaker, no other instance speaks for the zone.
        let speaks = self.speaker.scope() > Scope::None;
        if from.is_some() && *topic.place() == self.place && speaks {
            self.speaker.republish();
            return false;
        }
        if !self.table.apply(item, now) {
            return false;
        }
        self.forwarder.forward_fact(&self.table, from, &topic);
        true
    }

    fn apply_renewal(
        &mut self,
        from: Option<(Handle, &Place)>,
        renewal: &gossip::Renewal,
        now: Instant,
    ) -> bool {
        let maker = &renewal.maker.instance;
        if from.is_some() && self.speaker.scope() > Scope::None && self.zone.contains(maker) {
            self.speaker.republish();
            return false;
        }
        let known = self.forwarder.knows_maker(&renewal.maker);
        if !known || !self.table.renew(renewal, now) {
            return false;
        }
        self.forwarder
            .forward_renewal(&self.table, from, &renewal.maker);
        true
    }
}

/// Converts a fact to a digest if it describes a capacity.
fn read_capacity(entry: &Entry<'_, Topic, Maker, Fact>) -> Option<view::Digest> {
    let (place, subject, role, capacity) = match (entry.key, entry.value) {
        (Topic::Capacity(place, subject, role), Fact::Capacity(capacity)) => {
            (place.clone(), subject, role, capacity)
        }
        (Topic::Region(by, subject, role), Fact::Region(zone, capacity)) => {
            let place = Place::new(by.region.clone(), zone.clone());
            (place, subject, role, capacity)
        }
        _ => return None,
    };
    let (maker, incarnation, sequence) = entry.maker;
    let report = gossip::Digest {
        place,
        subject: subject.clone(),
        role: role.clone(),
        slots: capacity.slots,
        free: capacity.free,
        wait_ms: capacity.wait_ms,
        price: capacity.price,
        maker: (maker.instance.clone(), incarnation, sequence),
        age_ms: 0,
    };
    Some(view::Digest {
        report,
        made: entry.made,
    })
}
