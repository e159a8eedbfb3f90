//! Membership: what peers say about themselves, and which of them are published as alive.

use std::{sync::Arc, time::Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::membership::Heard;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::{
    gossip::{self, Heartbeat, Peer},
    hello::Hello,
};

use super::{actor::Spread, links::Handle, settings::CROSS_REGION_PERIODS};
use crate::{
    publish::{Peers, Raised},
    targets::table::millis,
};

/// Maximum number of times that this process raises its incarnation. Two processes with the same
/// name would otherwise outbid each other forever.
const MAX_RAISES: u32 = 3;

impl Spread {
    /// Returns what this instance says about itself.
    pub(super) fn own_peer(&self, now: Instant) -> Peer {
        let identity = &self.dependencies.identity;
        let addresses = identity.addresses();
        let up = millis(now.saturating_duration_since(self.started));
        Peer {
            instance: identity.instance().to_owned(),
            incarnation: self.roster.incarnation(),
            place: identity.place().clone(),
            links: addresses.links.clone(),
            callers: addresses.callers.clone(),
            targets: addresses.targets.clone(),
            draining: self.dependencies.shared_view.view().draining,
            load: self.dependencies.shared_view.load(),
            up_ms: up.min(gossip::MAX_UP_MS),
        }
    }

    /// Returns the peers to introduce to the other end of a new link: this instance, the instances
    /// of both zones and, if the other end is in another zone, one instance of each further zone.
    ///
    /// Facts about a zone are not relayed to a second zone by a third, so this is how zones
    /// discover each other.
    pub(super) fn introduction(&self, to: &Place, now: Instant) -> Vec<Peer> {
        let own = self.dependencies.identity.place();
        let is_other_zone = to != own;
        let mut zones = IndexSet::new();
        let relevant = |peer: &&Peer| {
            let near = peer.place == *own || peer.place == *to;
            near || (is_other_zone && zones.insert(peer.place.clone()))
        };
        let others = self
            .published_peers
            .values()
            .skip(1)
            .filter(relevant)
            .cloned();
        std::iter::once(self.own_peer(now)).chain(others).collect()
    }

    /// Checks which instance answered at a dialed address and returns whether to keep the link. The
    /// address belongs to the instance that answered, so a peer known there under another name is
    /// gone.
    pub(super) fn check_dialed(&mut self, address: &str, peer: &Hello, now: Instant) -> bool {
        if peer.instance == self.dependencies.identity.instance() {
            self.address_book.remove_seed(address);
            return false;
        }
        self.address_book.set_seed_place(address, &peer.place);
        if let Some(former) = self.address_book.find_by_address(address).cloned()
            && former != peer.instance
        {
            tracing::info!(event = "address-reused", former, by = peer.instance);
            self.address_book.remove(&former);
            self.roster.forget(&former, now);
        }
        true
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        link: Handle,
        (peer, place): (&id::Instance, &Place),
        heartbeat: &Heartbeat,
        now: Instant,
    ) {
        let bounds = self.links.bounds(place);
        let heard = self.roster.hear_within(peer, heartbeat.beat, bounds, now);
        match heard {
            Heard::Stale(known) => self.links.send(link, gossip::Message::Stale(known)),
            Heard::Duplicate => {}
            Heard::NewRun | Heard::Fresh => self.apply_heartbeat((peer, place), heartbeat, now),
        }
    }

    fn apply_heartbeat(
        &mut self,
        (instance, place): (&id::Instance, &Place),
        heartbeat: &Heartbeat,
        now: Instant,
    ) {
        let periods = if self.links.is_cross_region(place) {
            CROSS_REGION_PERIODS
        } else {
            1
        };
        self.address_book.mark_linked(instance, now);
        let Some(peer) = self.address_book.confirmed(instance) else {
            return;
        };
        peer.incarnation = heartbeat.beat.incarnation;
        peer.load = heartbeat.load;
        let up = peer.up_ms + millis(self.settings.period * periods);
        peer.up_ms = up.min(gossip::MAX_UP_MS);
        if peer.draining != heartbeat.draining {
            peer.draining = heartbeat.draining;
            self.publish_peers(now);
        }
    }

    pub(super) fn raise_incarnation(&mut self, remembered: id::Incarnation) {
        if remembered < self.roster.incarnation() {
            return;
        }
        if self.raise_count == MAX_RAISES {
            tracing::error!(event = "duplicate-instance", incarnation = remembered);
            return;
        }
        self.raise_count += 1;
        self.roster.raise_incarnation(remembered);
        let raised = self.roster.incarnation();
        self.dependencies.identity.raise_incarnation(raised);
        tracing::warn!(event = "incarnation-raised", remembered, raised);
        self.dependencies.publisher.do_send(Raised(raised));
    }

    pub(super) fn handle_peers(&mut self, from: &str, peers: Vec<Peer>, now: Instant) {
        for peer in peers {
            if peer.instance != from {
                self.topology.report(&peer, now);
                self.address_book.report(peer, now);
                continue;
            }
            if let Some(former) = self.address_book.confirm(peer, now) {
                tracing::info!(event = "address-reused", former, by = from);
                self.roster.forget(&former, now);
            }
        }
    }

    /// Publishes this instance, the peers that are alive by their own evidence, and the contact
    /// points of zones that facts arrive from.
    pub(super) fn publish_peers(&mut self, now: Instant) {
        let own = self.own_peer(now);
        let mut peers = IndexMap::from([(own.instance.clone(), own)]);
        for instance in self.roster.alive(now) {
            if let Some(peer) = self.address_book.confirmed(instance) {
                peers.insert(instance.clone(), peer.clone());
            }
        }
        let contacts = self.digests.contacts(now);
        for contact in contacts.iter().flat_map(|(_, contacts)| contacts) {
            if !peers.contains_key(&contact.instance) {
                peers.insert(contact.instance.clone(), contact.clone());
            }
        }
        self.topology.update(contacts, now);
        if peers != *self.published_peers {
            self.announce_new_peers(&peers);
            self.published_peers = Arc::new(peers);
            let message = Peers(Arc::clone(&self.published_peers));
            self.dependencies.publisher.do_send(message);
        }
    }

    /// Announces newly alive instances of the zone to the zone, so that those that don't know each
    /// other yet can dial each other.
    fn announce_new_peers(&mut self, peers: &IndexMap<id::Instance, Peer>) {
        let new = |peer: &&Peer| !self.published_peers.contains_key(&peer.instance);
        for peer in peers.values().filter(new) {
            tracing::info!(event = "peer-alive", peer = peer.instance, place = %peer.place);
        }
        for lost in self.published_peers.keys() {
            if !peers.contains_key(lost) {
                tracing::info!(event = "peer-lost", peer = lost);
            }
        }
        let identity = &self.dependencies.identity;
        let place = identity.place().clone();
        let near = |peer: &&Peer| peer.place == place && peer.instance != identity.instance();
        let new_neighbors: Vec<Peer> = peers.values().filter(new).filter(near).cloned().collect();
        let known = self.published_peers.values().map(|peer| peer.place.clone());
        let mut known: IndexSet<Place> = known.collect();
        let first = |peer: &&Peer| known.insert(peer.place.clone());
        let zones: Vec<Peer> = peers.values().filter(first).cloned().collect();
        if !new_neighbors.is_empty() {
            self.links
                .send_within(&place, &gossip::Message::Peers(new_neighbors));
        }
        self.announce_zones(&place, &zones);
    }

    /// Announces newly known zones to other zones, so that they can dial each other.
    fn announce_zones(&mut self, own: &Place, zones: &[Peer]) {
        for (link, _, place) in self.links.peers() {
            if place == *own || zones.is_empty() {
                continue;
            }
            let zones = zones.to_vec();
            self.links.send(link, gossip::Message::Peers(zones));
        }
    }
}
