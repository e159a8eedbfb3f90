//! Links to gateway instances: what targets and instances say, passed on to all of them.
//!
//! A replica passes on what it heard itself, as it heard it; gateway instances keep links to all
//! replicas and merge. Nothing of it is in the replicated log: it is out of date within seconds and
//! would cost a sync for every heartbeat.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_util::StreamExt;
use indexmap::{IndexMap, IndexSet};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};
use zinniastall_model::{
    id,
    presence::{Load, Presence, RegionLoad},
    target::{Report, State},
};
use zinniastall_settings::process::incarnation;
use zinniastall_wire::{
    feed::Feed,
    frame::Frame,
    hub::{Configuration, Message, log_report},
    link::{Error, Link, send_within},
};

/// Time between two rounds in which news of targets are passed on: what a target says is in force
/// long before its three seconds of grace are over, and the heartbeats of a hundred targets take one
/// frame instead of a hundred.
const ROUND: Duration = Duration::from_millis(100);
/// Time after which a report that says nothing new is passed on all the same, as a sign of life. Passing on
/// each heartbeat of 140 targets to 95 instances would take 2.6 MB a second; this takes a third of that.
const AGAIN: Duration = Duration::from_secs(3);
/// Rounds between two words on the load of regions. A region that is chosen by old news gets more than it
/// can take; a third of a second is what the trip to it takes as well.
const LOADS: u32 = 3;
/// Time between two signs of life on a link.
const ALIVE: Duration = Duration::from_secs(1);
/// Time without a frame after which a link counts as cut: two signs of life were lost.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Messages that may wait for one link; an instance that is further behind starts anew.
const QUEUE: usize = 256;
/// Age at which a report is forgotten. Instances have stopped trusting it long before.
const STALE: Duration = Duration::from_secs(30);
/// Most targets kept; one replica hears a few thousand at the size this is built for.
const TARGETS: usize = 20_000;

/// What a replica heard from targets and gateway instances, and the links on which it tells.
#[derive(Debug, Clone)]
pub struct Hub {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    feed: watch::Receiver<Feed>,
    replicas: RefCell<Vec<String>>,
    targets: RefCell<IndexMap<id::Target, Held>>,
    news: RefCell<IndexSet<id::Target>>,
    instances: RefCell<IndexMap<id::Instance, Present>>,
    instances_changed: Cell<bool>,
    links: RefCell<IndexMap<u64, mpsc::Sender<Message>>>,
    last_link: Cell<u64>,
}

#[derive(Debug)]
struct Held {
    report: Report,
    heard: Instant,
    passed: Instant,
}

#[derive(Debug)]
struct Present {
    presence: Presence,
    link: u64,
}

impl Hub {
    /// Creates the hub of a replica that publishes its configuration in a feed.
    pub fn new(feed: watch::Receiver<Feed>) -> Self {
        let inner = Inner {
            feed,
            replicas: RefCell::default(),
            targets: RefCell::default(),
            news: RefCell::default(),
            instances: RefCell::default(),
            instances_changed: Cell::new(false),
            links: RefCell::default(),
            last_link: Cell::new(0),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Notes a report; returns whether it was news.
    pub fn note(&self, report: Report) -> bool {
        let mut targets = self.inner.targets.borrow_mut();
        let held = targets.get(&report.target);
        if held.is_some_and(|held| !report.replaces(&held.report)) {
            return false;
        }
        if held.is_none() && targets.len() >= TARGETS {
            tracing::warn!(
                event = "target-dropped",
                target = report.target,
                reason = "table full"
            );
            return false;
        }
        if held.is_none_or(|held| held.report.state != report.state) {
            log_report(&report, None);
        }
        let heard = Instant::now();
        let passed = held
            .filter(|held| !held.report.differs(&report))
            .map(|held| held.passed);
        let passed = passed.filter(|passed| *passed + AGAIN > heard);
        if passed.is_none() {
            self.inner.news.borrow_mut().insert(report.target.clone());
        }
        let held = Held {
            passed: passed.unwrap_or(heard),
            report,
            heard,
        };
        targets.insert(held.report.target.clone(), held);
        true
    }

    /// Notes that a target has signed off.
    ///
    /// One that reported to other replicas so far isn't known here. Its run has begun before now, and
    /// a later run will have a later number.
    pub fn leave(&self, target: &str) {
        let known = {
            let targets = self.inner.targets.borrow();
            targets.get(target).map(|held| held.report.clone())
        };
        let report = known.unwrap_or_else(|| Report {
            target: target.to_owned(),
            incarnation: incarnation(),
            sequence: 0,
            service: String::new(),
            address: String::new(),
            place: zinniastall_model::place::Place::new("", ""),
            slots: 0,
            state: State::Gone,
            cold_ms: 0,
            left_ms: None,
            age_ms: 0,
        });
        self.note(Report {
            state: State::Gone,
            ..report
        });
    }

    /// Returns the last reports of the targets that take requests and have reported within a time.
    pub fn ready(&self, within: Duration) -> Vec<Report> {
        let targets = self.inner.targets.borrow();
        let fresh = targets
            .values()
            .filter(|held| held.heard.elapsed() < within);
        let reports = fresh.map(|held| &held.report);
        let ready = reports.filter(|report| report.state == State::Ready);
        ready.cloned().collect()
    }

    /// Sets the addresses of the group's links.
    pub fn set_replicas(&self, replicas: Vec<String>) {
        if *self.inner.replicas.borrow() == replicas {
            return;
        }
        self.inner.replicas.replace(replicas.clone());
        self.inner.broadcast(&Message::Replicas(replicas));
    }

    /// Returns the gateway instances that are linked with this replica.
    pub fn instances(&self) -> Vec<Presence> {
        self.inner.presences()
    }

    /// Returns how many gateway instances are linked with this replica.
    pub fn linked(&self) -> usize {
        self.inner.instances.borrow().len()
    }

    /// Passes news on, round by round, for ever.
    pub async fn run(self) {
        let mut round = time::interval(ROUND);
        round.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        for number in (0..LOADS).cycle() {
            round.tick().await;
            self.inner.pass_on();
            if number == 0 {
                self.inner.tell_loads();
            }
        }
    }

    /// Serves one gateway instance until its link breaks or falls silent.
    pub async fn serve(self, link: Link) {
        let peer = link.peer().instance.clone();
        let number = self.inner.last_link.get() + 1;
        self.inner.last_link.set(number);
        let (queue, messages) = mpsc::channel(QUEUE);
        self.inner.links.borrow_mut().insert(number, queue);
        tracing::info!(event = "gateway-linked", peer);
        let error = self.inner.attend(link, number, messages).await;
        self.inner.forget(number);
        tracing::info!(event = "gateway-gone", peer, error = %error);
    }
}

impl Inner {
    async fn attend(
        &self,
        link: Link,
        number: u64,
        mut messages: mpsc::Receiver<Message>,
    ) -> Error {
        let (mut sender, mut receiver) = link.split();
        let mut feed = self.feed.clone();
        let mut alive = time::interval(ALIVE);
        let mut silent = Instant::now() + SILENCE;
        for message in self.first() {
            if let Err(error) = send_within(&mut sender, Frame::Hub(message), SILENCE).await {
                return error;
            }
        }
        loop {
            let message = tokio::select! {
                frame = receiver.next() => {
                    silent = Instant::now() + SILENCE;
                    match frame {
                        Some(Ok(Frame::Hub(message))) => match self.heard(message, number) {
                            Some(answer) => answer,
                            None => continue,
                        },
                        Some(Ok(_)) => return Error::Handshake,
                        Some(Err(error)) => return error,
                        None => return Error::Closed,
                    }
                }
                message = messages.recv() => match message {
                    Some(message) => message,
                    None => return Error::Closed,
                },
                changed = feed.changed() => match changed {
                    Ok(()) => self.reached(),
                    Err(_) => return Error::Closed,
                },
                _ = alive.tick() => self.reached(),
                // TCP goes on trying for minutes where a network swallows everything.
                () = time::sleep_until(silent) => return Error::Closed,
            };
            feed.mark_unchanged();
            if let Err(error) = send_within(&mut sender, Frame::Hub(message), SILENCE).await {
                return error;
            }
        }
    }

    /// Returns what a new link is told first.
    fn first(&self) -> [Message; 4] {
        [
            self.reached(),
            Message::Replicas(self.replicas.borrow().clone()),
            Message::Targets(self.reports(|_| true)),
            Message::Instances(self.presences()),
        ]
    }

    fn heard(&self, message: Message, link: u64) -> Option<Message> {
        match message {
            Message::Present(presence) => self.note_presence(presence, link),
            Message::Fetch => return Some(self.configuration()),
            _ => {}
        }
        None
    }

    fn note_presence(&self, presence: Presence, link: u64) {
        let mut instances = self.instances.borrow_mut();
        let held = instances.get(&presence.instance);
        // Two links of one instance overlap while a restart replaces a run that ended silently.
        if held.is_some_and(|held| held.presence.incarnation > presence.incarnation) {
            return;
        }
        if held.is_none_or(|held| held.presence.differs(&presence)) {
            self.instances_changed.set(true);
        }
        let name = presence.instance.clone();
        instances.insert(name, Present { presence, link });
    }

    fn forget(&self, link: u64) {
        self.links.borrow_mut().swap_remove(&link);
        let mut instances = self.instances.borrow_mut();
        let before = instances.len();
        instances.retain(|_, present| present.link != link);
        if instances.len() < before {
            self.instances_changed.set(true);
        }
    }

    fn pass_on(&self) {
        let news = self.news.take();
        if !news.is_empty() {
            let reports = self.reports(|target| news.contains(target));
            self.broadcast(&Message::Targets(reports));
        }
        if self.instances_changed.replace(false) {
            self.broadcast(&Message::Instances(self.presences()));
        }
        let mut targets = self.targets.borrow_mut();
        targets.retain(|_, held| held.heard.elapsed() < STALE);
    }

    /// Tells the load of each region, as the instances' sum: what each of a hundred instances has would be
    /// twenty kilobytes a second on each of their links.
    fn tell_loads(&self) {
        let mut sums: IndexMap<(id::Region, id::Service), Load> = IndexMap::new();
        for present in self.instances.borrow().values() {
            for load in &present.presence.load {
                let key = (present.presence.place.region.clone(), load.service.clone());
                let sum = sums.entry(key).or_insert_with(|| Load {
                    service: load.service.clone(),
                    flights: 0,
                    reading_us: 0,
                });
                sum.flights += load.flights;
                sum.reading_us += load.reading_us;
            }
        }
        let loads = sums
            .into_iter()
            .map(|((region, _), load)| RegionLoad { region, load });
        self.broadcast(&Message::Loads(loads.collect()));
    }

    /// Queues a message on every link, and ends those that are too far behind.
    fn broadcast(&self, message: &Message) {
        let mut links = self.links.borrow_mut();
        links.retain(|_, queue| queue.try_send(message.clone()).is_ok());
    }

    fn reached(&self) -> Message {
        Message::Reached(self.feed.borrow().state().revision)
    }

    fn configuration(&self) -> Message {
        let state = std::sync::Arc::clone(self.feed.borrow().state());
        let table = state.routing.as_ref().map(|held| held.table.clone());
        Message::Configuration(Box::new(Configuration {
            revision: state.revision,
            table,
            evacuated: state.evacuated.iter().cloned().collect(),
        }))
    }

    fn reports(&self, wanted: impl Fn(&str) -> bool) -> Vec<Report> {
        let targets = self.targets.borrow();
        let wanted = targets.values().filter(|held| wanted(&held.report.target));
        let aged = wanted.map(|held| {
            let age = held.heard.elapsed().as_millis();
            let mut report = held.report.clone();
            report.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            report
        });
        aged.collect()
    }

    fn presences(&self) -> Vec<Presence> {
        let instances = self.instances.borrow();
        let presences = instances.values().map(|present| Presence {
            load: Vec::new(),
            ..present.presence.clone()
        });
        presences.collect()
    }
}
