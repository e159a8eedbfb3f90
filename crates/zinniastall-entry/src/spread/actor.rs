//! The actor that owns membership, the zone's targets and digests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler};
use indexmap::IndexMap;
use zinniastall_coord::{digest::Bucket, membership::Roster};
use zinniastall_model::{id, place::Place};
use zinniastall_settings::metrics::Recorder;
use zinniastall_wire::{
    gossip::{self, Heartbeat, Peer},
    link::Link,
};

use super::{
    atlas::Atlas,
    book::Book,
    digests::Digests,
    lines::{Line, Lines},
    messages::{Closed, Dialed, Linked, PassOn, PublishTargets, Received, Stop},
    renewals::Renewals,
    settings::{self, FAR},
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
    view::Board,
};

/// Changes that come in quick succession are published or passed on together after this pause.
const COALESCE: Duration = Duration::from_millis(50);

/// What the actor is connected to.
#[derive(Debug)]
pub struct Surroundings {
    /// What this instance says of itself.
    pub identity: Identity,
    /// Where the view is read.
    pub board: Board,
    /// Where changes of the view go.
    pub publisher: Addr<Publisher>,
    /// Where figures are recorded.
    pub recorder: Recorder,
}

/// Actor of the control arbiter that owns membership, the zone's targets and digests.
#[derive(Debug)]
pub struct Spread {
    pub(super) settings: settings::Spread,
    pub(super) around: Surroundings,
    pub(super) roster: Roster<id::Instance>,
    pub(super) lines: Lines,
    pub(super) book: Book,
    pub(super) atlas: Atlas,
    pub(super) targets: Table,
    pub(super) renewals: Renewals,
    pub(super) digests: Digests,
    pub(super) bucket: Bucket,
    /// Bytes of facts since the last charge. Without them each turn of a period would find the whole
    /// budget again.
    pub(super) promised: u64,
    pub(super) published: Arc<IndexMap<id::Instance, Peer>>,
    /// Targets that were published last, with their runs.
    pub(super) serving: IndexMap<id::Target, id::Incarnation>,
    pub(super) publishing: bool,
    pub(super) passing: bool,
    pub(super) raises: u32,
    pub(super) started: Instant,
    swept: Instant,
    /// Periods so far.
    beats: u64,
    traffic: Traffic,
}

impl Spread {
    /// Creates the actor of an instance.
    pub fn new(
        settings: settings::Spread,
        seeds: impl Iterator<Item = String>,
        around: Surroundings,
    ) -> Self {
        let now = Instant::now();
        let identity = &around.identity;
        let own = identity.instance().to_owned();
        let (run, place) = (identity.incarnation(), identity.place().clone());
        let membership = settings.membership();
        Self {
            roster: Roster::new(own.clone(), run, membership, now),
            lines: Lines::new(own.clone(), place.region.clone(), settings),
            book: Book::new(own.clone(), seeds, now),
            atlas: Atlas::new(place.clone(), now),
            targets: Table::new(settings.lease),
            renewals: Renewals::default(),
            digests: Digests::new(&own, run, place, settings.digest, now),
            bucket: Bucket::new(settings.bytes_per_second, now),
            promised: 0,
            published: Arc::default(),
            serving: IndexMap::new(),
            publishing: false,
            passing: false,
            raises: 0,
            started: now,
            swept: now,
            beats: 0,
            traffic: Traffic::default(),
            settings,
            around,
        }
    }

    fn tick(&mut self, context: &Context<Self>) {
        let now = Instant::now();
        self.begin(now);
        self.beat(now);
        self.sweep(now);
        self.publish_peers(now);
        self.speak(now);
        self.dial(context, now);
    }

    /// Starts a period. After a freeze all links are dropped: what waits in their sockets was sent
    /// during the freeze, and a lease in it would count from now instead of from then.
    fn begin(&mut self, now: Instant) {
        self.charge();
        if !self.roster.tick(now) {
            return;
        }
        let since = now.saturating_duration_since(self.swept);
        tracing::warn!(event = "frozen", millis = millis(since));
        self.swept = now;
        self.lines.clear();
        self.publish_targets(now);
        self.publish_peers(now);
    }

    /// Notices a freeze before the next period does: the messages that waited for its end may be
    /// handled before the timer.
    fn wake(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept) > self.settings.membership().freeze_threshold {
            self.begin(now);
        }
    }

    /// Charges what was sent since the last period to the budget and records it.
    fn charge(&mut self) {
        let around = &self.around;
        let sent = self.traffic.record(&around.identity, &around.recorder);
        self.bucket.charge(sent);
        self.promised = 0;
        let waiting = i64::try_from(self.digests.waiting()).unwrap_or(i64::MAX);
        if waiting > 0 {
            around.recorder.count("gossip.waiting.facts", waiting);
        }
    }

    fn beat(&mut self, now: Instant) {
        let view = self.around.board.view();
        let loads = self.loads(now);
        let zone = self.around.identity.place().clone();
        self.beats += 1;
        for (line, instance, place) in self.lines.peers() {
            if self.rests(line, &instance, &place, now) {
                continue;
            }
            let heartbeat = Heartbeat {
                beat: self.roster.heartbeat(&instance),
                revision: view.state.as_ref().map_or(0, |state| state.revision),
                draining: view.draining,
                load: self.around.board.load(),
                loads: if place == zone {
                    loads.clone()
                } else {
                    Vec::new()
                },
            };
            self.lines.send(line, gossip::Message::Heartbeat(heartbeat));
        }
    }

    /// Tells whether a peer gets no heartbeat this period. One of another region gets fewer, once it
    /// is known to be alive.
    fn rests(&self, line: Line, instance: &id::Instance, place: &Place, now: Instant) -> bool {
        let turn = (self.beats + line).is_multiple_of(u64::from(FAR));
        self.lines.is_far(place) && !turn && self.roster.is_alive(instance, now)
    }

    fn sweep(&mut self, now: Instant) {
        for gone in self.roster.sweep(now) {
            tracing::info!(event = "peer-forgotten", peer = gone);
        }
        self.lines.close_silent(now);
        let lines = &self.lines;
        self.book.sweep(|peer| lines.of(peer).is_some(), now);
        self.digests.sweep(now);
        if self.targets.sweep(self.swept, now) {
            self.publish_targets(now);
        }
        self.swept = now;
    }

    fn link(&mut self, link: Link, dialed: bool, context: &Context<Self>) {
        let now = Instant::now();
        let (peer, place) = (link.peer().instance.clone(), link.peer().place.clone());
        let Some(number) = self.lines.add(link, dialed, &context.address(), now) else {
            return;
        };
        self.book.linked(&peer, now);
        let peers = self.introduction(&place, now);
        self.lines.send(number, gossip::Message::Peers(peers));
        if place == *self.around.identity.place() {
            let reports = self.targets.reports(now);
            self.lines.send(number, gossip::Message::Targets(reports));
        }
    }

    fn receive(&mut self, line: Line, message: gossip::Message, now: Instant) {
        self.wake(now);
        let Some((peer, place)) = self.lines.heard(line, now) else {
            return;
        };
        match message {
            gossip::Message::Heartbeat(heartbeat) => {
                self.hear(line, (&peer, &place), &heartbeat, now);
                self.renew(&place, &heartbeat.loads, now);
            }
            gossip::Message::Stale(remembered) => self.raise(remembered),
            gossip::Message::Peers(peers) => self.meet(&peer, peers, now),
            gossip::Message::Targets(reports) => self.take(&place, reports, now),
            gossip::Message::Delta(news) => {
                self.passing |= self.digests.take(line, &place, news, now);
            }
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
        match message.result {
            Ok(link) => {
                if self.answers(&message.address, link.peer(), Instant::now()) {
                    self.link(link, true, context);
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
        let Received(line, message) = message;
        let (published, passed) = (self.publishing, self.passing);
        self.receive(line, message, Instant::now());
        if self.publishing && !published {
            context.notify_later(PublishTargets, COALESCE);
        }
        if self.passing && !passed {
            context.notify_later(PassOn, COALESCE);
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

impl Handler<PassOn> for Spread {
    type Result = ();

    fn handle(&mut self, _: PassOn, _: &mut Context<Self>) {
        self.pass_on(Instant::now());
    }
}

impl Handler<Announced> for Spread {
    type Result = Result<Lease, Problem>;

    fn handle(&mut self, message: Announced, context: &mut Context<Self>) -> Self::Result {
        let published = self.publishing;
        let lease = self.announce(message.0, Instant::now())?;
        if self.publishing && !published {
            context.notify_later(PublishTargets, COALESCE);
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
        self.lines.clear();
        context.stop();
    }
}
