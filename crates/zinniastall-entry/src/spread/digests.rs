//! What zones and regions say of themselves: taken in, passed on, read.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::Entry;
use zinniastall_model::{id, object::Subject, place::Place};
use zinniastall_wire::gossip::{self, Delta, Fact, Item, Maker, Peer, Topic};

use super::{
    capacity::{Zones, sum},
    lines::Line,
    speaker::{Knowledge, Speaker, Voice},
    ways::{Facts, Ways},
};
use crate::view;

/// Facts about zones.
#[derive(Debug)]
pub struct Digests {
    place: Place,
    speaker: Speaker,
    table: Facts,
    ways: Ways,
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
            ways: Ways::new(place.clone()),
            place,
            table: Facts::new(horizon),
            horizon,
        }
    }

    /// Says what there is to say, if this instance speaks for anybody.
    pub fn speak(
        &mut self,
        voice: Voice,
        doors: Vec<Peer>,
        targets: &IndexMap<id::Target, view::Target>,
        now: Instant,
    ) {
        let knowledge = Knowledge {
            doors,
            own: sum(targets),
            others: self.region(now),
        };
        let word = self.speaker.speak(voice, &knowledge, now);
        for item in word.items {
            self.learn(None, item, now);
        }
        for renewal in &word.renewals {
            self.vouch(None, renewal, now);
        }
    }

    /// Returns the capacities of the region's other zones. What is summed up gets a new maker who
    /// vouches for it, so it has to be younger here than what is only passed on.
    fn region(&self, now: Instant) -> Zones {
        let mut zones = Zones::new();
        for fresh in self.table.fresh(now) {
            let (Topic::Capacity(place, subject, role), Fact::Capacity(capacity)) =
                (fresh.key, fresh.value)
            else {
                continue;
            };
            let near = place.region == self.place.region && *place != self.place;
            if near && now.saturating_duration_since(fresh.made) <= self.horizon / 2 {
                let key = (subject.clone(), role.clone());
                let zone = (place.zone.clone(), *capacity);
                zones.entry(key).or_default().push(zone);
            }
        }
        zones
    }

    /// Sets the links on which facts are passed on, with the places of their other ends.
    pub fn paths(&mut self, lines: &IndexMap<Line, Place>) {
        self.ways.set(&self.table, lines);
    }

    /// Returns what fits into a number of bytes, by link, and the bytes that it takes.
    pub fn flush(&mut self, bytes: u64, now: Instant) -> (Vec<(Line, Delta)>, u64) {
        self.ways.flush(&self.table, bytes, now)
    }

    /// Returns how many facts wait to be sent, over all links.
    pub fn waiting(&self) -> usize {
        self.ways.waiting()
    }

    /// Takes facts in that came on a link. Returns whether there was news.
    pub fn take(&mut self, line: Line, from: &Place, news: Delta, now: Instant) -> bool {
        let mut any = false;
        for item in news.items {
            // A zone's own facts don't come back from outside.
            if *item.key.place() != self.place || *from == self.place {
                any |= self.learn(Some((line, from)), item, now);
            }
        }
        for renewal in &news.renewals {
            any |= self.vouch(Some((line, from)), renewal, now);
        }
        any
    }

    /// Returns the doors of other zones that are known.
    pub fn doors(&self, now: Instant) -> Vec<(Place, Vec<Peer>)> {
        let fresh = self.table.fresh(now);
        let doors = fresh.filter_map(|fresh| match (fresh.key, fresh.value) {
            (Topic::Contacts(place), Fact::Contacts(doors)) if *place != self.place => {
                Some((place.clone(), doors.clone()))
            }
            _ => None,
        });
        doors.collect()
    }

    /// Returns the capacities of other zones that are known, of those that can be reached: without
    /// a door a zone is worth nothing, and the doors are vouched for by the zone itself.
    pub fn capacities(&self, now: Instant) -> Vec<view::Digest> {
        let doors: IndexSet<Place> = self
            .doors(now)
            .into_iter()
            .map(|(place, _)| place)
            .collect();
        let mut digests: IndexMap<(Place, Subject, String), view::Digest> = IndexMap::new();
        // The own region's zones are known one by one.
        let summed = |fresh: &Entry<'_, Topic, Maker, Fact>| matches!(fresh.key, Topic::Region(by, ..) if by.region == self.place.region);
        let single = self.table.fresh(now).filter(|fresh| !summed(fresh));
        for digest in single.filter_map(|fresh| read(&fresh)) {
            let report = &digest.report;
            let key = (
                report.place.clone(),
                report.subject.clone(),
                report.role.clone(),
            );
            // While one zone takes over from another, both have spoken for the region.
            let known = digests.get(&key);
            let younger = known.is_none_or(|known| known.made < digest.made);
            if younger && doors.contains(&report.place) {
                digests.insert(key, digest);
            }
        }
        digests.into_values().collect()
    }

    /// Drops what has been unknown for long.
    pub fn sweep(&mut self, now: Instant) {
        self.table.sweep(now);
        self.ways.sweep(&self.table);
    }

    fn learn(&mut self, from: Option<(Line, &Place)>, item: Item, now: Instant) -> bool {
        let topic = item.key.clone();
        // While this instance leads its zone, nobody else speaks for it.
        let leading = self.speaker.voice() > Voice::None;
        if from.is_some() && *topic.place() == self.place && leading {
            return false;
        }
        if !self.table.apply(item, now) {
            return false;
        }
        self.ways.learned(&self.table, from, &topic);
        true
    }

    fn vouch(
        &mut self,
        from: Option<(Line, &Place)>,
        renewal: &gossip::Renewal,
        now: Instant,
    ) -> bool {
        let known = self.ways.knows(&renewal.maker);
        if !known || !self.table.renew(renewal, now) {
            return false;
        }
        self.ways.renewed(&self.table, from, &renewal.maker);
        true
    }
}

/// Reads a capacity.
fn read(fresh: &Entry<'_, Topic, Maker, Fact>) -> Option<view::Digest> {
    let (place, subject, role, capacity) = match (fresh.key, fresh.value) {
        (Topic::Capacity(place, subject, role), Fact::Capacity(capacity)) => {
            (place.clone(), subject, role, capacity)
        }
        (Topic::Region(by, subject, role), Fact::Region(zone, capacity)) => {
            let place = Place::new(by.region.clone(), zone.clone());
            (place, subject, role, capacity)
        }
        _ => return None,
    };
    let (maker, incarnation, sequence) = fresh.maker;
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
        made: fresh.made,
    })
}
