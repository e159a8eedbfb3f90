//! Paths from this instance to targets: evidence from requests, probes in the background, and the
//! choice of a neighbour when a path is lost; see [`zinniastall_coord::reach`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use zinniastall_coord::{
    pause::Pauses,
    reach::{DARK_TIMEOUT, Paths, Route, longest_age},
};
use zinniastall_http::watch;
use zinniastall_model::id;
use zinniastall_wire::reach::Report;

use crate::view::View;

/// Requests of neighbours that an instance takes to its targets at once; each uses two descriptors.
const MAX_DETOURED: usize = 1_000;

/// Paths from this instance to targets, and the neighbours that reach those that it doesn't.
#[derive(Debug, Default)]
pub struct Reach {
    paths: RefCell<Paths>,
    /// Requests in progress by way of each neighbour.
    detours: RefCell<IndexMap<id::Instance, u32>>,
    /// When each neighbour last answered a question.
    answered: RefCell<IndexMap<id::Instance, Instant>>,
    /// Since when neighbours are asked without a pause.
    asking_since: Cell<Option<Instant>>,
    /// Requests in progress that neighbours handed on to this instance.
    detoured: Cell<usize>,
    /// Targets that may have crashed, and when; neighbours are asked for later evidence.
    crashing: RefCell<IndexMap<id::Target, Instant>>,
    is_cut_off: Cell<bool>,
    /// Notified when neighbours should be asked at once.
    pub questions: Notify,
    /// Notified when a probe is due at once.
    pub probes: Notify,
}

/// How a request reaches a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this instance.
    Direct,
    /// By this neighbour.
    Detour(id::Instance),
    /// Not at all, as far as known.
    None {
        /// Time since the path was lost.
        since: Duration,
    },
}

/// Counts a request at a target, or by way of a neighbour, until it is dropped.
#[derive(Debug)]
pub struct Guard {
    reach: Rc<Reach>,
    name: String,
    is_detour: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_detour {
            self.reach.paths.borrow_mut().end(&self.name);
            return;
        }
        let mut detours = self.reach.detours.borrow_mut();
        if let Some(count) = detours.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                detours.swap_remove(&self.name);
            }
        }
    }
}

/// Counts a request that a neighbour handed on, until it is dropped.
#[derive(Debug)]
pub struct DetouredGuard(Rc<Reach>);

impl Drop for DetouredGuard {
    fn drop(&mut self) {
        self.0.detoured.set(self.0.detoured.get() - 1);
    }
}

impl Reach {
    /// Returns what is known of the paths.
    pub const fn paths(&self) -> &RefCell<Paths> {
        &self.paths
    }

    /// Counts a request at a target.
    pub fn begin(self: &Rc<Self>, target: &str) -> Guard {
        self.paths.borrow_mut().begin(target, Instant::now());
        self.guard(target, false)
    }

    /// Counts a request by way of a neighbour.
    pub fn begin_detour(self: &Rc<Self>, instance: &str) -> Guard {
        *self
            .detours
            .borrow_mut()
            .entry(instance.to_owned())
            .or_default() += 1;
        self.guard(instance, true)
    }

    fn guard(self: &Rc<Self>, name: &str, is_detour: bool) -> Guard {
        Guard {
            reach: Rc::clone(self),
            name: name.to_owned(),
            is_detour,
        }
    }

    /// Counts a request that a neighbour handed on; `None` if there are too many.
    pub fn begin_detoured(self: &Rc<Self>) -> Option<DetouredGuard> {
        if self.is_full() {
            return None;
        }
        self.detoured.set(self.detoured.get() + 1);
        Some(DetouredGuard(Rc::clone(self)))
    }

    /// Returns whether this instance takes no more requests of neighbours.
    pub fn is_full(&self) -> bool {
        self.detoured.get() >= MAX_DETOURED
    }

    /// Returns the neighbours by way of which requests are in progress.
    pub fn used(&self) -> Vec<id::Instance> {
        self.detours.borrow().keys().cloned().collect()
    }

    /// Records that a connection to a target broke.
    pub fn broke(&self, target: &str) {
        self.paths.borrow_mut().broke(target, Instant::now());
        self.probes.notify_one();
    }

    /// Records that a neighbour answered a question.
    pub fn answered(&self, instance: &str, now: Instant) {
        let mut answered = self.answered.borrow_mut();
        answered.insert(instance.to_owned(), now);
    }

    /// Records that a neighbour could not do what it vouched for.
    pub fn distrust(&self, instance: &str) {
        self.paths.borrow_mut().distrust(instance, Instant::now());
    }

    /// Records whether neighbours are asked in this round.
    pub fn set_asking(&self, is_asking: bool, now: Instant) {
        if !is_asking {
            self.asking_since.set(None);
        } else if self.asking_since.get().is_none() {
            self.asking_since.set(Some(now));
        }
    }

    /// Returns how a request reaches a target. Only neighbours that are listed as alive and fit are used.
    pub fn path(
        &self,
        view: &View,
        target: &str,
        fits: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Path {
        // A voucher is newer than the list's word on whether an instance is ready.
        let is_usable =
            |instance: &str| view.instances.by_name().contains_key(instance) && fits(instance);
        match self.paths.borrow().route(target, now, is_usable) {
            Route::Direct => Path::Direct,
            Route::None { since } => Path::None { since },
            Route::Detour(vouching) => {
                let chosen = self.choose(&vouching);
                chosen.map_or(Path::Direct, |instance| Path::Detour(instance.to_owned()))
            }
        }
    }

    /// Chooses a neighbour among those that vouch for a target: of two at random, the one with fewer
    /// of this instance's requests.
    fn choose<'a>(&self, vouching: &[&'a str]) -> Option<&'a str> {
        let detours = self.detours.borrow();
        let two = vouching.choose_multiple(&mut rand::rng(), 2);
        two.min_by_key(|instance| detours.get(**instance).copied().unwrap_or(0))
            .copied()
    }

    /// Waits for work at a target; returns `None` once the request should stop waiting for it.
    pub async fn until_given_up<T>(
        &self,
        target: &str,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let interval = || self.paths.borrow().watch_interval(target);
        let is_given_up = || self.paths.borrow().is_given_up(target, Instant::now());
        watch::until(work, interval, is_given_up).await
    }

    /// Waits for work by way of a neighbour; returns `None` once that neighbour is silent.
    pub async fn until_silent<T>(
        &self,
        instance: &str,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let since = Instant::now();
        let is_silent = || {
            let Some(asking_since) = self.asking_since.get() else {
                return false;
            };
            let answered = self.answered.borrow().get(instance).copied();
            let last = answered.unwrap_or(since).max(asking_since).max(since);
            last.elapsed() >= DARK_TIMEOUT
        };
        watch::until(work, || DARK_TIMEOUT / 4, is_silent).await
    }

    /// Asks neighbours for evidence that is later than a time, when a target may have crashed.
    pub fn ask_since(&self, target: &str, at: Instant) {
        self.crashing.borrow_mut().insert(target.to_owned(), at);
        self.questions.notify_one();
    }

    /// Ends what [`Reach::ask_since`] began.
    pub fn end_asking(&self, target: &str) {
        self.crashing.borrow_mut().swap_remove(target);
    }

    /// Returns the longest age of the evidence that neighbours are asked for.
    pub fn longest_age(&self, target: &str) -> Duration {
        let crashing = self.crashing.borrow();
        longest_age(crashing.get(target).copied(), Instant::now())
    }

    /// Returns the lost paths and the pauses for operators, and logs when all paths of the region are lost or no
    /// longer.
    pub fn observe(&self, view: &View, pauses: &Pauses, now: Instant) -> Option<Report> {
        let paths = self.paths.borrow();
        let near = view.targets.by_name().values();
        let near = near.filter(|target| target.report.place.region == view.place.region);
        let near = near.map(|target| target.report.target.as_str());
        let (targets, unreached) = paths.count_lost(near);
        let is_cut_off = targets > 0 && unreached == targets;
        if self.is_cut_off.replace(is_cut_off) != is_cut_off {
            if is_cut_off {
                tracing::warn!(event = "cut-off", targets);
            } else {
                tracing::info!(event = "cut-off-ended", targets, unreached);
            }
        }
        Report::new(&view.instance, &paths, pauses, now)
    }

    /// Forgets targets that are not known any more, and what has expired.
    pub fn expire(&self, view: &View, now: Instant) {
        let is_known = |target: &str| view.targets.by_name().contains_key(target);
        self.paths.borrow_mut().retain(is_known, now);
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < DARK_TIMEOUT * 2;
        self.answered.borrow_mut().retain(|_, at| is_fresh(at));
    }
}
