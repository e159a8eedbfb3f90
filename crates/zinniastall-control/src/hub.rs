//! Links to gateway instances: what targets and instances report, passed on to all of them.
//!
//! A replica passes on what it heard itself, as it heard it; gateway instances keep links to all
//! replicas and merge. Nothing of it is in the replicated log: it is out of date within seconds and
//! would cost a sync for every heartbeat.
//!
//! Each link remembers up to which version it was told of each table, and gets what changed since, in one
//! frame a round. At rest that is nothing, and a change costs its own size on each link that needs it. What
//! every instance did to every other one on all links would grow with the square of their number.

mod frames;
mod history;
mod instances;
mod suspects;
mod targets;
mod vouching;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::Recipient;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::{
    sync::watch,
    time::{self, Instant},
};
use zinniastall_model::{
    id,
    presence::{Presence, RegionLoad},
    target::Report,
};
use zinniastall_wire::{
    feed::Feed,
    frame::Frame,
    hub::{Configuration, Message},
    link::{EncodedSender, Error, Link, Receiver, send_within},
};

use self::{
    frames::{Cache, Key},
    history::History,
    instances::Instances,
    suspects::Recorder,
    targets::{Targets, Versions},
    vouching::{Question, Rounds, Vouched},
};
use crate::control::{Vouch, Write};

/// Time between two rounds in which news are passed on: what a target says is in force long before its three
/// seconds of grace are over, and the heartbeats of a hundred targets take one frame instead of a hundred.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two messages on the load of regions. A region that is chosen by old news gets more than it
/// can take; a third of a second is what the trip to it takes as well.
const ROUNDS_PER_LOAD_UPDATE: u64 = 3;
/// Rounds between two messages on the targets of other regions.
const ROUNDS_PER_REMOTE_UPDATE: u64 = 10;
/// Time between two signs of life on a link.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a frame after which a link counts as cut: two signs of life were lost.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Questions of one link that may wait, the newest ones; an instance asks twice a second.
const MAX_QUESTIONS: usize = 4;

/// Number of a change to a table; 0 before the first one.
type Version = u64;
/// Number of a link.
type LinkNumber = u64;

/// What a replica heard from targets and gateway instances, and the links on which it passes that on.
#[derive(Debug, Clone)]
pub struct Hub {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    feed: watch::Receiver<Feed>,
    replicas: RefCell<Vec<String>>,
    targets: RefCell<Targets>,
    instances: RefCell<Instances>,
    loads: RefCell<Vec<RegionLoad>>,
    cache: Cache,
    history: RefCell<History>,
    vouching: Rounds,
    recorder: Recorder,
    round: watch::Sender<Round>,
    last_link: Cell<LinkNumber>,
}

/// What links are to be told of, by number of change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Round {
    targets: Version,
    remote_targets: Version,
    instances: Version,
    loads: Version,
    replicas: Version,
}

/// What one link was told, and what it wants to be told.
#[derive(Debug, Default)]
struct Cursor {
    region: id::Region,
    targets: Versions,
    replicas: Version,
    subscription: Option<Subscription>,
    questions: VecDeque<Question>,
    /// Revision of the last change of suspects that the link was told of.
    suspected: id::Revision,
}

/// What a subscriber was told.
#[derive(Debug, Clone, Copy, Default)]
struct Subscription {
    instances: Version,
    loads: Version,
}

impl Hub {
    /// Creates the hub of a replica that publishes its configuration in a feed.
    pub fn new(feed: watch::Receiver<Feed>) -> Self {
        let inner = Inner {
            feed,
            replicas: RefCell::default(),
            targets: RefCell::default(),
            instances: RefCell::default(),
            loads: RefCell::default(),
            cache: Cache::default(),
            history: RefCell::default(),
            vouching: Rounds::default(),
            recorder: Recorder::default(),
            round: watch::Sender::default(),
            last_link: Cell::new(0),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Notes a report; returns whether it was news.
    pub fn note(&self, report: Report) -> bool {
        self.inner.targets.borrow_mut().note(report)
    }

    /// Notes that a target has signed off.
    pub fn leave(&self, target: &str) {
        self.inner.targets.borrow_mut().leave(target);
    }

    /// Returns the last reports of the targets that take requests and have reported within a time.
    pub fn ready(&self, within: Duration) -> Vec<Report> {
        self.inner.targets.borrow().ready(within)
    }

    /// Sets the addresses of the group's links.
    pub fn set_replicas(&self, replicas: Vec<String>) {
        if *self.inner.replicas.borrow() == replicas {
            return;
        }
        self.inner.replicas.replace(replicas);
        self.inner.round.send_modify(|round| round.replicas += 1);
    }

    /// Returns the gateway instances that are linked with this replica.
    pub fn instances(&self) -> Vec<Presence> {
        let instances = self.inner.instances.borrow();
        instances.iter().cloned().collect()
    }

    /// Returns how many gateway instances are linked with this replica.
    pub fn linked(&self) -> usize {
        self.inner.instances.borrow().len()
    }

    /// Returns how many requests are not run any more, as the group has committed it.
    pub fn quarantined(&self) -> usize {
        self.inner.feed.borrow().state().quarantined().count()
    }

    /// Passes news on, round by round, for ever.
    pub async fn run(self) {
        let mut tick = time::interval(ROUND_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        for number in 0.. {
            tick.tick().await;
            self.inner.publish_round(number);
        }
    }

    /// Asks the group through its actor which revision it has reached, whenever an instance wants to know.
    pub async fn vouch(self, group: Recipient<Vouch>) {
        self.inner.vouching.run(group).await;
    }

    /// Has the group keep what instances report of requests that aren't run any more.
    pub async fn record_suspects(self, group: Recipient<Write>) {
        self.inner
            .recorder
            .run(group, self.inner.feed.clone())
            .await;
    }

    /// Serves one gateway instance until its link breaks or falls silent.
    pub async fn serve(self, link: Link) {
        let peer = link.peer().instance.clone();
        let number = self.inner.last_link.get() + 1;
        self.inner.last_link.set(number);
        tracing::info!(event = "gateway-linked", peer);
        let error = self.inner.serve_link(link, number).await;
        self.inner.instances.borrow_mut().disconnect(number);
        tracing::info!(event = "gateway-gone", peer, error = %error);
    }
}

impl Inner {
    async fn serve_link(&self, link: Link, number: LinkNumber) -> Error {
        let mut cursor = Cursor {
            region: link.peer().place.region.clone(),
            ..Cursor::default()
        };
        let (mut sender, mut receiver) = link.split_encoded();
        let ended = self
            .exchange(&mut sender, &mut receiver, &mut cursor, number)
            .await;
        ended.err().unwrap_or(Error::Closed)
    }

    async fn exchange(
        &self,
        sender: &mut EncodedSender,
        receiver: &mut Receiver,
        cursor: &mut Cursor,
        number: LinkNumber,
    ) -> Result<(), Error> {
        let mut feed = self.feed.clone();
        let mut round = self.round.subscribe();
        let mut vouched = self.vouching.subscribe();
        let mut keepalive = time::interval(KEEPALIVE_INTERVAL);
        let mut idle_deadline = Instant::now() + IDLE_TIMEOUT;
        let mut frames = vec![self.reached()?];
        frames.extend(self.updates(cursor, true)?);
        frames.extend(self.suspects(cursor)?);
        loop {
            for bytes in frames.drain(..) {
                send_within(sender, bytes, IDLE_TIMEOUT).await?;
            }
            tokio::select! {
                // A frame that came while this end was sending speaks against silence.
                biased;
                frame = receiver.next() => {
                    idle_deadline = Instant::now() + IDLE_TIMEOUT;
                    let Frame::Hub(message) = frame.ok_or(Error::Closed)?? else {
                        return Err(Error::Handshake);
                    };
                    frames.extend(self.handle_message(message, cursor, number)?);
                }
                changed = feed.changed() => {
                    changed.map_err(|_| Error::Closed)?;
                    frames.push(self.reached()?);
                    frames.extend(self.suspects(cursor)?);
                }
                changed = round.changed() => {
                    changed.map_err(|_| Error::Closed)?;
                    round.mark_unchanged();
                    frames.extend(self.updates(cursor, false)?);
                }
                changed = vouched.changed() => {
                    changed.map_err(|_| Error::Closed)?;
                    let vouched = *vouched.borrow_and_update();
                    frames.extend(answer(cursor, vouched)?);
                }
                _ = keepalive.tick() => frames.push(self.reached()?),
                // TCP goes on trying for minutes where a network swallows everything.
                () = time::sleep_until(idle_deadline) => return Err(Error::Closed),
            }
            feed.mark_unchanged();
        }
    }

    /// Takes a message in; returns what is to be sent for it.
    fn handle_message(
        &self,
        message: Message,
        cursor: &mut Cursor,
        number: LinkNumber,
    ) -> Result<Vec<Bytes>, Error> {
        match message {
            Message::Present(presence) => {
                self.instances.borrow_mut().note(presence, number);
                Ok(Vec::new())
            }
            Message::Fetch(held) => Ok(self.configuration(held)?.into_iter().collect()),
            Message::ReadIndex(stamp) => {
                let round = self.vouching.ask();
                cursor.questions.push_back(Question { stamp, round });
                let surplus = cursor.questions.len().saturating_sub(MAX_QUESTIONS);
                cursor.questions.drain(..surplus);
                Ok(Vec::new())
            }
            Message::Suspects(suspects) => {
                self.recorder.report(suspects);
                Ok(Vec::new())
            }
            Message::Subscribe(true) => {
                cursor.subscription.get_or_insert_default();
                self.updates(cursor, false)
            }
            Message::Subscribe(false) => {
                cursor.subscription = None;
                Ok(Vec::new())
            }
            _ => Ok(Vec::new()),
        }
    }

    /// Settles what links are told in this round, and wakes them if that is anything.
    fn publish_round(&self, number: u64) {
        self.targets.borrow_mut().expire();
        self.cache.next_round(self.feed.borrow().state().revision);
        let loads_changed = number.is_multiple_of(ROUNDS_PER_LOAD_UPDATE) && self.update_loads();
        let targets = self.targets.borrow().version();
        let instances = self.instances.borrow().version();
        self.round.send_if_modified(|round| {
            let before = *round;
            round.targets = targets;
            round.instances = instances;
            if number.is_multiple_of(ROUNDS_PER_REMOTE_UPDATE) {
                round.remote_targets = targets;
            }
            if loads_changed {
                round.loads += 1;
            }
            *round != before
        });
    }

    /// Sums the loads of regions; tells whether they have changed.
    fn update_loads(&self) -> bool {
        let loads = self.instances.borrow().loads();
        let before = self.loads.replace(loads);
        *self.loads.borrow() != before
    }

    /// Returns the frames with what a link doesn't know yet.
    fn updates(&self, cursor: &mut Cursor, is_first: bool) -> Result<Vec<Bytes>, Error> {
        let round = *self.round.borrow();
        let mut frames = Vec::new();
        if is_first || cursor.replicas < round.replicas {
            cursor.replicas = round.replicas;
            let replicas = self.replicas.borrow().clone();
            frames.push(encode(Message::Replicas(replicas))?);
        }
        let include_remote = is_first || cursor.targets.remote < round.remote_targets;
        if include_remote || cursor.targets.local < round.targets {
            frames.extend(self.targets(cursor, include_remote)?);
        }
        let Some(subscription) = &mut cursor.subscription else {
            return Ok(frames);
        };
        if subscription.instances == 0 || subscription.instances < round.instances {
            frames.extend(self.instances(subscription)?);
        }
        if subscription.loads < round.loads {
            subscription.loads = round.loads;
            let loads = || Some(Message::Loads(self.loads.borrow().clone()));
            frames.extend(self.cache.get(Key::Loads, loads)?);
        }
        Ok(frames)
    }

    fn targets(&self, cursor: &mut Cursor, include_remote: bool) -> Result<Option<Bytes>, Error> {
        let targets = self.targets.borrow();
        let (seen, version) = (cursor.targets, targets.version());
        let key = Key::Targets {
            region: cursor.region.clone(),
            seen,
            include_remote,
            version,
        };
        let reports = || {
            let reports = targets.since(seen, &cursor.region, include_remote);
            (!reports.is_empty()).then_some(Message::Targets(reports))
        };
        let bytes = self.cache.get(key, reports)?;
        cursor.targets.local = version;
        if include_remote {
            cursor.targets.remote = version;
        }
        Ok(bytes)
    }

    fn instances(&self, subscription: &mut Subscription) -> Result<Option<Bytes>, Error> {
        let instances = self.instances.borrow();
        let (seen, version) = (subscription.instances, instances.version());
        subscription.instances = version;
        let changes = || Some(Message::Instances(instances.since(seen)));
        let key = Key::Instances { seen, version };
        Ok(self.cache.get(key, changes)?)
    }

    fn reached(&self) -> Result<Bytes, Error> {
        let state = Arc::clone(self.feed.borrow().state());
        let revision = state.revision;
        self.history.borrow_mut().note(state);
        encode(Message::Reached(revision))
    }

    /// Returns what the group holds of requests that aren't run any more, where a link doesn't know it yet.
    fn suspects(&self, cursor: &mut Cursor) -> Result<Option<Bytes>, Error> {
        let state = Arc::clone(self.feed.borrow().state());
        if cursor.suspected >= state.suspected {
            return Ok(None);
        }
        cursor.suspected = state.suspected;
        let suspects = || {
            let held = state.suspects.iter();
            let held = held.map(|(request, suspicion)| (*request, suspicion.clone()));
            Some(Message::Suspects(held.collect()))
        };
        Ok(self.cache.get(Key::Suspects(state.suspected), suspects)?)
    }

    /// Returns the configuration, as changes of the one that an instance holds if that is remembered.
    fn configuration(&self, held: id::Revision) -> Result<Option<Bytes>, Error> {
        let state = Arc::clone(self.feed.borrow().state());
        let before = self.history.borrow().before(held, &state);
        if let Some(before) = before {
            let key = Key::Changes {
                from: held,
                revision: state.revision,
            };
            let message = || {
                let changes = history::changes(&before, &state)?;
                Some(Message::Changes(Box::new(changes)))
            };
            return Ok(self.cache.get(key, message)?);
        }
        let configuration = || {
            let table = state.routing.as_ref().map(|held| held.table.clone());
            Some(Message::Configuration(Box::new(Configuration {
                revision: state.revision,
                table,
                evacuated: state.evacuated.iter().cloned().collect(),
            })))
        };
        let key = Key::Configuration(state.revision);
        Ok(self.cache.get(key, configuration)?)
    }
}

/// Answers the newest of a link's questions that a round of the group has answered.
fn answer(cursor: &mut Cursor, vouched: Vouched) -> Result<Option<Bytes>, Error> {
    let mut answered = None;
    while let Some(question) = cursor.questions.front()
        && question.round <= vouched.round
    {
        answered = cursor.questions.pop_front();
    }
    let message = answered.map(|question| Message::ReadIndexAnswer {
        stamp: question.stamp,
        revision: vouched.revision,
    });
    message.map(encode).transpose()
}

fn encode(message: Message) -> Result<Bytes, Error> {
    Ok(Bytes::from(Frame::Hub(message).encode()?))
}
