//! Creates the facts that a speaker publishes for its zone and, in the first zone of a region, for
//! the region.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::Author;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::{self, Capacity, Fact, Item, Maker, Peer, Topic};

use super::capacity::{Totals, Zones, choose_zone, is_similar};

/// Maximum number of contact points that a zone publishes.
const MAX_CONTACTS: usize = 6;
/// Granularity of published instance loads, in thousandths.
const LOAD_STEP_PERMILLE: u32 = 250;
/// Granularity of published instance uptimes.
const UPTIME_STEP_MS: u64 = 5_000;
/// Intervals during which a published zone capacity is not updated, unless its last free slot is
/// taken or a first slot becomes free.
const ZONE_QUIET_INTERVALS: u32 = 2;
/// The same for a regional capacity. It is longer because the fact is sent to more instances.
const REGION_QUIET_INTERVALS: u32 = 5;

/// What an instance speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Nothing; the instance is no speaker.
    None,
    /// Its zone.
    Zone,
    /// Its zone and its region.
    Region,
}

/// State from which facts are created.
#[derive(Debug)]
pub struct Snapshot {
    /// Instances of the zone, its speakers first.
    pub contacts: Vec<Peer>,
    /// Capacity of the zone.
    pub own: Totals,
    /// Capacities of the region's other zones.
    pub others: Zones,
}

/// Facts and renewals to publish.
#[derive(Debug, Default, PartialEq)]
pub struct Update {
    /// New facts.
    pub items: Vec<Item>,
    /// Renewals of all earlier facts of the zone or region, once per interval.
    pub renewals: Vec<gossip::Renewal>,
}

/// Creates facts, rate-limited because each of them is sent to many instances.
#[derive(Debug)]
pub struct Speaker {
    place: Place,
    /// Authors of the zone's and the region's facts, in this order.
    authors: [Author<Topic, Maker, Fact>; 2],
    /// When each capacity was last published.
    last_sent: IndexMap<Topic, Instant>,
    scope: Scope,
    interval: Duration,
    last_renewal: Instant,
}

impl Speaker {
    /// Creates a speaker that speaks for nothing yet. It renews its facts once per interval.
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
            last_sent: IndexMap::new(),
            scope: Scope::None,
            interval,
            last_renewal: now,
        }
    }

    /// Returns what this instance speaks for.
    pub const fn scope(&self) -> Scope {
        self.scope
    }

    /// Returns the facts and renewals that are due.
    pub fn speak(&mut self, scope: Scope, snapshot: &Snapshot, now: Instant) -> Update {
        self.set_scope(scope);
        if scope == Scope::None {
            return Update::default();
        }
        let mut items = Vec::new();
        items.extend(self.contacts_item(&snapshot.contacts));
        let mut current = IndexSet::new();
        for (topic, fact) in self.current_facts(snapshot, now) {
            current.insert(topic.clone());
            if self.must_send(&topic, &fact, now) {
                self.last_sent.insert(topic.clone(), now);
                items.extend(self.make_item(topic, Some(fact)));
            }
        }
        items.extend(self.withdraw(&current));
        Update {
            items,
            renewals: self.due_renewals(now),
        }
    }

    /// Publishes all facts again when they are due next.
    ///
    /// While another instance spoke as well, tables kept whatever was younger. Its facts stay there
    /// although nobody renews them, and hide those of this instance.
    pub fn republish(&mut self) {
        self.authors.iter_mut().for_each(Author::hide);
    }

    /// Sets what this instance speaks for.
    ///
    /// An instance that takes over finds the facts of its predecessor in every table, so it must
    /// publish its own earlier facts again.
    fn set_scope(&mut self, scope: Scope) {
        let first = [Scope::Zone, Scope::Region];
        for (author, first) in self.authors.iter_mut().zip(first) {
            if scope >= first && self.scope < first {
                author.forget();
            }
        }
        self.scope = scope;
    }

    fn make_item(&mut self, topic: Topic, fact: Option<Fact>) -> Option<Item> {
        let [zone, region] = &mut self.authors;
        let author = match topic {
            Topic::Region(..) => region,
            _ => zone,
        };
        author.make(topic, fact)
    }

    fn last_fact(&self, topic: &Topic) -> Option<&Fact> {
        self.authors.iter().find_map(|author| author.value(topic))
    }

    fn contacts_item(&mut self, contacts: &[Peer]) -> Option<Item> {
        let contacts = contacts.iter().take(MAX_CONTACTS).map(quantize).collect();
        let topic = Topic::Contacts(self.place.clone());
        self.make_item(topic, Some(Fact::Contacts(contacts)))
    }

    fn current_facts(&self, snapshot: &Snapshot, now: Instant) -> Vec<(Topic, Fact)> {
        let zone = snapshot.own.iter().map(|((subject, role), capacity)| {
            let topic = Topic::Capacity(self.place.clone(), subject.clone(), role.clone());
            (topic, Fact::Capacity(*capacity))
        });
        let mut facts: Vec<(Topic, Fact)> = zone.collect();
        if self.scope == Scope::Region {
            facts.extend(self.region_facts(snapshot, now));
        }
        facts
    }

    /// Returns the region's capacity by subject and role: the name and capacity of the zone with
    /// the most free slots. Other regions send their requests directly to that zone, because a
    /// request is not forwarded again after it has arrived.
    fn region_facts(&self, snapshot: &Snapshot, now: Instant) -> Vec<(Topic, Fact)> {
        let mut zones = snapshot.others.clone();
        for (key, capacity) in &snapshot.own {
            let own = (self.place.zone.clone(), *capacity);
            zones.entry(key.clone()).or_default().push(own);
        }
        let fact = |((subject, role), zones)| {
            let topic = Topic::Region(self.place.clone(), subject, role);
            let advertised = match self.last_fact(&topic) {
                Some(Fact::Region(zone, _)) => Some(zone),
                _ => None,
            };
            let (zone, capacity) = choose_zone(advertised, !self.is_recent(&topic, now), zones)?;
            Some((topic, Fact::Region(zone, capacity)))
        };
        zones.into_iter().filter_map(fact).collect()
    }

    fn withdraw(&mut self, current: &IndexSet<Topic>) -> Vec<Item> {
        let gone =
            |topic: &&Topic| !matches!(topic, Topic::Contacts(_)) && !current.contains(*topic);
        let keys = self.authors.iter().flat_map(Author::keys);
        let gone: Vec<Topic> = keys.filter(gone).cloned().collect();
        let mut items = Vec::new();
        for topic in gone {
            self.last_sent.swap_remove(&topic);
            items.extend(self.make_item(topic, None));
        }
        items
    }

    fn due_renewals(&mut self, now: Instant) -> Vec<gossip::Renewal> {
        if now.saturating_duration_since(self.last_renewal) < self.interval {
            return Vec::new();
        }
        self.last_renewal = now;
        let count = if self.scope == Scope::Region { 2 } else { 1 };
        let authors = self.authors.iter().take(count);
        authors.map(Author::renewal).collect()
    }

    /// Returns whether a fact must be published. Routine changes are published if they are large
    /// enough and the last one is not recent. Changes that would misdirect requests are published
    /// at once: the last free slot is taken, a first slot becomes free, or another zone must be
    /// advertised.
    fn must_send(&self, topic: &Topic, fact: &Fact, now: Instant) -> bool {
        if self.authors.iter().any(|author| author.is_hidden(topic)) {
            return true;
        }
        let last = self.last_fact(topic);
        let (Some((advertised, before)), Some((chosen, after))) =
            (last.and_then(read_capacity), read_capacity(fact))
        else {
            return true;
        };
        let is_urgent = advertised != chosen || (before.free == 0) != (after.free == 0);
        is_urgent || (!is_similar(before, after) && !self.is_recent(topic, now))
    }

    fn is_recent(&self, topic: &Topic, now: Instant) -> bool {
        let quiet_intervals = match topic {
            Topic::Region(..) => REGION_QUIET_INTERVALS,
            _ => ZONE_QUIET_INTERVALS,
        };
        let sent = self.last_sent.get(topic);
        sent.is_some_and(|sent| *sent + self.interval * quiet_intervals > now)
    }
}

/// Returns the capacity in a fact and the zone that it advertises, if any.
const fn read_capacity(fact: &Fact) -> Option<(Option<&id::Zone>, &Capacity)> {
    match fact {
        Fact::Contacts(_) => None,
        Fact::Capacity(capacity) => Some((None, capacity)),
        Fact::Region(zone, capacity) => Some((Some(zone), capacity)),
    }
}

/// Rounds values that change all the time, so that contact points are rarely published again.
fn quantize(peer: &Peer) -> Peer {
    Peer {
        load: peer.load / LOAD_STEP_PERMILLE * LOAD_STEP_PERMILLE,
        up_ms: if peer.up_ms >= UPTIME_STEP_MS * 2 {
            gossip::MAX_UP_MS
        } else {
            peer.up_ms / UPTIME_STEP_MS * UPTIME_STEP_MS
        },
        ..peer.clone()
    }
}
