//! The actor that owns membership, the targets of the zone, and digests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler};
use indexmap::IndexMap;
use zinniastall_coord::{digest::Bucket, membership::Roster, quarantine::Run};
use zinniastall_model::{id, place::Place};
use zinniastall_settings::metrics::Recorder;
use zinniastall_wire::{
    gossip::{self, Heartbeat, Peer},
    link::Link,
};

use super::{
    address_book::Book,
    departures,
    digests::Digests,
    links::{Handle, Links},
    messages::{Closed, Dialed, ForwardFacts, Linked, PublishTargets, Received, Stop},
    paths, rates,
    renewals::Renewals,
    settings::{self, CROSS_REGION_PERIODS},
    suspicions,
    topology::Topology,
    traffic::Traffic,
};
use crate::{
    links::Identity,
    publish::Publisher,
    targets::{
        Announced, Left,
        body::Lease,
        problem::Problem,
        table::{Table, millis},
    },
    view::Shared,
};

/// Delay during which changes are collected, to be published or forwarded together.
const COALESCE_DELAY: Duration = Duration::from_millis(50);

/// What the actor needs from the rest of the instance.
#[derive(Debug)]
pub struct Dependencies {
    /// Identity of this instance on links.
    pub identity: Identity,
    /// Source of the current view.
    pub shared_view: Shared,
    /// Receiver of changes to the view.
    pub publisher: Addr<Publisher>,
    /// Receiver of metrics.
    pub recorder: Recorder,
}

/// Actor on the control arbiter that owns membership, the targets of the zone, and digests.
#[derive(Debug)]
pub struct Spread {
    pub(super) settings: settings::Spread,
    pub(super) dependencies: Dependencies,
    pub(super) roster: Roster<id::Instance>,
    pub(super) links: Links,
    pub(super) address_book: Book,
    pub(super) topology: Topology,
    pub(super) targets: Table,
    pub(super) renewals: Renewals,
    pub(super) digests: Digests,
    pub(super) bucket: Bucket,
    /// Bytes of facts sent since the last charge. Without this, each batch within a period would be
    /// granted the whole budget again.
    pub(super) reserved_bytes: u64,
    pub(super) published_peers: Arc<IndexMap<id::Instance, Peer>>,
    /// Targets published last, with their incarnations.
    pub(super) published_targets: IndexMap<id::Target, id::Incarnation>,
    pub(super) publish_pending: bool,
    pub(super) forward_pending: bool,
    pub(super) raise_count: u32,
    /// Crashed run of a target that this instance learned of last.
    pub(super) last_crashed_run: Option<Run>,
    /// Versions of this instance's suspicions that the other ends of links have acknowledged.
    pub(super) acknowledged: IndexMap<Handle, u64>,
    pub(super) started: Instant,
    last_sweep: Instant,
    /// Number of periods since the start.
    period_count: u64,
    traffic: Traffic,
}

impl Spread {
    /// Creates the actor of an instance.
    pub fn new(
        settings: settings::Spread,
        seeds: impl Iterator<Item = String>,
        dependencies: Dependencies,
    ) -> Self {
        let now = Instant::now();
        let identity = &dependencies.identity;
        let own = identity.instance().to_owned();
        let (run, place) = (identity.incarnation(), identity.place().clone());
        let membership = settings.membership();
        Self {
            roster: Roster::new(own.clone(), run, membership, now),
            links: Links::new(own.clone(), place.region.clone(), settings),
            address_book: Book::new(own.clone(), seeds, now),
            topology: Topology::new(place.clone(), now),
            targets: Table::new(settings.lease),
            renewals: Renewals::default(),
            digests: Digests::new(&own, run, place, settings.digest_interval, now),
            bucket: Bucket::new(settings.bytes_per_second, now),
            reserved_bytes: 0,
            published_peers: Arc::default(),
            published_targets: IndexMap::new(),
            publish_pending: false,
            forward_pending: false,
            raise_count: 0,
            last_crashed_run: None,
            acknowledged: IndexMap::new(),
            started: now,
            last_sweep: now,
            period_count: 0,
            traffic: Traffic::default(),
            settings,
            dependencies,
        }
    }

    fn tick(&mut self, context: &Context<Self>) {
        let now = Instant::now();
        self.begin_period(now);
        self.send_heartbeats(now);
        self.sweep(now);
        self.publish_peers(now);
        self.publish_digests(now);
        self.reconcile_suspects();
        self.share_suspects();
        self.share_rates();
        self.expire_rates(now);
        self.share_departures();
        self.expire_notices(now);
        self.dial(context, now);
    }

    /// Starts a heartbeat period.
    ///
    /// After a freeze, all links are dropped. The messages that wait in their sockets were sent
    /// during the freeze, so leases in them would be counted from now instead of from then.
    fn begin_period(&mut self, now: Instant) {
        self.charge_sent();
        if !self.roster.tick(now) {
            return;
        }
        let since = now.saturating_duration_since(self.last_sweep);
        tracing::warn!(event = "frozen", millis = millis(since));
        self.last_sweep = now;
        self.links.clear();
        self.rates().restart_issuer();
        self.publish_targets(now);
        self.publish_peers(now);
    }

    /// Detects a freeze before the next period starts, since messages that queued up during the
    /// freeze may be handled before the timer fires.
    fn detect_freeze(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_sweep)
            > self.settings.membership().freeze_threshold
        {
            self.begin_period(now);
        }
    }

    /// Charges the bytes sent since the last period to the budget, and records them.
    fn charge_sent(&mut self) {
        let dependencies = &self.dependencies;
        let sent = self
            .traffic
            .record(&dependencies.identity, &dependencies.recorder);
        self.bucket.charge(sent);
        self.reserved_bytes = 0;
        let waiting = i64::try_from(self.digests.pending_count()).unwrap_or(i64::MAX);
        if waiting > 0 {
            dependencies.recorder.count("gossip.waiting.facts", waiting);
        }
    }

    fn send_heartbeats(&mut self, now: Instant) {
        let view = self.dependencies.shared_view.view();
        let loads = self.take_renewals(now);
        let zone = self.dependencies.identity.place().clone();
        self.period_count += 1;
        for (link, instance, place) in self.links.peers() {
            if self.skips_heartbeat(link, &instance, &place, now) {
                continue;
            }
            let heartbeat = Heartbeat {
                beat: self.roster.heartbeat(&instance),
                revision: view.state.as_ref().map_or(0, |state| state.revision),
                draining: view.draining,
                load: self.dependencies.shared_view.load(),
                loads: if place == zone {
                    loads.clone()
                } else {
                    Vec::new()
                },
            };
            self.links.send(link, gossip::Message::Heartbeat(heartbeat));
        }
    }

    /// Returns whether a peer gets no heartbeat in this period. Peers in other regions get fewer
    /// heartbeats once they are known to be alive.
    fn skips_heartbeat(
        &self,
        link: Handle,
        instance: &id::Instance,
        place: &Place,
        now: Instant,
    ) -> bool {
        let turn = (self.period_count + link).is_multiple_of(u64::from(CROSS_REGION_PERIODS));
        self.links.is_cross_region(place) && !turn && self.roster.is_alive(instance, now)
    }

    fn sweep(&mut self, now: Instant) {
        for gone in self.roster.sweep(now) {
            tracing::info!(event = "peer-forgotten", peer = gone);
        }
        self.links.close_silent(now);
        let links = &self.links;
        self.address_book
            .sweep(|peer| links.get(peer).is_some(), now);
        self.digests.sweep(now);
        if self.targets.sweep(self.last_sweep, now) {
            self.publish_targets(now);
        }
        self.last_sweep = now;
    }

    fn add_link(&mut self, link: Link, dialed: bool, context: &Context<Self>) {
        let now = Instant::now();
        let (peer, place) = (link.peer().instance.clone(), link.peer().place.clone());
        let Some(handle) = self.links.add(link, dialed, &context.address(), now) else {
            return;
        };
        self.address_book.mark_linked(&peer, now);
        let peers = self.introduction(&place, now);
        self.links.send(handle, gossip::Message::Peers(peers));
        self.introduce_suspects(handle);
        if place == *self.dependencies.identity.place() {
            let reports = self.targets.reports(now);
            self.links.send(handle, gossip::Message::Targets(reports));
            self.introduce_rates(handle);
        }
    }

    fn receive(&mut self, link: Handle, message: gossip::Message, now: Instant) {
        self.detect_freeze(now);
        let Some((peer, place)) = self.links.record_received(link, now) else {
            return;
        };
        match message {
            gossip::Message::Heartbeat(heartbeat) => {
                self.handle_heartbeat(link, (&peer, &place), &heartbeat, now);
                self.apply_renewals(&place, &heartbeat.loads, now);
            }
            gossip::Message::Stale(remembered) => self.raise_incarnation(remembered),
            gossip::Message::Peers(peers) => self.handle_peers(&peer, peers, now),
            gossip::Message::Targets(reports) => self.apply_reports(&place, reports, now),
            gossip::Message::Delta(news) => {
                self.apply_suspects(link, (&peer, &place), &news.suspects);
                self.forward_pending |= self.digests.apply(link, &place, news, now);
            }
            gossip::Message::Rates(rates) => self.apply_rates(link, &place, &rates, now),
            gossip::Message::Paths(message) => self.apply_paths(link, &place, &message),
        }
    }
}

impl Actor for Spread {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.tick(context);
        let quarantine = self.dependencies.shared_view.quarantine().clone();
        actix::spawn(suspicions::watch(quarantine, context.address()));
        let rates = self.rates().clone();
        actix::spawn(rates::watch(rates, context.address()));
        let notices = self.dependencies.shared_view.notices().clone();
        actix::spawn(departures::watch(notices, context.address()));
        let reach = self.reach().clone();
        actix::spawn(paths::watch(reach, context.address()));
        context.run_interval(self.settings.period, |spread, context| spread.tick(context));
    }
}

impl Handler<Linked> for Spread {
    type Result = ();

    fn handle(&mut self, message: Linked, context: &mut Context<Self>) {
        self.add_link(message.0, false, context);
    }
}

impl Handler<Dialed> for Spread {
    type Result = ();

    fn handle(&mut self, message: Dialed, context: &mut Context<Self>) {
        match message.result {
            Ok(link) => {
                if self.check_dialed(&message.address, link.peer(), Instant::now()) {
                    self.add_link(link, true, context);
                }
            }
            Err(error) => {
                tracing::debug!(event = "dial-failed", address = message.address, error = %error);
            }
        }
    }
}

impl Handler<Received> for Spread {
    type Result = ();

    fn handle(&mut self, message: Received, context: &mut Context<Self>) {
        let Received(link, message) = message;
        let (publish_was_pending, forward_was_pending) =
            (self.publish_pending, self.forward_pending);
        self.receive(link, message, Instant::now());
        if self.publish_pending && !publish_was_pending {
            context.notify_later(PublishTargets, COALESCE_DELAY);
        }
        if self.forward_pending && !forward_was_pending {
            context.notify_later(ForwardFacts, COALESCE_DELAY);
        }
    }
}

impl Handler<Closed> for Spread {
    type Result = ();

    fn handle(&mut self, message: Closed, _: &mut Context<Self>) {
        self.links.close(message.0);
    }
}

impl Handler<PublishTargets> for Spread {
    type Result = ();

    fn handle(&mut self, _: PublishTargets, _: &mut Context<Self>) {
        if self.publish_pending {
            self.publish_targets(Instant::now());
        }
    }
}

impl Handler<ForwardFacts> for Spread {
    type Result = ();

    fn handle(&mut self, _: ForwardFacts, _: &mut Context<Self>) {
        self.forward_facts(Instant::now());
    }
}

impl Handler<Announced> for Spread {
    type Result = Result<Lease, Problem>;

    fn handle(&mut self, message: Announced, context: &mut Context<Self>) -> Self::Result {
        let publish_was_pending = self.publish_pending;
        let lease = self.announce(message.0, Instant::now())?;
        if self.publish_pending && !publish_was_pending {
            context.notify_later(PublishTargets, COALESCE_DELAY);
        }
        Ok(lease)
    }
}

impl Handler<Left> for Spread {
    type Result = Result<(), Problem>;

    fn handle(&mut self, message: Left, _: &mut Context<Self>) -> Self::Result {
        self.leave(&message.0, Instant::now())
    }
}

impl Handler<Stop> for Spread {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Context<Self>) {
        self.links.clear();
        context.stop();
    }
}
