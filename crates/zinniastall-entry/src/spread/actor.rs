//! The actor that owns membership and the zone's targets.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler, Message};
use indexmap::IndexMap;
use zinniastall_coord::membership::{Heard, Roster};
use zinniastall_model::{id, place::Place};
use zinniastall_wire::{
    gossip::{self, Heartbeat, Load, Peer},
    hello::Purpose,
    link::{self, Link},
};

use super::{
    book::Book,
    lines::{Line, Lines},
    news::{News, grown},
    settings,
};
use crate::{
    links::Identity,
    publish::{Peers, Publisher, Targets},
    targets::{
        Announced, Left,
        body::Lease,
        problem::Problem,
        table::{Table, Taken, millis},
    },
    view::Board,
};

/// Changes of targets' load are published together after this pause.
const COALESCE: Duration = Duration::from_millis(50);
/// Most times that this run takes a higher number; two processes under one name would otherwise
/// outbid each other for ever.
const RAISES: u32 = 3;

/// Actor of the control arbiter that owns membership and the zone's targets.
#[derive(Debug)]
pub struct Spread {
    settings: settings::Spread,
    identity: Identity,
    board: Board,
    publisher: Addr<Publisher>,
    roster: Roster<id::Instance>,
    lines: Lines,
    book: Book,
    targets: Table,
    news: News,
    published: Arc<IndexMap<id::Instance, Peer>>,
    publishing: bool,
    raises: u32,
    started: Instant,
    swept: Instant,
}

/// A link was accepted or dialled.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Linked(pub Link);

/// An attempt to dial ended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Dialed {
    address: String,
    result: Result<Link, link::Error>,
}

/// A message arrived on a link.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Received(pub Line, pub gossip::Message);

/// A link broke.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Closed(pub Line);

/// The instance stops: it tells its peers and closes its links.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// Targets changed some time ago and are to be published.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct PublishTargets;

impl Spread {
    /// Creates the actor of an instance.
    pub fn new(
        settings: settings::Spread,
        seeds: impl Iterator<Item = String>,
        identity: Identity,
        board: Board,
        publisher: Addr<Publisher>,
    ) -> Self {
        let now = Instant::now();
        let own = identity.instance().to_owned();
        let membership = settings.membership();
        Self {
            roster: Roster::new(own.clone(), identity.incarnation(), membership, now),
            lines: Lines::new(own.clone(), membership.floor),
            book: Book::new(own, seeds, now),
            targets: Table::new(settings.lease),
            news: News::default(),
            published: Arc::default(),
            publishing: false,
            raises: 0,
            started: now,
            swept: now,
            settings,
            identity,
            board,
            publisher,
        }
    }

    fn tick(&mut self, context: &Context<Self>) {
        let now = Instant::now();
        self.begin(now);
        self.beat();
        self.send_loads(now);
        self.sweep(now);
        self.dial(context, now);
        self.publish_peers(now);
    }

    /// Starts a period. After a freeze all links are dropped: what waits in their sockets was sent
    /// during the freeze, and a lease in it would count from now instead of from then.
    fn begin(&mut self, now: Instant) {
        if !self.roster.tick(now) {
            return;
        }
        let since = now.saturating_duration_since(self.swept);
        tracing::warn!(event = "frozen", millis = millis(since));
        self.lines.clear();
        self.publish_targets(now);
    }

    fn beat(&mut self) {
        let view = self.board.view();
        for (line, instance, _) in self.lines.peers() {
            let heartbeat = Heartbeat {
                beat: self.roster.beat(&instance),
                revision: view.state.as_ref().map_or(0, |state| state.revision),
                draining: view.draining,
                load: self.board.load(),
            };
            self.lines.send(line, gossip::Message::Heartbeat(heartbeat));
        }
    }

    fn send_loads(&mut self, now: Instant) {
        let loads = self.news.take(&self.targets, now);
        if !loads.is_empty() {
            self.tell_zone(&gossip::Message::Loads(loads));
        }
    }

    fn tell_zone(&mut self, message: &gossip::Message) {
        self.lines.send_within(self.identity.place(), message);
    }

    fn sweep(&mut self, now: Instant) {
        for gone in self.roster.sweep(now) {
            tracing::info!(event = "peer-forgotten", peer = gone);
        }
        self.lines.close_silent(self.settings.ceiling, now);
        if self.targets.sweep(self.swept, now) {
            self.publish_targets(now);
        }
        self.swept = now;
    }

    fn dial(&mut self, context: &Context<Self>, now: Instant) {
        let lines = &self.lines;
        for address in self.book.due(|peer| lines.of(peer).is_some(), now) {
            let (identity, spread) = (self.identity.clone(), context.address());
            actix::spawn(async move {
                let result = identity.dial(&address, Purpose::Gossip).await;
                spread.do_send(Dialed { address, result });
            });
        }
    }

    fn link(&mut self, link: Link, dialed: bool, context: &Context<Self>) {
        let now = Instant::now();
        let peer = link.peer().instance.clone();
        let Some(number) = self.lines.add(link, dialed, &context.address(), now) else {
            return;
        };
        self.book.linked(&peer, now);
        let mut peers = vec![self.own_word(now)];
        peers.extend(self.published.values().skip(1).cloned());
        self.lines.send(number, gossip::Message::Peers(peers));
        let zone = self.lines.heard(number, now).map(|(_, place)| place);
        if zone.as_ref() == Some(self.identity.place()) {
            let reports = self.targets.reports(now);
            self.lines.send(number, gossip::Message::Targets(reports));
        }
    }

    /// Returns what this instance says of itself.
    fn own_word(&self, now: Instant) -> Peer {
        let addresses = self.identity.addresses();
        let up = millis(now.saturating_duration_since(self.started));
        Peer {
            instance: self.identity.instance().to_owned(),
            incarnation: self.roster.incarnation(),
            place: self.identity.place().clone(),
            links: addresses.links.clone(),
            callers: addresses.callers.clone(),
            targets: addresses.targets.clone(),
            draining: self.board.view().draining,
            load: self.board.load(),
            up_ms: up.min(gossip::UP),
        }
    }

    fn receive(&mut self, line: Line, message: gossip::Message, now: Instant) {
        let Some((peer, place)) = self.lines.heard(line, now) else {
            return;
        };
        match message {
            gossip::Message::Heartbeat(heartbeat) => self.hear(line, &peer, &heartbeat, now),
            gossip::Message::Stale(remembered) => self.raise(remembered),
            gossip::Message::Peers(peers) => self.meet(&peer, peers, now),
            gossip::Message::Targets(reports) => self.take(&place, reports, now),
            gossip::Message::Loads(loads) => self.renew(&place, &loads, now),
            gossip::Message::Digests(_) => {}
        }
    }

    fn hear(&mut self, line: Line, peer: &id::Instance, heartbeat: &Heartbeat, now: Instant) {
        match self.roster.hear(peer, heartbeat.beat, now) {
            Heard::Stale(known) => self.lines.send(line, gossip::Message::Stale(known)),
            Heard::Old => {}
            Heard::Run | Heard::Fresh => self.update(peer, heartbeat, now),
        }
    }

    fn update(&mut self, instance: &str, heartbeat: &Heartbeat, now: Instant) {
        self.book.linked(instance, now);
        let Some(peer) = self.book.sworn(instance) else {
            return;
        };
        peer.incarnation = heartbeat.beat.incarnation;
        peer.load = heartbeat.load;
        let up = peer.up_ms + millis(self.settings.period);
        peer.up_ms = up.min(gossip::UP);
        if peer.draining != heartbeat.draining {
            peer.draining = heartbeat.draining;
            self.publish_peers(now);
        }
    }

    fn raise(&mut self, remembered: id::Incarnation) {
        if remembered < self.roster.incarnation() {
            return;
        }
        if self.raises == RAISES {
            tracing::error!(event = "duplicate-instance", incarnation = remembered);
            return;
        }
        self.raises += 1;
        self.roster.raise(remembered);
        self.identity.raise(self.roster.incarnation());
        tracing::warn!(event = "incarnation-raised", remembered);
        self.publisher
            .do_send(crate::publish::Raised(self.roster.incarnation()));
    }

    fn meet(&mut self, from: &str, peers: Vec<Peer>, now: Instant) {
        for peer in peers {
            if peer.instance != from {
                self.book.hearsay(peer, now);
                continue;
            }
            if let Some(former) = self.book.swear(peer, now) {
                tracing::info!(event = "address-reused", former, by = from);
                self.roster.forget(&former, now);
            }
        }
    }

    fn take(&mut self, place: &Place, reports: Vec<gossip::Target>, now: Instant) {
        if place != self.identity.place() {
            return;
        }
        let news = |report| self.targets.take(report, now).unwrap_or(Taken::Old);
        match reports.into_iter().map(news).max() {
            Some(Taken::Kept) => self.publish_targets(now),
            Some(Taken::Load) => self.publishing = true,
            _ => {}
        }
    }

    fn renew(&mut self, place: &Place, loads: &[Load], now: Instant) {
        if place != self.identity.place() {
            return;
        }
        let news = |load| self.targets.renew(load, now).unwrap_or(Taken::Old);
        match loads.iter().map(news).max() {
            Some(Taken::Kept) => self.publish_targets(now),
            Some(Taken::Load) => self.publishing = true,
            _ => {}
        }
    }

    fn announce(
        &mut self,
        mut report: gossip::Target,
        context: &mut Context<Self>,
    ) -> Result<Lease, Problem> {
        let now = Instant::now();
        report.left_ms = millis(self.settings.lease);
        let before = self.targets.report(&report.target, now);
        let added = before.as_ref().and_then(|before| grown(before, &report));
        let added = added.map(<[u64]>::to_vec);
        let target = report.target.clone();
        let taken = self.targets.take(report, now)?;
        match (taken, added) {
            (Taken::Old, _) => {}
            (Taken::Load, Some(added)) => {
                self.news.renewed(&target, &added);
                self.publish_soon(context);
            }
            _ => self.tell(&target, now),
        }
        Ok(self.lease())
    }

    /// Spreads a target's whole report at once and publishes it.
    fn tell(&mut self, target: &str, now: Instant) {
        if let Some(report) = self.targets.report(target, now) {
            self.tell_zone(&gossip::Message::Targets(vec![report]));
        }
        self.publish_targets(now);
    }

    fn lease(&self) -> Lease {
        let addresses = self.identity.addresses();
        let own = std::iter::once(addresses.targets.clone());
        let near = |peer: &&Peer| peer.place == *self.identity.place() && !peer.draining;
        let others = self.published.values().skip(1).filter(near);
        Lease {
            lease_ms: millis(self.settings.lease),
            renew_ms: millis(self.settings.renew()),
            instances: own.chain(others.map(|peer| peer.targets.clone())).collect(),
        }
    }

    fn publish_soon(&mut self, context: &mut Context<Self>) {
        if !std::mem::replace(&mut self.publishing, true) {
            context.notify_later(PublishTargets, COALESCE);
        }
    }

    fn publish_targets(&mut self, now: Instant) {
        self.publishing = false;
        let targets = Arc::new(self.targets.serving(now));
        self.publisher.do_send(Targets(targets));
    }

    fn publish_peers(&mut self, now: Instant) {
        let own = self.own_word(now);
        let mut peers = IndexMap::from([(own.instance.clone(), own)]);
        for instance in self.roster.alive(now) {
            if let Some(peer) = self.book.sworn(instance) {
                peers.insert(instance.clone(), peer.clone());
            }
        }
        if peers != *self.published {
            self.introduce(&peers);
            self.published = Arc::new(peers);
            self.publisher.do_send(Peers(Arc::clone(&self.published)));
        }
    }

    /// Tells everybody of instances that are newly alive, so that those that haven't met dial each
    /// other.
    fn introduce(&mut self, peers: &IndexMap<id::Instance, Peer>) {
        for (instance, peer) in peers {
            if !self.published.contains_key(instance) {
                tracing::info!(event = "peer-alive", peer = instance, place = %peer.place);
            }
        }
        for instance in self.published.keys() {
            if !peers.contains_key(instance) {
                tracing::info!(event = "peer-lost", peer = instance);
            }
        }
        let own = self.identity.instance();
        let new =
            |peer: &&Peer| peer.instance != own && !self.published.contains_key(&peer.instance);
        let new: Vec<Peer> = peers.values().filter(new).cloned().collect();
        if new.is_empty() {
            return;
        }
        for (line, _, _) in self.lines.peers() {
            self.lines.send(line, gossip::Message::Peers(new.clone()));
        }
    }
}

impl Actor for Spread {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.tick(context);
        context.run_interval(self.settings.period, |spread, context| spread.tick(context));
    }
}

impl Handler<Linked> for Spread {
    type Result = ();

    fn handle(&mut self, message: Linked, context: &mut Context<Self>) {
        self.link(message.0, false, context);
    }
}

impl Handler<Dialed> for Spread {
    type Result = ();

    fn handle(&mut self, message: Dialed, context: &mut Context<Self>) {
        let link = match message.result {
            Ok(link) => link,
            Err(error) => {
                tracing::debug!(event = "dial-failed", address = message.address, error = %error);
                return;
            }
        };
        let now = Instant::now();
        let peer = &link.peer().instance;
        if peer == self.identity.instance() {
            self.book.drop_seed(&message.address);
            return;
        }
        // Whoever answers at an address owns it; the peer that was known there is gone.
        if let Some(former) = self.book.at(&message.address).cloned()
            && former != *peer
        {
            tracing::info!(event = "address-reused", former, by = peer);
            self.book.forget(&former);
            self.roster.forget(&former, now);
        }
        self.link(link, true, context);
    }
}

impl Handler<Received> for Spread {
    type Result = ();

    fn handle(&mut self, message: Received, context: &mut Context<Self>) {
        let Received(line, message) = message;
        let was = self.publishing;
        self.receive(line, message, Instant::now());
        if self.publishing && !was {
            context.notify_later(PublishTargets, COALESCE);
        }
    }
}

impl Handler<Closed> for Spread {
    type Result = ();

    fn handle(&mut self, message: Closed, _: &mut Context<Self>) {
        self.lines.close(message.0);
    }
}

impl Handler<PublishTargets> for Spread {
    type Result = ();

    fn handle(&mut self, _: PublishTargets, _: &mut Context<Self>) {
        if self.publishing {
            self.publish_targets(Instant::now());
        }
    }
}

impl Handler<Announced> for Spread {
    type Result = Result<Lease, Problem>;

    fn handle(&mut self, message: Announced, context: &mut Context<Self>) -> Self::Result {
        self.announce(message.0, context)
    }
}

impl Handler<Left> for Spread {
    type Result = Result<(), Problem>;

    fn handle(&mut self, message: Left, _: &mut Context<Self>) -> Self::Result {
        let leave = message.0;
        if self
            .targets
            .leave(&leave.target, leave.incarnation)?
            .is_some()
        {
            self.tell(&leave.target, Instant::now());
        }
        Ok(())
    }
}

impl Handler<Stop> for Spread {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        self.lines.clear();
        context.stop();
    }
}
