//! What zones and regions say of themselves: taken in, passed on, read.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::{Fresh, Outbox, Table, overlay};
use zinniastall_model::{id, object::Subject, place::Place};
use zinniastall_wire::gossip::{self, Fact, Item, Maker, News, Peer, Topic};

use super::{
    capacity::{Zones, sum},
    lines::Line,
    speaker::{Knowledge, Speaker, Voice},
};
use crate::view;

/// A link on which facts are passed on.
#[derive(Debug)]
struct Path {
    to: Place,
    outbox: Outbox<Topic, Maker>,
}

/// Where a maker is, and whether its facts come over a border between regions, and not by the own
/// region.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Source {
    about: Place,
    direct: bool,
}

/// Facts about zones.
#[derive(Debug)]
pub struct Digests {
    place: Place,
    speaker: Speaker,
    table: Table<Topic, Maker, Fact>,
    boxes: IndexMap<Line, Path>,
    /// Where each maker is and how its word comes: its facts and renewals go the same ways, or a renewal would vouch for a fact that has been replaced on another way.
    sources: IndexMap<Maker, Source>,
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
            place,
            table: Table::new(horizon),
            boxes: IndexMap::new(),
            sources: IndexMap::new(),
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

    /// Sets the links on which facts are passed on, with the places of their other ends; one that is
    /// new gets all facts that go there.
    pub fn paths(&mut self, lines: &IndexMap<Line, Place>) {
        self.boxes.retain(|line, _| lines.contains_key(line));
        for (line, to) in lines {
            if self.boxes.contains_key(line) {
                continue;
            }
            let outbox = Outbox::whole(
                &self.table,
                |topic| self.passes(topic, to),
                |maker| self.passes_renewal(maker, to),
            );
            let path = Path {
                to: to.clone(),
                outbox,
            };
            self.boxes.insert(*line, path);
        }
    }

    /// Tells whether a fact goes to a place.
    fn passes(&self, topic: &Topic, to: &Place) -> bool {
        let maker = self.table.maker(topic);
        maker.is_some_and(|maker| self.goes(scope(topic), maker, to))
    }

    /// Tells whether a maker's renewals go to a place.
    fn passes_renewal(&self, maker: &Maker, to: &Place) -> bool {
        let scope = if maker.region {
            overlay::Scope::Abroad
        } else {
            overlay::Scope::Everywhere
        };
        self.goes(scope, maker, to)
    }

    fn goes(&self, scope: overlay::Scope, maker: &Maker, to: &Place) -> bool {
        let Some(source) = self.sources.get(maker) else {
            return false;
        };
        let (own, to) = (site(&self.place), site(to));
        let about = site(&source.about);
        let from = if source.direct { about } else { own };
        scope.admits(own, about, to) && overlay::passes(own, about, from, to)
    }

    /// Takes facts in that came on a link. Returns whether there was news.
    pub fn take(&mut self, line: Line, from: &Place, news: News, now: Instant) -> bool {
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

    /// Returns what fits into a number of bytes, by link.
    pub fn flush(&mut self, bytes: u64, now: Instant) -> Vec<(Line, News)> {
        let waiting = self.boxes.values().filter(|path| !path.outbox.is_empty());
        let share = bytes / (waiting.count().max(1) as u64);
        let mut out = Vec::new();
        for (line, path) in &mut self.boxes {
            let batch = path.outbox.take(&self.table, share, size, now);
            if !batch.items.is_empty() || !batch.renewals.is_empty() {
                let news = News {
                    items: batch.items,
                    renewals: batch.renewals,
                };
                out.push((*line, news));
            }
        }
        out
    }

    /// Returns how many facts wait to be sent, over all links.
    pub fn waiting(&self) -> usize {
        self.boxes.values().map(|path| path.outbox.len()).sum()
    }

    /// Returns the doors of other zones that are known.
    pub fn doors(&self, now: Instant) -> Vec<(Place, Vec<Peer>)> {
        let fresh = self.table.fresh(now);
        let doors = fresh.filter_map(|fresh| match (fresh.key, fresh.value) {
            (Topic::Doors(place), Fact::Doors(doors)) if *place != self.place => {
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
        for digest in self.table.fresh(now).filter_map(|fresh| read(&fresh)) {
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
        let table = &self.table;
        let (keys, _) = table.contents();
        let makers: IndexSet<&Maker> = keys.iter().filter_map(|key| table.maker(key)).collect();
        self.sources.retain(|maker, _| makers.contains(maker));
    }

    fn learn(&mut self, from: Option<(Line, &Place)>, item: Item, now: Instant) -> bool {
        let topic = item.key.clone();
        let maker = item.maker.clone();
        // While this instance leads its zone, nobody else speaks for it.
        let leading = self.speaker.voice() > Voice::None;
        if from.is_some() && *topic.place() == self.place && leading {
            return false;
        }
        if !self.table.take(item, now) {
            return false;
        }
        let line = from.map(|(line, _)| line);
        self.trace(from, &maker, topic.place());
        self.pass(
            line,
            |digests, to| digests.passes(&topic, to),
            |outbox| {
                outbox.push(topic.clone());
            },
        );
        true
    }

    /// Notes how a maker's word came. A speaker gets most of it twice, over the border and by its
    /// zone; while it has a link over the border that counts, or the ways would change all the time.
    fn trace(&mut self, from: Option<(Line, &Place)>, maker: &Maker, about: &Place) {
        let abroad = |place: &Place| place.region != self.place.region;
        let open = || {
            let mut paths = self.boxes.values();
            paths.any(|path| path.to.region == about.region && abroad(&path.to))
        };
        let known = self.sources.get(maker);
        let held = known.is_some_and(|known| known.direct) && open();
        let source = Source {
            about: about.clone(),
            direct: held || from.is_some_and(|(_, place)| abroad(place)),
        };
        let known = self.sources.insert(maker.clone(), source.clone());
        if known.is_some_and(|known| known != source) {
            self.pass_all(from.map(|(line, _)| line), maker);
        }
    }

    /// Passes a maker's facts on once more, since they now go other ways than before.
    fn pass_all(&mut self, from: Option<Line>, maker: &Maker) {
        let (keys, _) = self.table.contents();
        let made = |key: &Topic| self.table.maker(key) == Some(maker);
        for topic in keys.into_iter().filter(made).collect::<Vec<_>>() {
            self.pass(
                from,
                |digests, to| digests.passes(&topic, to),
                |outbox| {
                    outbox.push(topic.clone());
                },
            );
        }
    }

    fn vouch(
        &mut self,
        from: Option<(Line, &Place)>,
        renewal: &gossip::Renewal,
        now: Instant,
    ) -> bool {
        let maker = &renewal.maker;
        let Some(about) = self.sources.get(maker).map(|known| known.about.clone()) else {
            return false;
        };
        if !self.table.renew(renewal, now) {
            return false;
        }
        self.trace(from, maker, &about);
        let line = from.map(|(line, _)| line);
        self.pass(
            line,
            |digests, to| digests.passes_renewal(maker, to),
            |outbox| {
                outbox.renew(maker.clone());
            },
        );
        true
    }

    /// Puts something into the outboxes of the links where it goes, other than the one that it came
    /// on.
    fn pass(
        &mut self,
        from: Option<Line>,
        goes: impl Fn(&Self, &Place) -> bool,
        put: impl Fn(&mut Outbox<Topic, Maker>),
    ) {
        let open = self.boxes.iter().filter(|(line, _)| Some(**line) != from);
        let lines = open.filter(|(_, path)| goes(self, &path.to));
        for line in lines.map(|(line, _)| *line).collect::<Vec<_>>() {
            if let Some(path) = self.boxes.get_mut(&line) {
                put(&mut path.outbox);
            }
        }
    }
}

fn site(place: &Place) -> overlay::Site<'_> {
    overlay::Site {
        region: &place.region,
        group: &place.zone,
    }
}

/// Returns where facts of a topic matter.
const fn scope(topic: &Topic) -> overlay::Scope {
    match topic {
        Topic::Doors(_) => overlay::Scope::Everywhere,
        Topic::Capacity(..) => overlay::Scope::Region,
        Topic::Region(..) => overlay::Scope::Abroad,
    }
}

/// Reads a capacity.
fn read(fresh: &Fresh<'_, Topic, Maker, Fact>) -> Option<view::Digest> {
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

/// Estimates an item's bytes on the wire; the budget is charged with the real ones afterwards.
fn size(item: &Item) -> u64 {
    match &item.value {
        Some(Fact::Doors(doors)) => 60 + 180 * doors.len() as u64,
        Some(Fact::Capacity(_) | Fact::Region(..)) => 60,
        None => 40,
    }
}
