//! Links to the control replicas, and the only place that publishes a new view.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::StreamExt;
use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
    time,
};
use zinniastall_coord::retry::{Division, Share};
use zinniastall_model::{id, place::Place, presence::Presence};
use zinniastall_wire::{
    frame::Frame,
    hello::Hello,
    hub::{Configuration, Message, Stamp, log_report},
    link::{Error, Link, send_within},
};

use crate::{
    clock,
    cluster_state::{Replica, State},
    config_fetch::Fetch,
    freshness::{Freshness, Trust},
    request_log::millis,
    view::{Shared, View},
};

/// Interval of heartbeats to replicas, each of which carries the current load.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a frame after which a link counts as broken; by then two of the replica's
/// heartbeats were missed.
const LINK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for opening a link.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial and maximum backoff after a failed dial. A replica that restarts is back within half a
/// second.
const REDIAL_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(800));
/// Delay before a configuration is fetched from another region. Replicas of this region usually
/// learn of it within one heartbeat of the leader, and fetching from them keeps tables off the
/// links between regions.
const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(250);
/// Interval at which the view is rebuilt for changes that only time brings, such as the end of a
/// cold start.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which news of targets and instances is collected before a view is built. Six replicas
/// each forward news ten times a second, and a view for every frame would take more of a small
/// instance's CPU than its requests do.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Age of the last confirmation at which all replicas are asked for the next one, not only the
/// nearest.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Least number of replicas that are subscribed to for the list of instances: the second one covers
/// for the first while that restarts or is cut off from some instances.
const MIN_SUBSCRIPTIONS: usize = 2;
/// Replicas that are asked whether the configuration is the newest.
const CONFIRMING_REPLICAS: usize = 2;

/// Function that returns the current presence of this instance.
pub type PresenceSource = Rc<dyn Fn() -> Presence>;

/// Links to all known control replicas.
pub struct Uplinks {
    hello: Hello,
    presence: PresenceSource,
    cluster: RefCell<State>,
    division: RefCell<Division>,
    state: Shared,
    tasks: RefCell<IndexMap<Replica, JoinHandle<()>>>,
    seeds: RefCell<Vec<Replica>>,
    replica_lists: RefCell<IndexMap<Replica, Vec<Replica>>>,
    latest_revisions: RefCell<IndexMap<Replica, id::Revision>>,
    linked: RefCell<IndexMap<Replica, Place>>,
    presence_changed: Notify,
    sources_changed: Notify,
    fetch: RefCell<Fetch>,
    fetch_ended: Notify,
    freshness: RefCell<Freshness>,
    trust: Cell<Trust>,
    view_stale: Notify,
    /// Versions that the group lacked when the last view was published.
    lacking: watch::Sender<IndexSet<Name>>,
}

/// A software version of a service.
type Name = (id::Service, id::Version);

impl std::fmt::Debug for Uplinks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Uplinks")
            .field("seeds", &self.seeds)
            .finish_non_exhaustive()
    }
}

impl Uplinks {
    /// Starts links to the seeds.
    pub fn start(
        hello: Hello,
        presence: PresenceSource,
        (cluster, division): (State, Division),
        state: Shared,
        seeds: Vec<Replica>,
    ) -> Rc<Self> {
        let uplinks = Rc::new(Self {
            hello,
            presence,
            cluster: RefCell::new(cluster),
            division: RefCell::new(division),
            state,
            tasks: RefCell::default(),
            seeds: RefCell::new(seeds),
            replica_lists: RefCell::default(),
            latest_revisions: RefCell::default(),
            linked: RefCell::default(),
            presence_changed: Notify::new(),
            sources_changed: Notify::new(),
            fetch: RefCell::default(),
            fetch_ended: Notify::new(),
            freshness: RefCell::default(),
            trust: Cell::new(Trust::Unconfirmed),
            view_stale: Notify::new(),
            lacking: watch::Sender::default(),
        });
        uplinks.update_links();
        actix::spawn(Rc::clone(&uplinks).refresh());
        uplinks
    }

    /// Replaces the seeds, when the settings have changed.
    pub fn reseed(self: &Rc<Self>, seeds: Vec<Replica>) {
        if *self.seeds.borrow() == seeds {
            return;
        }
        tracing::info!(event = "seeds-changed", seeds = seeds.join(","));
        self.seeds.replace(seeds);
        self.update_links();
    }

    /// Sends the presence of this instance to all replicas at once.
    pub fn announce(&self) {
        self.presence_changed.notify_waiters();
    }

    async fn refresh(self: Rc<Self>) {
        let mut tick = time::interval(REFRESH_INTERVAL);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = self.view_stale.notified() => time::sleep(BATCH_DELAY).await,
            }
            self.note_trust();
            self.publish();
        }
    }

    fn publish(&self) {
        let now = Instant::now();
        let mut cluster = self.cluster.borrow_mut();
        cluster.set_departures(self.state.departures().load_full());
        let mut view = cluster.view(now);
        drop(cluster);
        view.retry_share = self.retry_share(&view, now);
        log_instances(&self.state.view(), &view);
        let lacking = lacking_versions(&view);
        self.state.publish(view);
        self.lacking.send_if_modified(|before| {
            let has_new = !lacking.is_subset(before);
            *before = lacking;
            has_new
        });
    }

    /// Returns the share of the fixed number of retries that this instance holds.
    fn retry_share(&self, view: &View, now: Instant) -> Option<Share> {
        let known = self.tasks.borrow().len();
        let is_in_touch = self.linked.borrow().len() > known / 2;
        let instances = view.instances.by_name();
        let is_listed = instances.contains_key(&view.instance);
        let count = instances.len() + usize::from(!is_listed);
        let mut division = self.division.borrow_mut();
        let before = division.whole();
        division.observe(is_in_touch, count, now);
        let instances = division.whole();
        if instances != before {
            tracing::info!(event = "retry-share", instances, is_in_touch);
        }
        division.share()
    }

    /// Keeps a link to each seed and to each replica in any replica's list.
    fn update_links(self: &Rc<Self>) {
        let mut wanted: Vec<Replica> = self.seeds.borrow().clone();
        for list in self.replica_lists.borrow().values() {
            wanted.extend(list.iter().cloned());
        }
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|replica, task| {
            let is_wanted = wanted.contains(replica);
            if !is_wanted {
                task.abort();
                self.unlink(replica);
            }
            is_wanted
        });
        for replica in wanted {
            if !tasks.contains_key(&replica) {
                let task = actix::spawn(Rc::clone(self).maintain_link(replica.clone()));
                tasks.insert(replica, task);
            }
        }
    }

    async fn maintain_link(self: Rc<Self>, replica: Replica) {
        let mut wait = REDIAL_BACKOFF.0;
        loop {
            let dialled =
                time::timeout(DIAL_TIMEOUT, Link::dial(&replica, self.hello.clone())).await;
            match dialled.unwrap_or(Err(Error::Closed)) {
                Ok(link) => {
                    tracing::info!(event = "control-linked", replica);
                    wait = REDIAL_BACKOFF.0;
                    let place = link.peer().place.clone();
                    self.linked.borrow_mut().insert(replica.clone(), place);
                    self.sources_changed.notify_waiters();
                    let error = self.run_link(link, &replica).await;
                    tracing::warn!(event = "control-lost", replica, error = %error);
                    self.unlink(&replica);
                }
                Err(error) => {
                    tracing::debug!(event = "control-unreachable", replica, error = %error);
                }
            }
            time::sleep(wait.mul_f64(rand::rng().random_range(0.5..1.0))).await;
            wait = (wait * 2).min(REDIAL_BACKOFF.1);
        }
    }

    /// Records that a replica's link broke.
    fn unlink(&self, replica: &str) {
        self.linked.borrow_mut().swap_remove(replica);
        self.cluster
            .borrow_mut()
            .unsubscribe(replica, Instant::now());
        self.sources_changed.notify_waiters();
        if self.fetch.borrow_mut().abandon(replica) {
            self.fetch_ended.notify_waiters();
        }
    }

    /// Returns how many replicas are subscribed to. Any majority of the replicas includes one of
    /// them, so every instance that is linked to a majority is listed.
    fn subscriptions(&self) -> usize {
        self.tasks.borrow().len().div_ceil(2).max(MIN_SUBSCRIPTIONS)
    }

    /// Returns whether a replica is among a number of the nearest linked ones.
    fn is_among_nearest(&self, replica: &str, number: usize) -> bool {
        let linked = self.linked.borrow();
        let own = &self.hello.place;
        let mut nearest: Vec<_> = linked.iter().collect();
        nearest.sort_by_key(|(name, place)| {
            (place.zone != own.zone, place.region != own.region, *name)
        });
        let mut nearest = nearest.into_iter().take(number);
        nearest.any(|(name, _)| name == replica)
    }

    /// Returns the message for a replica that should be subscribed to from now on, or no longer.
    fn update_subscription(&self, replica: &str, is_subscribed: &mut bool) -> Option<Message> {
        let is_source = self.is_among_nearest(replica, self.subscriptions());
        if is_source == *is_subscribed {
            return None;
        }
        *is_subscribed = is_source;
        let mut cluster = self.cluster.borrow_mut();
        if is_source {
            cluster.subscribe(replica, Instant::now());
        } else {
            cluster.unsubscribe(replica, Instant::now());
        }
        Some(Message::Subscribe(is_source))
    }

    async fn run_link(self: &Rc<Self>, link: Link, replica: &str) -> Error {
        let is_near = link.peer().place.region == self.hello.place.region;
        let fetch_delay = if is_near {
            Duration::ZERO
        } else {
            REMOTE_FETCH_DELAY
        };
        let (mut sender, mut receiver) = link.split();
        let mut heartbeat = time::interval(HEARTBEAT_INTERVAL);
        let mut timeout_at = time::Instant::now() + LINK_TIMEOUT;
        let mut fetch_at: Option<time::Instant> = None;
        let mut is_subscribed = false;
        let mut lacking = self.lacking.subscribe();
        loop {
            let fetch_due = fetch_at.unwrap_or(timeout_at);
            let subscription = self.update_subscription(replica, &mut is_subscribed);
            if let Some(message) = subscription
                && let Err(error) =
                    send_within(&mut sender, Frame::Hub(message), LINK_TIMEOUT).await
            {
                return error;
            }
            let messages = tokio::select! {
                    frame = receiver.next() => {
                        timeout_at = time::Instant::now() + LINK_TIMEOUT;
                        self.state.hear(clock::now());
                        match frame {
                            Some(Ok(Frame::Hub(message))) => {
                                if self.handle_message(replica, message) {
                                    fetch_at.get_or_insert(time::Instant::now() + fetch_delay);
                                }
                            }
                            Some(Ok(_)) => return Error::Handshake,
                            Some(Err(error)) => return error,
                            None => return Error::Closed,
                        }
                        continue;
                    }
                    _ = heartbeat.tick() => {
                        let confirmation = self.confirmation_request(replica);
                        [
                            Some(Message::Present((self.presence)())),
                            confirmation,
                            self.missing_suspects(),
                            self.named_rates(),
                            self.unreached(),
                            self.unknown_versions(),
                        ]
                    }
                    // The first streams of a service wait until the group knows its version.
                    Ok(()) = lacking.changed() => [
                        self.unknown_versions(),
                        None,
                        None,
                        None,
                        None,
                        None,
                    ],
                    () = self.presence_changed.notified() => [
                        Some(Message::Present((self.presence)())),
                        None,
                        None,
                        None,
                        None,
                        None,
                    ],
                    () = self.sources_changed.notified() => continue,
                    () = self.fetch_ended.notified(), if fetch_at.is_some() => {
                        fetch_at = Some(time::Instant::now() + fetch_delay);
                        continue;
                    }
                    () = time::sleep_until(fetch_due), if fetch_at.is_some() => {
                        fetch_at = self.begin_fetch(replica);
                        if fetch_at.is_some() || !self.is_behind(replica) {
                            continue;
                        }
                        let fetch = Message::Fetch(self.cluster.borrow().revision());
                        [Some(fetch), None, None, None, None, None]
                    }
                    () = time::sleep_until(timeout_at) => return Error::Closed,
            };
            for message in messages.into_iter().flatten() {
                if let Err(error) =
                    send_within(&mut sender, Frame::Hub(message), LINK_TIMEOUT).await
                {
                    return error;
                }
            }
        }
    }

    /// Returns the suspects that the control group should hold and doesn't hold yet. They go to all
    /// replicas, since this instance doesn't know which one leads.
    fn missing_suspects(&self) -> Option<Message> {
        let missing = self.state.suspects().missing.load();
        (!missing.is_empty()).then(|| Message::Suspects(missing.to_vec()))
    }

    /// Returns the rates that targets have named, for operators.
    fn named_rates(&self) -> Option<Message> {
        let named = self.state.limits().load();
        (!named.is_empty()).then(|| Message::Limits(named.to_vec()))
    }

    /// Returns the targets that this instance does not reach, for operators.
    fn unreached(&self) -> Option<Message> {
        let report = self.state.unreached().load();
        report.as_ref().clone().map(Message::Unreached)
    }

    /// Returns the question whether the configuration in force is the newest, if it is due: always
    /// for the nearest replicas, and for all others once the last confirmation is old.
    fn confirmation_request(&self, replica: &str) -> Option<Message> {
        let now = clock::now();
        let confirmed = self.freshness.borrow().confirmed();
        let is_old = confirmed.is_none_or(|confirmed| confirmed + CONFIRMATION_TIMEOUT < now);
        let stamp = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        let is_near = self.is_among_nearest(replica, CONFIRMING_REPLICAS);
        (is_near || is_old).then_some(Message::ReadIndex(stamp))
    }

    /// Returns the versions that targets state and the group lacks. They go to all replicas, since
    /// this instance doesn't know which one leads.
    fn unknown_versions(&self) -> Option<Message> {
        let lacking = self.lacking.borrow();
        (!lacking.is_empty()).then(|| Message::Versions(lacking.iter().cloned().collect()))
    }

    /// Handles a replica's answer that the group had reached a revision when this instance asked.
    fn handle_confirmation(&self, stamp: Stamp, reached: id::Revision) {
        let asked = Duration::from_nanos(stamp);
        if asked > clock::now() {
            tracing::warn!(event = "answer-without-question", stamp, reached);
            return;
        }
        let held = self.cluster.borrow().revision();
        self.freshness
            .borrow_mut()
            .record_answer(asked, reached, held);
        self.extend_lease();
    }

    /// Extends the lease by what is confirmed of the configuration that the request path sees.
    fn extend_lease(&self) {
        if let Some(confirmed) = self.freshness.borrow().confirmed() {
            let was_ready = self.state.is_ready();
            self.state.lease().extend(confirmed);
            self.state.keys_lease().extend(confirmed);
            self.note_trust();
            if was_ready != self.state.is_ready() {
                self.announce();
            }
        }
    }

    /// Logs whether the configuration may be relied on, when that changes.
    fn note_trust(&self) {
        let trust = self.state.trust();
        if self.trust.replace(trust) == trust {
            return;
        }
        let age = self.state.lease().age(clock::now());
        tracing::info!(
            event = "configuration-trust",
            trust = trust.as_str(),
            revision = self.cluster.borrow().revision(),
            age_ms = age.map(millis),
        );
    }

    /// Handles a message; returns whether the replica has a newer configuration to fetch.
    fn handle_message(self: &Rc<Self>, replica: &str, message: Message) -> bool {
        let now = Instant::now();
        match message {
            Message::Reached(revision) => {
                self.latest_revisions
                    .borrow_mut()
                    .insert(replica.to_owned(), revision);
                return self.is_behind(replica);
            }
            Message::Configuration(configuration) => self.configure(*configuration, replica, now),
            Message::Changes(changes) => {
                let held = self.cluster.borrow().configuration();
                let applied = held.and_then(|held| changes.apply(&held));
                match applied {
                    Some(configuration) => self.configure(configuration, replica, now),
                    // The answer of another replica came first; anything still missing is fetched
                    // again.
                    None => self.finish_fetch(),
                }
            }
            Message::ReadIndexAnswer { stamp, revision } => {
                self.handle_confirmation(stamp, revision);
                let mut reached = self.latest_revisions.borrow_mut();
                let known = reached.entry(replica.to_owned()).or_default();
                *known = revision.max(*known);
                drop(reached);
                return self.is_behind(replica);
            }
            Message::Targets(reports) => {
                let news = self.cluster.borrow_mut().apply_reports(reports, now);
                for report in &news {
                    log_report(report, Some(replica));
                }
                // Reports without news can wait for the next refresh: each view copies all targets.
                if !news.is_empty() {
                    self.view_stale.notify_one();
                }
            }
            Message::Instances(instances) => {
                self.cluster
                    .borrow_mut()
                    .apply_instances(replica, instances);
                self.view_stale.notify_one();
            }
            Message::Suspects(held) => self.state.suspects().held.store(Arc::new(held)),
            Message::Loads(loads) => self.cluster.borrow_mut().apply_loads(loads),
            Message::Replicas(list) => {
                self.replica_lists
                    .borrow_mut()
                    .insert(replica.to_owned(), list);
                self.update_links();
            }
            Message::Present(_)
            | Message::Fetch(_)
            | Message::Subscribe(_)
            | Message::Limits(_)
            | Message::Unreached(_)
            | Message::Versions(_)
            | Message::ReadIndex(_) => {}
        }
        false
    }

    fn configure(&self, configuration: Configuration, replica: &str, now: Instant) {
        let revision = configuration.revision;
        let number = configuration.table.as_ref().map_or(0, |table| table.number);
        let evacuated = configuration.evacuated.join(",");
        self.finish_fetch();
        if self
            .cluster
            .borrow_mut()
            .apply_configuration(configuration, now)
        {
            tracing::info!(event = "configured", revision, number, evacuated, replica);
            self.publish();
            self.freshness.borrow_mut().set_current(revision);
            self.extend_lease();
            // The first configuration makes this instance ready, and callers may be waiting for one
            // that is.
            self.announce();
        }
    }

    fn finish_fetch(&self) {
        self.fetch.borrow_mut().finish();
        self.fetch_ended.notify_waiters();
    }

    /// Begins a fetch from a replica that has a newer configuration; returns the time of the next
    /// try if another fetch is in progress.
    fn begin_fetch(&self, replica: &str) -> Option<time::Instant> {
        if !self.is_behind(replica) {
            return None;
        }
        let begun = self.fetch.borrow_mut().begin(replica, Instant::now());
        begun.err().map(time::Instant::from_std)
    }

    fn is_behind(&self, replica: &str) -> bool {
        let reached = self
            .latest_revisions
            .borrow()
            .get(replica)
            .copied()
            .unwrap_or(0);
        reached > self.cluster.borrow().revision()
    }
}

/// Returns the versions that targets state and the group lacks, of services in the routing table.
fn lacking_versions(view: &View) -> IndexSet<Name> {
    let (Some(versions), Some(table)) = (view.versions(), view.table()) else {
        return IndexSet::new();
    };
    let reports = view.targets.by_name().values().map(|known| &known.report);
    let lacking = reports.filter(|report| {
        let held = versions.get(&report.service);
        let is_known = held.is_some_and(|held| held.has(report.version.as_deref()));
        !is_known && table.service(&report.service).is_some()
    });
    let names = lacking.map(|report| {
        let version = report.version.clone().unwrap_or_default();
        (report.service.clone(), version)
    });
    names.collect()
}

/// Logs which instances appeared, disappeared or changed their readiness.
fn log_instances(before: &View, after: &View) {
    if Arc::ptr_eq(&before.instances, &after.instances) {
        return;
    }
    let ready = |view: &View, name: &str| view.instances.by_name().get(name).map(|held| held.ready);
    for name in after.instances.by_name().keys() {
        let is_ready = ready(after, name);
        if ready(before, name) != is_ready {
            tracing::info!(event = "instance", instance = name, ready = is_ready);
        }
    }
    for name in before.instances.by_name().keys() {
        if !after.instances.by_name().contains_key(name) {
            tracing::info!(event = "instance", instance = name, state = "gone");
        }
    }
}
