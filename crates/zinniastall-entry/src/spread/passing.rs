//! Digests: who speaks for the zone, on which links facts are passed on, whom to dial.

use std::{sync::Arc, time::Instant};

use actix::{AsyncContext, Context};
use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::digest::overlay;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::{
    gossip::{self, Peer},
    hello::Purpose,
};

use super::{actor::Spread, lines::Line, messages::Dialed, speaker::Voice};
use crate::publish::Digests;

impl Spread {
    /// Speaks for the zone if it is this instance's turn, passes facts on, publishes them.
    pub(super) fn speak(&mut self, now: Instant) {
        let zone = self.zone();
        let voice = match self.rank(&zone) {
            Some(0) if self.atlas.is_first() => Voice::Region,
            Some(0) => Voice::Zone,
            _ => Voice::None,
        };
        let targets = self.targets.serving(now);
        let speakers = zone.into_values().collect();
        self.digests.speak(voice, speakers, &targets, now);
        let paths = self.paths(now);
        self.digests.paths(&paths);
        self.pass_on(now);
        let digests = Arc::new(self.digests.capacities(now));
        self.around.publisher.do_send(Digests(digests));
    }

    /// Passes on what waits, as far as the budget goes.
    pub(super) fn pass_on(&mut self, now: Instant) {
        self.passing = false;
        let bytes = self.bucket.available(now).saturating_sub(self.promised);
        let (news, spent) = self.digests.flush(bytes, now);
        self.promised += spent;
        for (line, news) in news {
            self.lines.send(line, gossip::Message::Delta(news));
        }
    }

    /// Dials the peers that are wanted and not linked, and closes links that aren't wanted.
    pub(super) fn dial(&mut self, context: &Context<Self>, now: Instant) {
        let rank = self.rank(&self.zone());
        let wanted = rank.map_or_else(Vec::new, |rank| self.atlas.wanted(rank, now));
        let far: IndexSet<id::Instance> = wanted.iter().map(|peer| peer.instance.clone()).collect();
        for peer in wanted {
            self.book.hearsay(peer, now);
        }
        let own = self.around.identity.place().clone();
        let wanted = |peer: &str, place: &Place| *place == own || far.contains(peer);
        self.lines.close_unwanted(wanted, now);
        let lines = &self.lines;
        let missing =
            |peer: &Peer| wanted(&peer.instance, &peer.place) && lines.of(&peer.instance).is_none();
        let mut due = self.book.due(missing, now);
        // A zone's speakers look for other zones; the others look for their own zone only.
        let alone = !lines.peers().iter().any(|(_, _, place)| *place == own);
        if rank.is_some() || alone {
            let atlas = &self.atlas;
            due.extend(self.book.due_seeds(|place| atlas.hears(place), now));
        }
        for address in due {
            self.attempt(address, context);
        }
    }

    fn attempt(&self, address: String, context: &Context<Self>) {
        let (identity, spread) = (self.around.identity.clone(), context.address());
        actix::spawn(async move {
            let result = identity.dial(&address, Purpose::Gossip).await;
            spread.do_send(Dialed { address, result });
        });
    }

    /// Returns the zone's instances that take requests, sorted by name.
    fn zone(&self) -> IndexMap<id::Instance, Peer> {
        let place = self.around.identity.place();
        let serves = |peer: &&Peer| peer.place == *place && !peer.draining;
        let peers = self.published.values().filter(serves);
        let mut zone: IndexMap<_, _> = peers
            .map(|peer| (peer.instance.clone(), peer.clone()))
            .collect();
        zone.sort_unstable_keys();
        zone
    }

    fn rank(&self, zone: &IndexMap<id::Instance, Peer>) -> Option<usize> {
        let members: Vec<&str> = zone.keys().map(String::as_str).collect();
        overlay::speaker_rank(&self.around.identity.instance(), &members)
    }

    /// Returns the links on which facts are passed on: to two of the zone, and to all peers of other
    /// zones. A peer that doesn't hear this instance is left out, since what it has to offer can't
    /// be asked for.
    fn paths(&self, now: Instant) -> IndexMap<Line, Place> {
        let identity = &self.around.identity;
        let peers = self.lines.peers();
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
        let passes = |peer: &id::Instance, place: &Place| {
            alive(peer) && (!near(place) || next.contains(&peer))
        };
        peers
            .iter()
            .filter(|(_, peer, place)| passes(peer, place))
            .map(|(line, _, place)| (*line, place.clone()))
            .collect()
    }
}
