//! Paths from this instance to the targets of its zone, and the instances of the zone that reach those
//! that it doesn't; see [`zinniastall_coord::reach`]. Shared by all threads of an instance.
//!
//! Traffic threads record evidence and decide here. Probes, and questions to other instances over the
//! gossip links, are the control arbiter's.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use tokio::{sync::Notify, time};
use zinniastall_coord::reach::{Change, Paths, Probe, Route, longest_age};
use zinniastall_http::watch;
use zinniastall_model::id;
use zinniastall_route::request::Request;
use zinniastall_wire::{
    gossip::Peer,
    reach::{Part, Report},
};

use crate::{notices::Notices, view::View};

/// Time that other instances have to contradict that a target has crashed: two questions and answers,
/// and a probe in between.
const CONTRADICTION_TIME: Duration = Duration::from_millis(90);
/// Interval of the questions meanwhile.
const CONTRADICTION_INTERVAL: Duration = Duration::from_millis(40);

/// Longest wait of a request for instances that reach a target, and the interval at which it checks: a
/// few round trips between control arbiters.
const SETTLE_TIME: Duration = Duration::from_millis(40);
/// Interval at which it checks meanwhile.
const SETTLE_INTERVAL: Duration = Duration::from_millis(4);

/// Paths to the targets of the zone. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Reach(Arc<Inner>);

#[derive(Default)]
struct Inner {
    paths: Mutex<Paths>,
    /// Targets that may have crashed, and when; others are asked for later evidence.
    crashing: Mutex<IndexMap<id::Target, Instant>>,
    changed: Notify,
    /// Whether any path may not be open. Without it, the choice of a target takes no lock.
    is_unsettled: AtomicBool,
    is_cut_off: AtomicBool,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner").finish_non_exhaustive()
    }
}

/// How a request reaches a target.
#[derive(Debug, Clone, PartialEq)]
pub enum Path {
    /// On a connection of this instance.
    Direct,
    /// By this instance of the zone.
    Detour(Peer),
    /// Not at all, as far as known.
    None,
}

/// Counts a request at a target until it is dropped.
#[derive(Debug)]
pub struct Guard {
    reach: Reach,
    target: id::Target,
}

impl Guard {
    /// Returns the target.
    pub fn target(&self) -> &str {
        &self.target
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.reach.paths().end(&self.target);
    }
}

impl Reach {
    /// Counts a request at a target.
    #[must_use]
    pub fn begin(&self, target: &str) -> Guard {
        self.paths().begin(target, Instant::now());
        Guard {
            reach: self.clone(),
            target: target.to_owned(),
        }
    }

    /// Records that part of an answer arrived; `is_new` tells whether the connection was opened for the
    /// request.
    pub fn heard(&self, target: &str, is_new: bool) {
        let change = self.paths().heard(target, is_new, Instant::now());
        self.record(target, change, "");
    }

    /// Records that a connection to a target could not be opened.
    pub fn failed(&self, target: &str, why: &str) {
        let change = self.paths().failed(target, Instant::now());
        self.record(target, change, why);
    }

    /// Records that a connection to a target broke.
    pub fn broke(&self, target: &str) {
        self.paths().broke(target, Instant::now());
        self.unsettle();
    }

    /// Doubts and loses the paths to targets that say nothing, to probes too, while this instance hears
    /// from none.
    pub fn lose_dark(&self, view: &View, now: Instant) {
        let dark = {
            let mut paths = self.paths();
            // Without a health path, a target's silence can't be told from long work.
            let asked = view.targets.iter();
            let asked = asked.filter(|(_, known)| known.report.health_path.is_some());
            paths.doubt_unheard(asked.map(|(target, _)| target.as_str()), now);
            paths.lose_dark(now)
        };
        for target in dark {
            self.record(&target, Change::Lost, "all targets are silent");
        }
    }

    /// Returns the targets to probe now.
    pub fn start_probes(&self, now: Instant) -> Vec<id::Target> {
        let due = self.paths().start_probes(now);
        if !due.is_empty() {
            self.unsettle();
        }
        due
    }

    /// Records the result of a probe.
    pub fn probed(&self, target: &str, probe: Probe, why: &str) {
        let change = self.paths().probed(target, probe, Instant::now());
        if probe == Probe::Failed {
            // What others heard in the meantime tells whether only this path is lost.
            self.unsettle();
        }
        self.record(target, change, why);
    }

    fn record(&self, target: &str, change: Change, why: &str) {
        match change {
            Change::None => return,
            Change::Lost => tracing::warn!(event = "path-lost", target, why),
            Change::Back => tracing::info!(event = "path-back", target),
        }
        self.unsettle();
    }

    fn unsettle(&self) {
        self.0.is_unsettled.store(true, Ordering::Relaxed);
        self.0.changed.notify_one();
    }

    /// Returns how a request reaches a target. One that came from another instance goes directly or not
    /// at all.
    pub fn path(&self, view: &View, target: &str, request: &Request, now: Instant) -> Path {
        if !self.0.is_unsettled.load(Ordering::Relaxed) {
            return Path::Direct;
        }
        let may_detour = !request.detoured && request.hops.len() == 1;
        let peer = |name: &str| {
            let peer = view.peers.get(name)?;
            let is_usable = peer.place == view.place && !peer.draining;
            (is_usable && peer.instance != view.instance).then_some(peer)
        };
        let paths = self.paths();
        match paths.route(target, now, |name| may_detour && peer(name).is_some()) {
            Route::Direct => Path::Direct,
            Route::None { .. } => Path::None,
            Route::Detour(vouching) => {
                let chosen = vouching.choose(&mut rand::rng());
                let chosen = chosen.and_then(|name| peer(name));
                chosen.map_or(Path::Direct, |peer| Path::Detour(peer.clone()))
            }
        }
    }

    /// Returns whether requests reach a target, directly or by another instance.
    pub fn is_reached(&self, view: &View, target: &str, request: &Request, now: Instant) -> bool {
        self.path(view, target, request, now) != Path::None
    }

    /// Returns whether a request would go directly to a target that has said nothing of late, neither to
    /// requests nor to a probe.
    pub fn is_doubtful(&self, view: &View, target: &str, request: &Request, now: Instant) -> bool {
        self.0.is_unsettled.load(Ordering::Relaxed)
            && self.path(view, target, request, now) == Path::Direct
            && self.paths().is_doubtful(target)
    }

    /// Waits, for a moment at most, until it is known how a target is reached to which no connection could
    /// be opened.
    pub async fn settle(&self, view: &View, target: &str, request: &Request) {
        let until = Instant::now() + SETTLE_TIME;
        while Instant::now() < until && !self.is_reached(view, target, request, Instant::now()) {
            time::sleep(SETTLE_INTERVAL).await;
        }
    }

    /// Records that an instance could not do what it vouched for.
    pub fn distrust(&self, instance: &str) {
        self.paths().distrust(instance, Instant::now());
    }

    /// Waits for work at a target; returns `None` once the request should stop waiting for it.
    pub async fn until_given_up<T>(
        &self,
        target: &str,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let interval = || self.paths().watch_interval(target);
        let is_given_up = || self.paths().is_given_up(target, Instant::now());
        watch::until(work, interval, is_given_up).await
    }

    /// Waits until other instances could have contradicted that a target crashed at a time, and returns
    /// whether one did.
    pub async fn is_contradicted(&self, target: &str, at: Instant) -> bool {
        self.failed(target, "the connection broke and the next one is refused");
        self.crashing().insert(target.to_owned(), at);
        let until = Instant::now() + CONTRADICTION_TIME;
        let mut is_contradicted = false;
        while !is_contradicted && Instant::now() < until {
            self.0.changed.notify_one();
            time::sleep(CONTRADICTION_INTERVAL).await;
            let paths = self.paths();
            is_contradicted = paths.is_alive_since(target, Some(at), Instant::now());
        }
        self.crashing().swap_remove(target);
        is_contradicted
    }

    /// Returns the question for the other instances of the zone; `None` while all paths are open.
    pub fn question(&self, view: &View) -> Option<Part> {
        let crashing = self.crashing().clone();
        let longest = |target: &str| longest_age(crashing.get(target).copied(), Instant::now());
        let subject = |target: &str| {
            let known = view.targets.get(target)?;
            let serving = known.report.serves.first()?;
            Some(serving.subject.name().to_owned())
        };
        Part::question(&view.instance, &self.paths(), subject, longest)
    }

    /// Answers the question of another instance of the zone.
    pub fn answer(&self, view: &View, question: &Part) -> Part {
        let answer = question.answer(&view.instance, &mut self.paths(), Instant::now());
        if answer.times.len() < question.times.len() {
            // Targets without evidence are probed now.
            self.0.changed.notify_one();
        }
        answer
    }

    /// Applies the answer of another instance of the zone.
    pub fn apply(&self, answer: &Part) {
        answer.apply(&mut self.paths(), Instant::now());
    }

    /// Returns the targets that this instance does not reach, or that want no requests of it, for operators.
    pub fn report(&self, view: &View, notices: &Notices) -> Option<Report> {
        notices.with_pauses(|pauses| {
            Report::new(&view.instance, &self.paths(), pauses, Instant::now())
        })
    }

    /// Forgets targets that are not known any more, and what has expired; logs when all paths of the zone
    /// are lost or no longer.
    pub fn expire(&self, view: &View, now: Instant) {
        let mut paths = self.paths();
        paths.retain(|target| view.targets.contains_key(target), now);
        let is_unsettled = paths.questions().next().is_some();
        self.0.is_unsettled.store(is_unsettled, Ordering::Relaxed);
        let (targets, unreached) = if is_unsettled {
            paths.count_lost(view.targets.keys().map(String::as_str))
        } else {
            (view.targets.len(), 0)
        };
        let is_cut_off = targets > 0 && unreached == targets;
        if self.0.is_cut_off.swap(is_cut_off, Ordering::Relaxed) == is_cut_off {
            return;
        }
        if is_cut_off {
            tracing::warn!(event = "cut-off", targets);
        } else {
            tracing::info!(event = "cut-off-ended", targets, unreached);
        }
    }

    /// Waits until there may be something to ask or to probe.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    fn paths(&self) -> MutexGuard<'_, Paths> {
        // Paths stay consistent when a thread panics.
        self.0.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crashing(&self) -> MutexGuard<'_, IndexMap<id::Target, Instant>> {
        self.0
            .crashing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
