//! What zones say of themselves: made here when this instance speaks for its zone, passed on, read.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::{Author, Outbox, Table};
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

/// Facts about zones.
#[derive(Debug)]
pub struct Digests {
    place: Place,
    author: Author<Topic, id::Instance, Fact>,
    table: Table<Topic, id::Instance, Fact>,
    boxes: IndexMap<Line, Outbox<Topic, id::Instance>>,
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

    /// Sets the links on which facts are passed on; one that is new gets all facts.
    pub fn paths(&mut self, lines: &IndexSet<Line>) {
        self.boxes.retain(|line, _| lines.contains(line));
        for line in lines {
            let whole = || Outbox::whole(&self.table);
            self.boxes.entry(*line).or_insert_with(whole);
        }
    }

    /// Takes facts in that came on a link. Returns whether there was news.
    pub fn take(&mut self, from: Line, news: News, now: Instant) -> bool {
        let mut any = false;
        for item in news.items {
            any |= self.learn(Some(from), item, now);
        }
        for renewal in &news.renewals {
            any |= self.vouch(Some(from), renewal, now);
        }
        any
    }

    /// Returns what fits into a number of bytes, by link.
    pub fn flush(&mut self, bytes: u64, now: Instant) -> Vec<(Line, News)> {
        let waiting = self.boxes.values().filter(|outbox| !outbox.is_empty());
        let share = bytes / (waiting.count().max(1) as u64);
        let mut out = Vec::new();
        for (line, outbox) in &mut self.boxes {
            let batch = outbox.take(&self.table, share, size, now);
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
        self.boxes.values().map(Outbox::len).sum()
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
    }

    fn learn(&mut self, from: Option<Line>, item: Item, now: Instant) -> bool {
        let topic = item.key.clone();
        // Only this zone's own instances speak for it; its facts don't come back from outside.
        if from.is_some() && *topic.place() == self.place && self.leading {
            return false;
        }
        if !self.table.take(item, now) {
            return false;
        }
        for (line, outbox) in &mut self.boxes {
            if Some(*line) != from {
                outbox.push(topic.clone());
            }
        }
        true
    }

    fn vouch(&mut self, from: Option<Line>, renewal: &gossip::Renewal, now: Instant) -> bool {
        if !self.table.renew(renewal, now) {
            return false;
        }
        for (line, outbox) in &mut self.boxes {
            if Some(*line) != from {
                outbox.renew(renewal.maker.clone());
            }
        }
        true
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
