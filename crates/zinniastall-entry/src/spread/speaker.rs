//! Makes what an instance says for its zone and, in the first zone of a region, for the region.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::Author;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::{self, Capacity, Fact, Item, Maker, Peer, Topic};

use super::capacity::{Sums, Zones, best, near};

/// Most instances by which a zone says it is reached.
const DOORS: usize = 6;
/// Steps in which a zone tells the load of its instances, in thousandths.
const LOAD_STEP: u32 = 250;
/// Steps in which a zone tells how long its instances have been up, in milliseconds.
const UP_STEP: u64 = 5_000;
/// Intervals that a zone's capacity stays as told, unless its last free slot goes or its first
/// comes.
const QUIET: u32 = 2;
/// The same for a region's: the further a fact goes, the more pay for it.
const QUIET_ABROAD: u32 = 5;

/// For whom an instance speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Voice {
    /// For nobody.
    None,
    /// For its zone.
    Zone,
    /// For its zone and its region.
    Region,
}

/// What an instance knows to speak of.
#[derive(Debug)]
pub struct Knowledge {
    /// The zone's instances, its speakers first.
    pub doors: Vec<Peer>,
    /// The zone's capacity.
    pub own: Sums,
    /// Capacities of the region's other zones.
    pub others: Zones,
}

/// What is said at one time.
#[derive(Debug, Default, PartialEq)]
pub struct Word {
    /// Facts that are new.
    pub items: Vec<Item>,
    /// That the zone's or region's facts so far hold, once an interval.
    pub renewals: Vec<gossip::Renewal>,
}

/// Makes facts, seldom enough for those who pay for them.
#[derive(Debug)]
pub struct Speaker {
    place: Place,
    /// Makes the zone's facts, and the region's.
    authors: [Author<Topic, Maker, Fact>; 2],
    /// When each capacity was told last.
    told: IndexMap<Topic, Instant>,
    voice: Voice,
    interval: Duration,
    renewed: Instant,
}

impl Speaker {
    /// Creates a speaker that is silent; it vouches for its facts once an interval.
    pub fn new(
        own: &id::Instance,
        incarnation: id::Incarnation,
        place: Place,
        interval: Duration,
        now: Instant,
    ) -> Self {
        let author = |region| {
            let instance = own.clone();
            Author::new(Maker { instance, region }, incarnation)
        };
        Self {
            place,
            authors: [author(false), author(true)],
            told: IndexMap::new(),
            voice: Voice::None,
            interval,
            renewed: now,
        }
    }

    /// Returns for whom this instance speaks.
    pub const fn voice(&self) -> Voice {
        self.voice
    }

    /// Says what there is to say.
    pub fn speak(&mut self, voice: Voice, knowledge: &Knowledge, now: Instant) -> Word {
        self.raise(voice);
        if voice == Voice::None {
            return Word::default();
        }
        let mut items = Vec::new();
        items.extend(self.doors(&knowledge.doors));
        let mut said = IndexSet::new();
        for (topic, fact) in self.facts(knowledge, now) {
            said.insert(topic.clone());
            if self.worth(&topic, &fact, now) {
                self.told.insert(topic.clone(), now);
                items.extend(self.make(topic, Some(fact)));
            }
        }
        items.extend(self.withdraw(&said));
        Word {
            items,
            renewals: self.renew(now),
        }
    }

    /// Starts or stops speaking. Whoever takes over finds the other's facts in every table, so that
    /// its own old ones have to be made anew.
    fn raise(&mut self, voice: Voice) {
        let first = [Voice::Zone, Voice::Region];
        for (author, first) in self.authors.iter_mut().zip(first) {
            if voice >= first && self.voice < first {
                author.forget();
            }
        }
        self.voice = voice;
    }

    fn make(&mut self, topic: Topic, fact: Option<Fact>) -> Option<Item> {
        let [zone, region] = &mut self.authors;
        let author = match topic {
            Topic::Region(..) => region,
            _ => zone,
        };
        author.make(topic, fact)
    }

    fn told(&self, topic: &Topic) -> Option<&Fact> {
        self.authors.iter().find_map(|author| author.value(topic))
    }

    fn doors(&mut self, doors: &[Peer]) -> Option<Item> {
        let doors = doors.iter().take(DOORS).map(coarse).collect();
        let topic = Topic::Contacts(self.place.clone());
        self.make(topic, Some(Fact::Contacts(doors)))
    }

    fn facts(&self, knowledge: &Knowledge, now: Instant) -> Vec<(Topic, Fact)> {
        let zone = knowledge.own.iter().map(|((subject, role), capacity)| {
            let topic = Topic::Capacity(self.place.clone(), subject.clone(), role.clone());
            (topic, Fact::Capacity(*capacity))
        });
        let mut facts: Vec<(Topic, Fact)> = zone.collect();
        if self.voice == Voice::Region {
            facts.extend(self.region(knowledge, now));
        }
        facts
    }

    /// Returns what the region has, by subject and role: the zone that has most, by name. Whoever
    /// is abroad sends its requests there, since no request goes on from where it arrived.
    fn region(&self, knowledge: &Knowledge, now: Instant) -> Vec<(Topic, Fact)> {
        let mut zones = knowledge.others.clone();
        for (key, capacity) in &knowledge.own {
            let own = (self.place.zone.clone(), *capacity);
            zones.entry(key.clone()).or_default().push(own);
        }
        let fact = |((subject, role), zones)| {
            let topic = Topic::Region(self.place.clone(), subject, role);
            let named = match self.told(&topic) {
                Some(Fact::Region(zone, _)) => Some(zone),
                _ => None,
            };
            let (zone, capacity) = best(named, !self.young(&topic, now), zones)?;
            Some((topic, Fact::Region(zone, capacity)))
        };
        zones.into_iter().filter_map(fact).collect()
    }

    fn withdraw(&mut self, said: &IndexSet<Topic>) -> Vec<Item> {
        let gone = |topic: &&Topic| !matches!(topic, Topic::Contacts(_)) && !said.contains(*topic);
        let keys = self.authors.iter().flat_map(Author::keys);
        let gone: Vec<Topic> = keys.filter(gone).cloned().collect();
        let mut items = Vec::new();
        for topic in gone {
            self.told.swap_remove(&topic);
            items.extend(self.make(topic, None));
        }
        items
    }

    fn renew(&mut self, now: Instant) -> Vec<gossip::Renewal> {
        if now.saturating_duration_since(self.renewed) < self.interval {
            return Vec::new();
        }
        self.renewed = now;
        let spoken = if self.voice == Voice::Region { 2 } else { 1 };
        let authors = self.authors.iter().take(spoken);
        authors.map(Author::renewal).collect()
    }

    /// Tells whether a fact is to be told: it differs enough from what was told last, and that is
    /// not just now. What would lead requests astray is told at once: that the last free slot has
    /// gone or the first has come, and that another zone has to be named.
    fn worth(&self, topic: &Topic, fact: &Fact, now: Instant) -> bool {
        let told = self.told(topic);
        let (Some((named, before)), Some((best, after))) =
            (told.and_then(capacity), capacity(fact))
        else {
            return true;
        };
        let turned = named != best || (before.free == 0) != (after.free == 0);
        turned || (!near(before, after) && !self.young(topic, now))
    }

    fn young(&self, topic: &Topic, now: Instant) -> bool {
        let quiet = match topic {
            Topic::Region(..) => QUIET_ABROAD,
            _ => QUIET,
        };
        let told = self.told.get(topic);
        told.is_some_and(|told| *told + self.interval * quiet > now)
    }
}

/// Returns which zone a fact names, if any, and the capacity that it tells.
const fn capacity(fact: &Fact) -> Option<(Option<&id::Zone>, &Capacity)> {
    match fact {
        Fact::Contacts(_) => None,
        Fact::Capacity(capacity) => Some((None, capacity)),
        Fact::Region(zone, capacity) => Some((Some(zone), capacity)),
    }
}

/// Rounds what changes all the time, so that a zone's doors are told anew seldom.
fn coarse(peer: &Peer) -> Peer {
    Peer {
        load: peer.load / LOAD_STEP * LOAD_STEP,
        up_ms: if peer.up_ms >= UP_STEP * 2 {
            gossip::MAX_UP_MS
        } else {
            peer.up_ms / UP_STEP * UP_STEP
        },
        ..peer.clone()
    }
}
