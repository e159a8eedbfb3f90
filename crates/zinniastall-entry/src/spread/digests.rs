//! What zones and regions say of themselves: taken in, passed on, read.

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

/// Facts about zones.
#[derive(Debug)]
pub struct Digests {
    place: Place,
    speaker: Speaker,
    table: Facts,
    forwarder: Forwarder,
    horizon: Duration,
}

impl Digests {
    /// Creates an empty collection; a leader vouches for its zone's facts once an interval.
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
            table: Facts::new(horizon),
            horizon,
        }
    }

    /// Says what there is to say, if this instance speaks for anybody.
    pub fn speak(
        &mut self,
        scope: Scope,
        contacts: Vec<Peer>,
        targets: &IndexMap<id::Target, view::Target>,
        now: Instant,
    ) {
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

    /// Returns the capacities of the region's other zones. What is summed up gets a new maker who
    /// vouches for it, so it has to be younger here than what is only passed on.
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

    /// Sets the links on which facts are passed on, with the places of their other ends.
    pub fn set_links(&mut self, links: &IndexMap<Handle, Place>) {
        self.forwarder.set_links(&self.table, links);
    }

    /// Returns what fits into a number of bytes, by link, and the bytes that it takes.
    pub fn flush(&mut self, bytes: u64, now: Instant) -> (Vec<(Handle, Delta)>, u64) {
        self.forwarder.flush(&self.table, bytes, now)
    }

    /// Returns how many facts wait to be sent, over all links.
    pub fn pending_count(&self) -> usize {
        self.forwarder.pending_count()
    }

    /// Takes facts in that came on a link. Returns whether there was news.
    pub fn apply(&mut self, link: Handle, from: &Place, news: Delta, now: Instant) -> bool {
        let mut changed = false;
        for item in news.items {
            // A zone's own facts don't come back from outside.
            if *item.key.place() != self.place || *from == self.place {
                changed |= self.apply_item(Some((link, from)), item, now);
            }
        }
        for renewal in &news.renewals {
            changed |= self.apply_renewal(Some((link, from)), renewal, now);
        }
        changed
    }

    /// Returns the doors of other zones that are known.
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

    /// Returns the capacities of other zones that are known, of those that can be reached: without
    /// a door a zone is worth nothing, and the doors are vouched for by the zone itself.
    pub fn capacities(&self, now: Instant) -> Vec<view::Digest> {
        let contacts: IndexSet<Place> = self
            .contacts(now)
            .into_iter()
            .map(|(place, _)| place)
            .collect();
        let mut digests: IndexMap<(Place, Subject, String), view::Digest> = IndexMap::new();
        // The own region's zones are known one by one.
        let is_own_region = |entry: &Entry<'_, Topic, Maker, Fact>| matches!(entry.key, Topic::Region(by, ..) if by.region == self.place.region);
        let facts = self.table.fresh(now).filter(|entry| !is_own_region(entry));
        for digest in facts.filter_map(|entry| read_capacity(&entry)) {
            let report = &digest.report;
            let key = (
                report.place.clone(),
                report.subject.clone(),
                report.role.clone(),
            );
            // While one zone takes over from another, both have spoken for the region.
            let known = digests.get(&key);
            let is_newer = known.is_none_or(|known| known.made < digest.made);
            if is_newer && contacts.contains(&report.place) {
                digests.insert(key, digest);
            }
        }
        digests.into_values().collect()
    }

    /// Drops what has been unknown for long.
    pub fn sweep(&mut self, now: Instant) {
        self.table.sweep(now);
        self.forwarder.sweep(&self.table);
    }

    fn apply_item(&mut self, from: Option<(Handle, &Place)>, item: Item, now: Instant) -> bool {
        let topic = item.key.clone();
        // While this instance leads its zone, nobody else speaks for it.
        let speaks = self.speaker.scope() > Scope::None;
        if from.is_some() && *topic.place() == self.place && speaks {
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
        let known = self.forwarder.knows_maker(&renewal.maker);
        if !known || !self.table.renew(renewal, now) {
            return false;
        }
        self.forwarder
            .forward_renewal(&self.table, from, &renewal.maker);
        true
    }
}

/// Reads a capacity.
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
