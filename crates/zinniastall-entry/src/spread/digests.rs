//! What zones say of themselves: made here when this instance speaks for its zone, passed on, read.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::{Author, Outbox, Table, overlay};
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::{self, Capacity, Fact, Item, News, Peer, Topic};

use super::{
    capacity::{near, sum},
    lines::Line,
};
use crate::view;

/// Most instances by which a zone says it is reached.
const DOORS: usize = 6;
/// Steps in which a zone tells the load of its instances, in thousandths.
const LOAD_STEP: u32 = 250;
/// Steps in which a zone tells how long its instances have been up, in milliseconds.
const UP_STEP: u64 = 5_000;

/// Intervals that a capacity stays as told, unless its last free slot goes or its first comes.
const QUIET: u32 = 2;

/// A link on which facts are passed on.
#[derive(Debug)]
struct Path {
    to: Place,
    outbox: Outbox<Topic, id::Instance>,
}

/// Facts about zones.
#[derive(Debug)]
pub struct Digests {
    place: Place,
    author: Author<Topic, id::Instance, Fact>,
    table: Table<Topic, id::Instance, Fact>,
    boxes: IndexMap<Line, Path>,
    /// Where each topic last came from.
    origins: IndexMap<Topic, Place>,
    /// The doors of each maker's zone; its renewals go where they go.
    zones: IndexMap<id::Instance, Topic>,
    /// When each capacity was told last.
    told: IndexMap<Topic, Instant>,
    leading: bool,
    interval: Duration,
    renewed: Instant,
}

impl Digests {
    /// Creates an empty collection; a leader vouches for its zone's facts once an interval.
    pub fn new(
        own: id::Instance,
        incarnation: id::Incarnation,
        place: Place,
        interval: Duration,
        now: Instant,
    ) -> Self {
        Self {
            place,
            author: Author::new(own, incarnation),
            table: Table::new(interval * 5),
            boxes: IndexMap::new(),
            origins: IndexMap::new(),
            zones: IndexMap::new(),
            told: IndexMap::new(),
            leading: false,
            interval,
            renewed: now,
        }
    }

    /// Says what there is to say of the own zone, if this instance leads it.
    pub fn speak(
        &mut self,
        leading: bool,
        zone: Vec<Peer>,
        targets: &IndexMap<id::Target, view::Target>,
        now: Instant,
    ) {
        if leading && !self.leading {
            self.author.forget();
        }
        self.leading = leading;
        if !leading {
            return;
        }
        self.speak_doors(zone, now);
        self.speak_capacity(targets, now);
        if now.saturating_duration_since(self.renewed) >= self.interval {
            self.renewed = now;
            let renewal = self.author.renewal();
            self.vouch(None, &renewal, now);
        }
    }

    fn speak_doors(&mut self, zone: Vec<Peer>, now: Instant) {
        let doors = zone.into_iter().take(DOORS).map(coarse).collect();
        let topic = Topic::Doors(self.place.clone());
        self.say(topic, Some(Fact::Doors(doors)), now);
    }

    fn speak_capacity(&mut self, targets: &IndexMap<id::Target, view::Target>, now: Instant) {
        let mut said = IndexSet::new();
        for ((subject, role), capacity) in sum(targets) {
            let topic = Topic::Capacity(self.place.clone(), subject, role);
            said.insert(topic.clone());
            if self.worth(&topic, &capacity, now) {
                self.told.insert(topic.clone(), now);
                self.say(topic, Some(Fact::Capacity(capacity)), now);
            }
        }
        let capacity = |topic: &&Topic| matches!(topic, Topic::Capacity(..));
        let gone = |topic: &&Topic| !said.contains(*topic);
        let made = self.author.keys().filter(capacity);
        for topic in made.filter(gone).cloned().collect::<Vec<_>>() {
            self.told.swap_remove(&topic);
            self.say(topic, None, now);
        }
    }

    /// Tells whether a capacity is to be told: it differs enough from what was told last, and that
    /// is not just now. Whether anything is free at all is told at once.
    fn worth(&self, topic: &Topic, capacity: &Capacity, now: Instant) -> bool {
        let Some(Fact::Capacity(told)) = self.author.value(topic) else {
            return true;
        };
        let since = self.told.get(topic);
        let young = since.is_some_and(|told| *told + self.interval * QUIET > now);
        let turned = (told.free == 0) != (capacity.free == 0);
        !near(told, capacity) && (turned || !young)
    }

    fn say(&mut self, topic: Topic, fact: Option<Fact>, now: Instant) {
        if let Some(item) = self.author.make(topic, fact) {
            self.learn(None, item, now);
        }
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
                |maker| {
                    self.zones
                        .get(maker)
                        .is_some_and(|topic| self.passes(topic, to))
                },
            );
            let path = Path {
                to: to.clone(),
                outbox,
            };
            self.boxes.insert(*line, path);
        }
    }

    /// Tells whether facts of a topic go to a place.
    fn passes(&self, topic: &Topic, to: &Place) -> bool {
        let from = self.origins.get(topic).unwrap_or(&self.place);
        let about = topic.place();
        overlay::passes(site(&self.place), site(about), site(from), site(to))
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
            any |= self.vouch(Some(line), renewal, now);
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

    /// Returns the capacities of other zones that are known.
    pub fn capacities(&self, now: Instant) -> Vec<view::Digest> {
        let fresh = self.table.fresh(now);
        let digests = fresh.filter_map(|fresh| {
            let (Topic::Capacity(place, subject, role), Fact::Capacity(capacity)) =
                (fresh.key, fresh.value)
            else {
                return None;
            };
            let (maker, incarnation, sequence) = fresh.maker;
            let report = gossip::Digest {
                place: place.clone(),
                subject: subject.clone(),
                role: role.clone(),
                slots: capacity.slots,
                free: capacity.free,
                wait_ms: capacity.wait_ms,
                price: capacity.price,
                maker: (maker.clone(), incarnation, sequence),
                age_ms: 0,
            };
            (*place != self.place).then_some(view::Digest {
                report,
                made: fresh.made,
            })
        });
        digests.collect()
    }

    /// Drops what has been unknown for long.
    pub fn sweep(&mut self, now: Instant) {
        self.table.sweep(now);
        let table = &self.table;
        self.origins.retain(|topic, _| table.maker(topic).is_some());
        self.zones
            .retain(|maker, doors| table.maker(doors) == Some(maker));
    }

    fn learn(&mut self, from: Option<(Line, &Place)>, item: Item, now: Instant) -> bool {
        let topic = item.key.clone();
        let maker = item.maker.clone();
        // While this instance leads its zone, nobody else speaks for it.
        if from.is_some() && *topic.place() == self.place && self.leading {
            return false;
        }
        if !self.table.take(item, now) {
            return false;
        }
        let place = from.map_or(&self.place, |(_, place)| place);
        self.origins.insert(topic.clone(), place.clone());
        let doors = Topic::Doors(topic.place().clone());
        self.zones.insert(maker, doors);
        let line = from.map(|(line, _)| line);
        self.pass(line, &topic, |outbox| outbox.push(topic.clone()));
        true
    }

    fn vouch(&mut self, from: Option<Line>, renewal: &gossip::Renewal, now: Instant) -> bool {
        let Some(topic) = self.zones.get(&renewal.maker).cloned() else {
            return false;
        };
        if !self.table.renew(renewal, now) {
            return false;
        }
        self.pass(from, &topic, |outbox| outbox.renew(renewal.maker.clone()));
        true
    }

    /// Puts something about a topic into the outboxes of the links where it goes, other than the
    /// one that it came on.
    fn pass(
        &mut self,
        from: Option<Line>,
        topic: &Topic,
        put: impl Fn(&mut Outbox<Topic, id::Instance>),
    ) {
        let goes = |line: &Line, path: &Path| Some(*line) != from && self.passes(topic, &path.to);
        let lines: Vec<Line> = self
            .boxes
            .iter()
            .filter(|(line, path)| goes(line, path))
            .map(|(line, _)| *line)
            .collect();
        for line in lines {
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

/// Rounds what changes all the time, so that a zone's doors are told anew seldom.
fn coarse(peer: Peer) -> Peer {
    Peer {
        load: peer.load / LOAD_STEP * LOAD_STEP,
        up_ms: if peer.up_ms >= UP_STEP * 2 {
            gossip::UP
        } else {
            peer.up_ms / UP_STEP * UP_STEP
        },
        ..peer
    }
}

/// Estimates an item's bytes on the wire; the budget is charged with the real ones afterwards.
fn size(item: &Item) -> u64 {
    match &item.value {
        Some(Fact::Doors(doors)) => 60 + 180 * doors.len() as u64,
        Some(Fact::Capacity(_)) => 60,
        None => 40,
    }
}
