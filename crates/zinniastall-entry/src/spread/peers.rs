//! Membership: what peers say of themselves and which of them are published as alive.

use std::{sync::Arc, time::Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::membership::Heard;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::{
    gossip::{self, Heartbeat, Peer},
    hello::Hello,
};

use super::{actor::Spread, lines::Line, settings::FAR};
use crate::{
    publish::{Peers, Raised},
    targets::table::millis,
};

/// Most times that this run takes a higher number; two processes under one name would otherwise
/// outbid each other for ever.
const RAISES: u32 = 3;

impl Spread {
    /// Returns what this instance says of itself.
    pub(super) fn own_word(&self, now: Instant) -> Peer {
        let identity = &self.around.identity;
        let addresses = identity.addresses();
        let up = millis(now.saturating_duration_since(self.started));
        Peer {
            instance: identity.instance().to_owned(),
            incarnation: self.roster.incarnation(),
            place: identity.place().clone(),
            links: addresses.links.clone(),
            callers: addresses.callers.clone(),
            targets: addresses.targets.clone(),
            draining: self.around.board.view().draining,
            load: self.around.board.load(),
            up_ms: up.min(gossip::MAX_UP_MS),
        }
    }

    /// Returns what a new link's other end is told: this instance's own word, the instances of both
    /// zones, and one of each other zone if the end is in another one. A zone's facts don't reach a
    /// second by a third, so that is how zones find each other.
    pub(super) fn introduction(&self, to: &Place, now: Instant) -> Vec<Peer> {
        let own = self.around.identity.place();
        let other = to != own;
        let mut zones = IndexSet::new();
        let told = |peer: &&Peer| {
            let near = peer.place == *own || peer.place == *to;
            near || (other && zones.insert(peer.place.clone()))
        };
        let others = self.published.values().skip(1).filter(told).cloned();
        std::iter::once(self.own_word(now)).chain(others).collect()
    }

    /// Judges who answered at an address that was dialled. Whoever answers there owns it; a peer
    /// that was known there is gone.
    pub(super) fn answers(&mut self, address: &str, peer: &Hello, now: Instant) -> bool {
        if peer.instance == self.around.identity.instance() {
            self.book.drop_seed(address);
            return false;
        }
        self.book.place_seed(address, &peer.place);
        if let Some(former) = self.book.at(address).cloned()
            && former != peer.instance
        {
            tracing::info!(event = "address-reused", former, by = peer.instance);
            self.book.forget(&former);
            self.roster.forget(&former, now);
        }
        true
    }

    pub(super) fn hear(
        &mut self,
        line: Line,
        (peer, place): (&id::Instance, &Place),
        heartbeat: &Heartbeat,
        now: Instant,
    ) {
        let bounds = self.lines.bounds(place);
        let heard = self.roster.hear_within(peer, heartbeat.beat, bounds, now);
        match heard {
            Heard::Stale(known) => self.lines.send(line, gossip::Message::Stale(known)),
            Heard::Duplicate => {}
            Heard::NewRun | Heard::Fresh => self.update((peer, place), heartbeat, now),
        }
    }

    fn update(
        &mut self,
        (instance, place): (&id::Instance, &Place),
        heartbeat: &Heartbeat,
        now: Instant,
    ) {
        let periods = if self.lines.is_far(place) { FAR } else { 1 };
        self.book.linked(instance, now);
        let Some(peer) = self.book.sworn(instance) else {
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

    pub(super) fn raise(&mut self, remembered: id::Incarnation) {
        if remembered < self.roster.incarnation() {
            return;
        }
        if self.raises == RAISES {
            tracing::error!(event = "duplicate-instance", incarnation = remembered);
            return;
        }
        self.raises += 1;
        self.roster.raise_incarnation(remembered);
        let raised = self.roster.incarnation();
        self.around.identity.raise(raised);
        tracing::warn!(event = "incarnation-raised", remembered, raised);
        self.around.publisher.do_send(Raised(raised));
    }

    pub(super) fn meet(&mut self, from: &str, peers: Vec<Peer>, now: Instant) {
        for peer in peers {
            if peer.instance != from {
                self.atlas.hearsay(&peer, now);
                self.book.hearsay(peer, now);
                continue;
            }
            if let Some(former) = self.book.swear(peer, now) {
                tracing::info!(event = "address-reused", former, by = from);
                self.roster.forget(&former, now);
            }
        }
    }

    /// Publishes this instance, the peers that are alive by their own evidence, and the doors of
    /// zones that are heard of.
    pub(super) fn publish_peers(&mut self, now: Instant) {
        let own = self.own_word(now);
        let mut peers = IndexMap::from([(own.instance.clone(), own)]);
        for instance in self.roster.alive(now) {
            if let Some(peer) = self.book.sworn(instance) {
                peers.insert(instance.clone(), peer.clone());
            }
        }
        let doors = self.digests.doors(now);
        for door in doors.iter().flat_map(|(_, doors)| doors) {
            if !peers.contains_key(&door.instance) {
                peers.insert(door.instance.clone(), door.clone());
            }
        }
        self.atlas.update(doors, now);
        if peers != *self.published {
            self.introduce(&peers);
            self.published = Arc::new(peers);
            let message = Peers(Arc::clone(&self.published));
            self.around.publisher.do_send(message);
        }
    }

    /// Tells the zone of its instances that are newly alive, so that those that haven't met dial
    /// each other.
    fn introduce(&mut self, peers: &IndexMap<id::Instance, Peer>) {
        let new = |peer: &&Peer| !self.published.contains_key(&peer.instance);
        for peer in peers.values().filter(new) {
            tracing::info!(event = "peer-alive", peer = peer.instance, place = %peer.place);
        }
        for lost in self.published.keys() {
            if !peers.contains_key(lost) {
                tracing::info!(event = "peer-lost", peer = lost);
            }
        }
        let identity = &self.around.identity;
        let place = identity.place().clone();
        let near = |peer: &&Peer| peer.place == place && peer.instance != identity.instance();
        let met: Vec<Peer> = peers.values().filter(new).filter(near).cloned().collect();
        let known = self.published.values().map(|peer| peer.place.clone());
        let mut known: IndexSet<Place> = known.collect();
        let first = |peer: &&Peer| known.insert(peer.place.clone());
        let zones: Vec<Peer> = peers.values().filter(first).cloned().collect();
        if !met.is_empty() {
            self.lines.send_within(&place, &gossip::Message::Peers(met));
        }
        self.introduce_zones(&place, &zones);
    }

    /// Tells other zones of zones that are newly heard of, so that they look for each other.
    fn introduce_zones(&mut self, own: &Place, zones: &[Peer]) {
        for (line, _, place) in self.lines.peers() {
            if place == *own || zones.is_empty() {
                continue;
            }
            let zones = zones.to_vec();
            self.lines.send(line, gossip::Message::Peers(zones));
        }
    }
}
