//! Links to gateway instances: forwards the reports of targets and instances to all of them.
//!
//! A replica forwards only the reports that it received itself, unchanged; gateway instances link
//! to all replicas and merge what they receive. None of this is in the replicated log: it is
//! outdated within seconds, and every heartbeat would cost a sync.
//!
//! Each link records the version of each table that it last sent, and sends only later changes, in
//! one frame per round. An idle system sends nothing, and a change costs its own size on each link
//! that needs it. If every instance's events were sent to every other instance on all links, the
//! traffic would grow with the square of their number.

mod frames;
mod history;
mod instances;
mod read_index;
mod suspects;
mod targets;
mod versions;

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
    fingerprint::Suspect,
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
    read_index::{Answer, Question, Rounds},
    suspects::Recorder,
    targets::{Targets, Versions},
    versions::Announcer,
};
use crate::{
    control::{ReadIndex, Write},
    limits::Board,
    reach,
};

/// Time between two rounds in which changes are sent. It is far below the three seconds within
/// which an announcement has to take effect, and batches the heartbeats of a hundred targets into
/// one frame.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two messages with the load of regions. A region that is selected by outdated load
/// gets more requests than it can take. An update every third of a second is as frequent as useful,
/// since a request takes about that long to reach the region.
const ROUNDS_PER_LOAD_UPDATE: u64 = 3;
/// Rounds between two messages with the targets of other regions.
const ROUNDS_PER_REMOTE_UPDATE: u64 = 10;
/// Time between two keepalive messages on a link.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a frame after which a link counts as broken: two keepalives were lost.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Questions of one link that may wait; the newest ones are kept. An instance asks twice a second.
const MAX_QUESTIONS: usize = 4;

/// Number of a change to a table; 0 before the first change.
type Version = u64;
/// Number of a link.
type LinkNumber = u64;

/// Reports of targets and gateway instances that a replica received, and the links that forward
/// them.
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
    read_index: Rounds,
    recorder: Recorder,
    announcer: Announcer,
    limits: Board,
    reach: reach::Board,
    round: watch::Sender<Round>,
    last_link: Cell<LinkNumber>,
}

/// Versions of the tables that all links should have sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Round {
    targets: Version,
    remote_targets: Version,
    instances: Version,
    loads: Version,
    replicas: Version,
}

/// What one link has sent, and what it subscribes to.
#[derive(Debug, Default)]
struct Cursor {
    region: id::Region,
    targets: Versions,
    replicas: Version,
    subscription: Option<Subscription>,
    questions: VecDeque<Question>,
    /// Revision of the last change of suspects that the link has sent.
    suspected: id::Revision,
}

/// Versions that a subscriber has been sent.
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
            read_index: Rounds::default(),
            recorder: Recorder::default(),
            announcer: Announcer::default(),
            limits: Board::default(),
            reach: reach::Board::default(),
            round: watch::Sender::default(),
            last_link: Cell::new(0),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Returns the targets that instances don't reach, as they report them.
    pub fn reach(&self) -> &reach::Board {
        &self.inner.reach
    }

    /// Returns the rates that targets name, as instances report them.
    pub fn limits(&self) -> &Board {
        &self.inner.limits
    }

    /// Records a target's report; returns whether it added anything.
    pub fn note(&self, report: Report) -> bool {
        self.inner.targets.borrow_mut().note(report)
    }

    /// Records that a target has signed off; returns the report that tells other replicas, or `None`
    /// if there is no room for it.
    pub fn leave(&self, target: &str) -> Option<Report> {
        self.inner.targets.borrow_mut().leave(target)
    }

    /// Returns the latest reports of the targets that accept requests and have reported within a
    /// time.
    pub fn ready(&self, within: Duration) -> Vec<Report> {
        self.inner.targets.borrow().ready(within)
    }

    /// Sets the link addresses of the group's replicas.
    pub fn set_replicas(&self, replicas: Vec<String>) {
        if *self.inner.replicas.borrow() == replicas {
            return;
        }
        self.inner.replicas.replace(replicas);
        self.inner.round.send_modify(|round| round.replicas += 1);
    }

    /// Returns the gateway instances that are linked to this replica.
    pub fn instances(&self) -> Vec<Presence> {
        let instances = self.inner.instances.borrow();
        instances.iter().cloned().collect()
    }

    /// Returns the number of gateway instances that are linked to this replica.
    pub fn linked(&self) -> usize {
        self.inner.instances.borrow().len()
    }

    /// Returns the number of requests that the group has committed as quarantined.
    pub fn quarantined(&self) -> usize {
        self.inner.feed.borrow().state().quarantined().count()
    }

    /// Sends changes, round by round, forever.
    pub async fn run(self) {
        let mut tick = time::interval(ROUND_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        for number in 0.. {
            tick.tick().await;
            self.inner.publish_round(number);
        }
    }

    /// Asks the group, through its actor, which revision it has reached whenever an instance wants
    /// to know.
    pub async fn read_index(self, group: Recipient<ReadIndex>) {
        self.inner.read_index.run(group).await;
    }

    /// Has the group record the suspected requests that instances report.
    pub async fn record_suspects(self, group: Recipient<Write>) {
        self.inner
            .recorder
            .run(group, self.inner.feed.clone())
            .await;
    }

    /// Has the group agree on the software versions that targets state.
    pub async fn agree_on_versions(self, group: Recipient<Write>) {
        self.inner
            .announcer
            .run(group, self.inner.feed.clone())
            .await;
    }

    /// Reports suspected requests for the group to record.
    pub fn report_suspects(&self, suspects: Vec<Suspect>) {
        self.inner.recorder.report(suspects);
    }

    /// Serves one gateway instance until its link breaks or stays silent for too long.
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
        let mut read_index = self.read_index.subscribe();
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
                // Frames first: one that arrived while this end was sending shows that the link is
                // alive.
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
                changed = read_index.changed() => {
                    changed.map_err(|_| Error::Closed)?;
                    let read_index = *read_index.borrow_and_update();
                    frames.extend(answer(cursor, read_index)?);
                }
                _ = keepalive.tick() => frames.push(self.reached()?),
                // Where a network drops all packets, TCP keeps retrying for minutes.
                () = time::sleep_until(idle_deadline) => return Err(Error::Closed),
            }
            feed.mark_unchanged();
        }
    }

    /// Handles a message; returns the frames to send in response.
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
                let round = self.read_index.ask();
                cursor.questions.push_back(Question { stamp, round });
                let surplus = cursor.questions.len().saturating_sub(MAX_QUESTIONS);
                cursor.questions.drain(..surplus);
                Ok(Vec::new())
            }
            Message::Suspects(suspects) => {
                self.recorder.report(suspects);
                Ok(Vec::new())
            }
            Message::Versions(stated) => {
                self.announcer.hear(stated);
                Ok(Vec::new())
            }
            Message::Limits(reported) => {
                self.limits.hear(reported, std::time::Instant::now());
                Ok(Vec::new())
            }
            Message::Unreached(report) => {
                self.reach.hear(report, std::time::Instant::now());
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

    /// Determines what links are sent in this round, and wakes them if there is anything to send.
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

    /// Sums the loads of regions; returns whether they have changed.
    fn update_loads(&self) -> bool {
        let loads = self.instances.borrow().loads();
        let before = self.loads.replace(loads);
        *self.loads.borrow() != before
    }

    /// Returns the frames with the changes that a link has not been sent yet.
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

    /// Returns the group's suspected requests if a link has not been sent them yet.
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

    /// Returns the configuration: as changes if the revision that the instance holds is in the
    /// history, otherwise as a whole.
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
                versions: Some(state.versions.clone()),
            })))
        };
        let key = Key::Configuration(state.revision);
        Ok(self.cache.get(key, configuration)?)
    }
}

/// Answers the newest of a link's questions that a round has answered.
fn answer(cursor: &mut Cursor, read_index: Answer) -> Result<Option<Bytes>, Error> {
    let mut answered = None;
    while let Some(question) = cursor.questions.front()
        && question.round <= read_index.round
    {
        answered = cursor.questions.pop_front();
    }
    let message = answered.map(|question| Message::ReadIndexAnswer {
        stamp: question.stamp,
        revision: read_index.revision,
    });
    message.map(encode).transpose()
}

fn encode(message: Message) -> Result<Bytes, Error> {
    Ok(Bytes::from(Frame::Hub(message).encode()?))
}
