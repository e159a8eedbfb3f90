//! Which facts go out on which links.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::{Outbox, Table, overlay};
use zinniastall_model::place::Place;
use zinniastall_wire::gossip::{Delta, Fact, Item, Maker, Topic};

use super::links::Handle;

/// Most bytes of facts on one link in a turn; more than the longest fact has.
const MAX_BATCH_BYTES: u64 = 2_000;

/// All facts that are held.
pub type Facts = Table<Topic, Maker, Fact>;

/// Link and place that something came from; `None` when it was made here.
pub type Origin<'a> = Option<(Handle, &'a Place)>;

/// A link on which facts are passed on.
#[derive(Debug)]
struct Peer {
    to: Place,
    outbox: Outbox<Topic, Maker>,
}

/// Where a maker is, and whether its facts come over a border between regions, and not by the own
/// region.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Source {
    about: Place,
    cross_region: bool,
}

/// Links on which facts are passed on, and what they still have to carry.
#[derive(Debug)]
pub struct Forwarder {
    place: Place,
    peers: IndexMap<Handle, Peer>,
    /// Link whose next fact did not fit into what was left of the budget.
    deferred: Option<Handle>,
    /// Where each maker is and how its word comes: its facts and renewals go the same ways, or a
    /// renewal would vouch for a fact that has been replaced on another way.
    sources: IndexMap<Maker, Source>,
}

impl Forwarder {
    /// Creates the ways of an instance at a place; no link is open yet.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            peers: IndexMap::new(),
            deferred: None,
            sources: IndexMap::new(),
        }
    }

    /// Sets the links on which facts are passed on, with the places of their other ends; one that is
    /// new gets all facts that go there.
    pub fn set_links(&mut self, table: &Facts, links: &IndexMap<Handle, Place>) {
        self.peers.retain(|link, _| links.contains_key(link));
        for (link, to) in links {
            if self.peers.contains_key(link) {
                continue;
            }
            let outbox = Outbox::from_table(
                table,
                |topic| self.forwards_fact(table, topic, to),
                |maker| self.forwards_renewal(maker, to),
            );
            let peer = Peer {
                to: to.clone(),
                outbox,
            };
            self.peers.insert(*link, peer);
        }
    }

    /// Tells whether a fact goes to a place.
    fn forwards_fact(&self, table: &Facts, topic: &Topic, to: &Place) -> bool {
        let maker = table.maker(topic);
        maker.is_some_and(|maker| self.forwards(scope(topic), maker, to))
    }

    /// Tells whether a maker's renewals go to a place.
    fn forwards_renewal(&self, maker: &Maker, to: &Place) -> bool {
        let scope = if maker.region {
            overlay::Scope::OtherRegions
        } else {
            overlay::Scope::Everywhere
        };
        self.forwards(scope, maker, to)
    }

    fn forwards(&self, scope: overlay::Scope, maker: &Maker, to: &Place) -> bool {
        let Some(source) = self.sources.get(maker) else {
            return false;
        };
        let (own, to) = (site(&self.place), site(to));
        let about = site(&source.about);
        let from = if source.cross_region { about } else { own };
        scope.admits(own, about, to) && overlay::forwards(own, about, from, to)
    }

    /// Tells whether a fact of a maker has come.
    pub fn knows_maker(&self, maker: &Maker) -> bool {
        self.sources.contains_key(maker)
    }

    /// Passes on a fact that the table has taken in.
    pub fn forward_fact(&mut self, table: &Facts, from: Origin<'_>, topic: &Topic) {
        if let Some(maker) = table.maker(topic) {
            self.update_source(table, from, maker, topic.place());
            self.enqueue_fact(table, from, topic);
        }
    }

    /// Passes on a renewal that the table has taken in.
    pub fn forward_renewal(&mut self, table: &Facts, from: Origin<'_>, maker: &Maker) {
        let known = self.sources.get(maker);
        let Some(about) = known.map(|known| known.about.clone()) else {
            return;
        };
        self.update_source(table, from, maker, &about);
        let filter = |forwarder: &Self, to: &Place| forwarder.forwards_renewal(maker, to);
        self.enqueue(from, filter, |outbox| outbox.renew(maker.clone()));
    }

    /// Returns what fits into a number of bytes, by link, and the bytes that it takes.
    ///
    /// Links take turns. The first one whose next fact is longer than what is left of the budget comes
    /// first the next time, and until then no other gets more: with an equal share for each link, short facts
    /// on the others would use up every budget, and a long one would never go out.
    pub fn flush(&mut self, table: &Facts, bytes: u64, now: Instant) -> (Vec<(Handle, Delta)>, u64) {
        let first = self.deferred.take();
        let first = first.and_then(|link| self.peers.get_index_of(&link));
        let count = self.peers.len();
        let mut left = bytes;
        let mut out = Vec::new();
        for turn in 0..count {
            let index = (first.unwrap_or(0) + turn) % count;
            let Some((link, peer)) = self.peers.get_index_mut(index) else {
                continue;
            };
            let share = if self.deferred.is_some() {
                0
            } else {
                left.min(MAX_BATCH_BYTES)
            };
            let batch = peer.outbox.take(table, share, estimate_bytes, now);
            left -= batch.items.iter().map(estimate_bytes).sum::<u64>();
            if self.deferred.is_none() && batch.items.is_empty() && !peer.outbox.is_empty() {
                self.deferred = Some(*link);
            }
            if !batch.items.is_empty() || !batch.renewals.is_empty() {
                let news = Delta {
                    items: batch.items,
                    renewals: batch.renewals,
                };
                out.push((*link, news));
            }
        }
        (out, bytes - left)
    }

    /// Returns how many facts wait to be sent, over all links.
    pub fn pending_count(&self) -> usize {
        self.peers.values().map(|peer| peer.outbox.len()).sum()
    }

    /// Forgets the makers of whom nothing is held any more.
    pub fn sweep(&mut self, table: &Facts) {
        let (keys, _) = table.contents();
        let makers: IndexSet<&Maker> = keys.iter().filter_map(|key| table.maker(key)).collect();
        self.sources.retain(|maker, _| makers.contains(maker));
    }

    /// Notes how a maker's word came. A speaker gets most of it twice, over the border and by its
    /// zone; while it has a link over the border that counts, or the ways would change all the time.
    fn update_source(&mut self, table: &Facts, from: Origin<'_>, maker: &Maker, about: &Place) {
        let is_other_region = |place: &Place| place.region != self.place.region;
        let open = || {
            let mut peers = self.peers.values();
            peers.any(|peer| peer.to.region == about.region && is_other_region(&peer.to))
        };
        let known = self.sources.get(maker);
        let keeps_cross_region = known.is_some_and(|known| known.cross_region) && open();
        let source = Source {
            about: about.clone(),
            cross_region: keeps_cross_region
                || from.is_some_and(|(_, place)| is_other_region(place)),
        };
        let known = self.sources.insert(maker.clone(), source.clone());
        if known.is_some_and(|known| known != source) {
            self.forward_all(table, from, maker);
        }
    }

    /// Passes a maker's facts on once more, since they now go other ways than before.
    fn forward_all(&mut self, table: &Facts, from: Origin<'_>, maker: &Maker) {
        let (keys, _) = table.contents();
        for topic in keys {
            if table.maker(&topic) == Some(maker) {
                self.enqueue_fact(table, from, &topic);
            }
        }
    }

    fn enqueue_fact(&mut self, table: &Facts, from: Origin<'_>, topic: &Topic) {
        let filter = |forwarder: &Self, to: &Place| forwarder.forwards_fact(table, topic, to);
        self.enqueue(from, filter, |outbox| outbox.push(topic.clone()));
    }

    /// Puts something into the outboxes of the links where it goes, other than the one that it came
    /// on.
    fn enqueue(
        &mut self,
        from: Origin<'_>,
        filter: impl Fn(&Self, &Place) -> bool,
        put: impl Fn(&mut Outbox<Topic, Maker>),
    ) {
        let from = from.map(|(link, _)| link);
        let open = self.peers.iter().filter(|(link, _)| Some(**link) != from);
        let links = open.filter(|(_, peer)| filter(self, &peer.to));
        for link in links.map(|(link, _)| *link).collect::<Vec<_>>() {
            if let Some(peer) = self.peers.get_mut(&link) {
                put(&mut peer.outbox);
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
        Topic::Contacts(_) => overlay::Scope::Everywhere,
        Topic::Capacity(..) => overlay::Scope::Region,
        Topic::Region(..) => overlay::Scope::OtherRegions,
    }
}

/// Estimates an item's bytes on the wire; the budget is charged with the real ones afterwards.
fn estimate_bytes(item: &Item) -> u64 {
    match &item.value {
        Some(Fact::Contacts(doors)) => 60 + 180 * doors.len() as u64,
        Some(Fact::Capacity(_) | Fact::Region(..)) => 60,
        None => 40,
    }
}
