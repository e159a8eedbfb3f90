//! Permits for requests to targets that name the rate which they take from all instances of their
//! zone together; see [`zinniastall_coord::rate`]. Shared by all threads of an instance.
//!
//! Traffic threads decide and wait here. Questions to other instances, their answers and news go
//! over the gossip links of the control arbiter.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{
    sync::{Notify, oneshot},
    time::timeout,
};
use zinniastall_coord::{
    rate::{Change, Demand, Issuer, Limit, Limits, Permits, Rate, Said, Verdict},
    rendezvous,
};
use zinniastall_model::id;
use zinniastall_wire::{gossip, rates as wire};

use crate::view::View;

/// Timeout for a coordinator's answer: a round trip within the zone, between the control arbiters.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which it is logged again that a target's rate can't be read.
const UNREADABLE_INTERVAL: Duration = Duration::from_secs(10);
/// Largest number of targets of which that is logged within this time.
const MAX_UNREADABLE: usize = 64;

/// Rates of the zone's targets, and the permits to send them requests. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Rates(Arc<Inner>);

#[derive(Default)]
struct Inner {
    /// Whether any target ever named a rate. Without it, no request takes the lock.
    is_used: AtomicBool,
    state: Mutex<State>,
    changed: Notify,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner").finish_non_exhaustive()
    }
}

#[derive(Debug, Default)]
struct State {
    limits: Limits,
    permits: Permits,
    issuer: Issuer,
    /// Questions that the control arbiter has yet to send.
    unsent: Vec<Question>,
    pending: IndexMap<wire::Number, oneshot::Sender<Verdict>>,
    last_number: wire::Number,
    /// Targets whose rates can't be read, and when that was last logged.
    unreadable: IndexMap<id::Target, Instant>,
}

/// Question to a target's coordinator for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// Instance to ask.
    pub coordinator: id::Instance,
    /// The question.
    pub demand: wire::Demand,
}

/// A target that takes a limited rate, as one instance may use it now.
#[derive(Debug, Clone, Copy)]
pub struct Limited {
    /// Rate that it takes from all instances together.
    pub rate: Rate,
    /// Time until a permit is expected to be available.
    pub wait: Duration,
}

impl Rates {
    /// Returns whether any target ever named a rate.
    pub fn is_used(&self) -> bool {
        self.0.is_used.load(Ordering::Relaxed)
    }

    /// Returns the limit of a target; `None` if it takes any rate.
    pub fn limited(&self, report: &gossip::Target, now: Instant) -> Option<Limited> {
        if !self.is_used() {
            return None;
        }
        let state = self.state();
        let rate = state.limits.rate(&report.target, report.incarnation, now)?;
        let wait = state.permits.wait(&report.target, now);
        Some(Limited { rate, wait })
    }

    /// Records what an answer of a target says of its rate.
    pub fn observe(&self, target: &str, said: Said, now: Instant) -> Change {
        if said.rate.is_none() && !self.is_used() {
            return Change::None;
        }
        self.0.is_used.store(true, Ordering::Relaxed);
        let change = self.state().limits.observe(target, said, now);
        // Others are told of a slight change in the next period.
        if matches!(change, Change::Lowered | Change::Raised) {
            self.0.changed.notify_one();
        }
        change
    }

    /// Returns whether to log that something which a target names can't be read: once in a while for each
    /// target, although each of its answers may say so.
    pub fn logs_unreadable(&self, target: &str, now: Instant) -> bool {
        let mut state = self.state();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNREADABLE_INTERVAL;
        if state.unreadable.get(target).is_some_and(is_recent) {
            return false;
        }
        state.unreadable.retain(|_, at| is_recent(at));
        if state.unreadable.len() >= MAX_UNREADABLE {
            return false;
        }
        state.unreadable.insert(target.to_owned(), now);
        true
    }

    /// Counts on a permit of a target for a request that will ask for one, until the answer arrives.
    /// Other requests would otherwise all expect the same one.
    pub fn assume(&self, target: &str, limited: Limited, now: Instant) {
        let next = limited.wait + limited.rate.interval();
        let verdict = Verdict::Denied { next };
        self.state().permits.record(target, Some(verdict), now);
    }

    /// Asks the coordinator of a target for a permit; returns `None` if it doesn't answer.
    pub async fn acquire(&self, view: &View, target: &str, demand: Demand) -> Option<Verdict> {
        let verdict = self.ask(view, target, demand).await;
        let now = Instant::now();
        self.state().permits.record(target, verdict, now);
        verdict
    }

    async fn ask(&self, view: &View, target: &str, demand: Demand) -> Option<Verdict> {
        let coordinator = coordinator(view, target)?;
        if *coordinator == view.instance {
            let mut state = self.state();
            return Some(state.issuer.acquire(target, demand, Instant::now()));
        }
        let (sender, answer) = oneshot::channel();
        let number = self.enqueue(coordinator, target, demand, sender);
        self.0.changed.notify_one();
        let answer = timeout(ANSWER_TIMEOUT, answer).await;
        self.state().pending.swap_remove(&number);
        answer.ok()?.ok()
    }

    fn enqueue(
        &self,
        coordinator: &id::Instance,
        target: &str,
        demand: Demand,
        sender: oneshot::Sender<Verdict>,
    ) -> wire::Number {
        let mut state = self.state();
        state.last_number = state.last_number.wrapping_add(1);
        let number = state.last_number;
        state.pending.insert(number, sender);
        state.unsent.push(Question {
            coordinator: coordinator.clone(),
            demand: wire::Demand::new(number, target, demand),
        });
        number
    }

    /// Answers another instance's question.
    pub fn receive_demand(
        &self,
        view: &View,
        demand: &wire::Demand,
        now: Instant,
    ) -> wire::Verdict {
        let target = demand.target.as_str();
        let verdict = if coordinator(view, target) == Some(&view.instance) {
            let mut state = self.state();
            let named = state.limits.rate(target, 0, now);
            let demand = Demand::from(demand).at_most(named);
            state.issuer.acquire(target, demand, now)
        } else {
            Verdict::NOT_COORDINATOR
        };
        wire::Verdict::new(demand.number, verdict)
    }

    /// Completes the question that a coordinator has answered.
    pub fn receive_verdict(&self, verdict: &wire::Verdict) {
        if let Some(pending) = self.state().pending.swap_remove(&verdict.number) {
            // The receiver may have given up at this moment.
            let _ = pending.send(verdict.into());
        }
    }

    /// Merges what another instance reports of the targets that this one knows.
    pub fn hear(
        &self,
        reported: &[(id::Target, Limit)],
        is_known: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        self.0.is_used.store(true, Ordering::Relaxed);
        let mut state = self.state();
        for (target, limit) in reported.iter().filter(|(target, _)| is_known(target)) {
            // Instances of a zone hear of news from each other directly.
            let change = state.limits.merge(target, *limit, None, now);
            if matches!(change, Change::Lowered | Change::Raised) {
                log_change(target, limit.rate, "instance");
            }
        }
        if state.limits.has_news() {
            self.0.changed.notify_one();
        }
    }

    /// Returns the news and the questions to send now.
    pub fn outgoing(&self) -> (Vec<(id::Target, Limit)>, Vec<Question>) {
        if !self.is_used() {
            return (Vec::new(), Vec::new());
        }
        let mut state = self.state();
        let news = state.limits.news().into_iter();
        let news = news.map(|(_, target, limit)| (target, limit));
        (news.collect(), std::mem::take(&mut state.unsent))
    }

    /// Returns all that is known, for an instance that lacks it.
    pub fn all(&self) -> Vec<(id::Target, Limit)> {
        self.state().limits.all()
    }

    /// Gives up the targets that another instance coordinates now, and forgets what has expired.
    pub fn expire(&self, view: &View, now: Instant) {
        if !self.is_used() {
            return;
        }
        let mut state = self.state();
        let is_mine = |target: &str| coordinator(view, target) == Some(&view.instance);
        state.issuer.retain(is_mine, now);
        state.permits.expire(now);
        state.pending.retain(|_, answer| !answer.is_closed());
        let is_known = |target: &str| view.targets.contains_key(target);
        state.limits.retain(is_known, now);
    }

    /// Starts anew as a coordinator, because the process was suspended.
    pub fn restart_issuer(&self) {
        self.state().issuer.clear();
    }

    /// Waits until there may be something to send.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Tables stay consistent when a thread panics.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs that the rate of a target changed, as its answer or another instance said.
pub fn log_change(target: &str, rate: Option<Rate>, via: &'static str) {
    let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
    tracing::info!(event = "target-limit", target, rate, via);
}

/// Returns the instance of the view's zone that coordinates the requests to a target. One that drains
/// leaves that to the others.
fn coordinator<'a>(view: &'a View, target: &str) -> Option<&'a id::Instance> {
    let own = &view.instance;
    let near = view.peers.values();
    let near = near.filter(|peer| peer.place == view.place && !peer.draining);
    let others = near.map(|peer| &peer.instance).filter(|name| *name != own);
    let own = (!view.draining).then_some(own);
    rendezvous::choose(target, others.chain(own)).or(Some(&view.instance))
}
