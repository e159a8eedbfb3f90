//! Decides on which links each fact is sent, and tracks what is pending.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::{Outbox, Table, overlay};
use zinniastall_model::place::Place;
use zinniastall_wire::gossip::{Delta, Fact, Item, Maker, Suspects, Topic};

use super::links::Handle;

/// Maximum bytes of facts sent on one link per turn; more than the longest fact needs.
const MAX_BATCH_BYTES: u64 = 2_000;

/// All facts that an instance holds.
pub type Facts = Table<Topic, Maker, Fact>;

/// Link on which something arrived, and the place at its other end; `None` if it was created here.
pub type Origin<'a> = Option<(Handle, &'a Place)>;

/// The other end of a link on which facts are forwarded.
#[derive(Debug)]
struct Peer {
    to: Place,
    outbox: Outbox<Topic, Maker>,
}

/// The zone that a maker's facts are about, and whether they arrive directly from another region
/// instead of through the own region.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Source {
    about: Place,
    cross_region: bool,
}

/// Links on which facts are forwarded, and what is pending on them.
#[derive(Debug)]
pub struct Forwarder {
    place: Place,
    peers: IndexMap<Handle, Peer>,
    /// Link whose next fact did not fit into the rest of the budget.
    deferred: Option<Handle>,
    /// Source of each maker's facts. Facts and renewals must take the same path. Otherwise a
    /// renewal could confirm a fact that has been replaced on another path.
    sources: IndexMap<Maker, Source>,
}

impl Forwarder {
    /// Creates the forwarder of an instance at a place, without links.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            peers: IndexMap::new(),
            deferred: None,
            sources: IndexMap::new(),
        }
    }

    /// Sets the links on which facts are forwarded, with the places of their other ends. A new link
    /// gets all facts that are forwarded to its place.
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

    /// Returns whether a fact is forwarded to a place.
    fn forwards_fact(&self, table: &Facts, topic: &Topic, to: &Place) -> bool {
        let maker = table.maker(topic);
        maker.is_some_and(|maker| self.forwards(scope(topic), maker, to))
    }

    /// Returns whether a maker's renewals are forwarded to a place.
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

    /// Returns whether a fact of a maker has arrived.
    pub fn knows_maker(&self, maker: &Maker) -> bool {
        self.sources.contains_key(maker)
    }

    /// Forwards a fact that has been applied to the table.
    pub fn forward_fact(&mut self, table: &Facts, from: Origin<'_>, topic: &Topic) {
        if let Some(maker) = table.maker(topic) {
            self.update_source(table, from, maker, topic.place());
            self.enqueue_fact(table, from, topic);
        }
    }

    /// Forwards a renewal that has been applied to the table.
    pub fn forward_renewal(&mut self, table: &Facts, from: Origin<'_>, maker: &Maker) {
        let known = self.sources.get(maker);
        let Some(about) = known.map(|known| known.about.clone()) else {
            return;
        };
        self.update_source(table, from, maker, &about);
        let filter = |forwarder: &Self, to: &Place| forwarder.forwards_renewal(maker, to);
        self.enqueue(from, filter, |outbox| outbox.renew(maker.clone()));
    }

    /// Returns the facts to send per link within a byte budget, and the bytes that they need.
    ///
    /// Links take turns. The first link whose next fact exceeds the rest of the budget goes first
    /// the next time, and until then no other link sends facts. If each link got an equal share,
    /// short facts on other links would use up every budget and a long fact would never be sent.
    pub fn flush(
        &mut self,
        table: &Facts,
        bytes: u64,
        now: Instant,
    ) -> (Vec<(Handle, Delta)>, u64) {
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
                    suspects: Suspects::default(),
                };
                out.push((*link, news));
            }
        }
        (out, bytes - left)
    }

    /// Returns the number of facts that are waiting to be sent, over all links.
    pub fn pending_count(&self) -> usize {
        self.peers.values().map(|peer| peer.outbox.len()).sum()
    }

    /// Removes makers that have no facts left in the table.
    pub fn sweep(&mut self, table: &Facts) {
        let (keys, _) = table.contents();
        let makers: IndexSet<&Maker> = keys.iter().filter_map(|key| table.maker(key)).collect();
        self.sources.retain(|maker, _| makers.contains(maker));
    }

    /// Records how a maker's facts arrived.
    ///
    /// A speaker receives most of them twice: directly from the other region and through its own
    /// region. The direct path is used while such a link is open, since the paths would otherwise
    /// change all the time.
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

    /// Forwards all facts of a maker again, because they now take another path.
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

    /// Adds something to the outboxes of all links that match the filter, except the link that it
    /// arrived on.
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

/// Returns where facts of a topic are needed.
const fn scope(topic: &Topic) -> overlay::Scope {
    match topic {
        Topic::Contacts(_) => overlay::Scope::Everywhere,
        Topic::Capacity(..) => overlay::Scope::Region,
        Topic::Region(..) => overlay::Scope::OtherRegions,
    }
}

/// Estimates the encoded size of an item. The budget is later charged with the actual size.
fn estimate_bytes(item: &Item) -> u64 {
    match &item.value {
        Some(Fact::Contacts(contacts)) => 60 + 180 * contacts.len() as u64,
        Some(Fact::Capacity(_) | Fact::Region(..)) => 60,
        None => 40,
    }
}
