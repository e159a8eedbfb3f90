//! Digest dissemination: whether this instance is a speaker, which links it forwards facts on, and
//! which peers it dials.

use std::{sync::Arc, time::Instant};

use actix::{AsyncContext, Context};
use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::overlay;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::{
    gossip::{self, Peer},
    hello::Purpose,
};

use super::{actor::Spread, links::Handle, messages::Dialed, speaker::Scope};
use crate::publish::Digests;

impl Spread {
    /// Creates facts if this instance is the zone's speaker, then forwards and publishes all known
    /// facts.
    pub(super) fn publish_digests(&mut self, now: Instant) {
        let zone = self.zone_members();
        let scope = match self.speaker_rank(&zone) {
            Some(0) if self.topology.is_first() => Scope::Region,
            Some(0) => Scope::Zone,
            _ => Scope::None,
        };
        let mut targets = self.targets.serving(now);
        self.fill_limited(&mut targets, now);
        let speakers = zone.into_values().collect();
        self.digests.speak(scope, speakers, &targets, now);
        let forwarding_links = self.forwarding_links(now);
        self.digests.set_links(&forwarding_links);
        self.forward_facts(now);
        let digests = Arc::new(self.digests.capacities(now));
        self.dependencies.publisher.do_send(Digests(digests));
    }

    /// Forwards pending facts as far as the byte budget allows.
    pub(super) fn forward_facts(&mut self, now: Instant) {
        self.forward_pending = false;
        let bytes = self
            .bucket
            .available(now)
            .saturating_sub(self.reserved_bytes);
        let (news, used) = self.digests.flush(bytes, now);
        self.reserved_bytes += used;
        for (link, news) in news {
            self.links.send(link, gossip::Message::Delta(news));
        }
    }

    /// Dials wanted peers that are not linked, and closes unwanted links.
    pub(super) fn dial(&mut self, context: &Context<Self>, now: Instant) {
        let rank = self.speaker_rank(&self.zone_members());
        let wanted = rank.map_or_else(Vec::new, |rank| self.topology.wanted(rank, now));
        let remote: IndexSet<id::Instance> =
            wanted.iter().map(|peer| peer.instance.clone()).collect();
        for peer in wanted {
            self.address_book.report(peer, now);
        }
        let own = self.dependencies.identity.place().clone();
        let wanted = |peer: &str, place: &Place| *place == own || remote.contains(peer);
        self.links.close_unwanted(wanted, now);
        let open = &self.links;
        let missing =
            |peer: &Peer| wanted(&peer.instance, &peer.place) && open.get(&peer.instance).is_none();
        let mut due = self.address_book.due(missing, now);
        // Speakers look for other zones; all other instances look only for their own zone.
        let alone = !open.peers().iter().any(|(_, _, place)| *place == own);
        if rank.is_some() || alone {
            let topology = &self.topology;
            due.extend(
                self.address_book
                    .due_seeds(|place| topology.is_fresh(place), now),
            );
        }
        for address in due {
            self.spawn_dial(address, context);
        }
    }

    fn spawn_dial(&self, address: String, context: &Context<Self>) {
        let (identity, spread) = (self.dependencies.identity.clone(), context.address());
        actix::spawn(async move {
            let result = identity.dial(&address, Purpose::Gossip).await;
            spread.do_send(Dialed { address, result });
        });
    }

    /// Returns the instances of the zone that accept requests, sorted by name.
    fn zone_members(&self) -> IndexMap<id::Instance, Peer> {
        let place = self.dependencies.identity.place();
        let serves = |peer: &&Peer| peer.place == *place && !peer.draining;
        let peers = self.published_peers.values().filter(serves);
        let mut zone: IndexMap<_, _> = peers
            .map(|peer| (peer.instance.clone(), peer.clone()))
            .collect();
        zone.sort_unstable_keys();
        zone
    }

    fn speaker_rank(&self, zone: &IndexMap<id::Instance, Peer>) -> Option<usize> {
        let members: Vec<&str> = zone.keys().map(String::as_str).collect();
        overlay::speaker_rank(&self.dependencies.identity.instance(), &members)
    }

    /// Returns the links on which facts are forwarded: those to two peers of the zone, and all
    /// links to other zones.
    ///
    /// A peer that doesn't receive from this instance is excluded, because it can't be asked for
    /// what it offers.
    fn forwarding_links(&self, now: Instant) -> IndexMap<Handle, Place> {
        let identity = &self.dependencies.identity;
        let peers = self.links.peers();
        let mut members = vec![identity.instance().to_owned()];
        let alive = |peer: &id::Instance| self.roster.is_alive(peer, now);
        let near = |place: &Place| place == identity.place();
        for (_, peer, place) in &peers {
            if near(place) && alive(peer) {
                members.push(peer.clone());
            }
        }
        members.sort_unstable();
        let own = identity.instance().to_owned();
        let next = overlay::successors(&own, &members);
        let forwards = |peer: &id::Instance, place: &Place| {
            alive(peer) && (!near(place) || next.contains(&peer))
        };
        peers
            .iter()
            .filter(|(_, peer, place)| forwards(peer, place))
            .map(|(link, _, place)| (*link, place.clone()))
            .collect()
    }
}
