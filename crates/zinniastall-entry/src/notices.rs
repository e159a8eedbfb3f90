//! What targets ask of this instance in their answers: to stay away for a time, or for good because they
//! leave; see [`zinniastall_coord::pause`] and [`zinniastall_coord::departure`]. Shared by all threads of an
//! instance.
//!
//! Traffic threads read answers and decide here. The control arbiter tells the other instances of the zone
//! of targets that leave.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::sync::Notify;
use zinniastall_coord::{
    departure::Departures,
    pause::{Pauses, State},
};
use zinniastall_model::id;
use zinniastall_wire::gossip;

use crate::view::View;

/// What targets ask of this instance. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Notices(Arc<Inner>);

#[derive(Default)]
struct Inner {
    /// Whether any target ever asked for anything. Without it, no request takes the lock.
    is_used: AtomicBool,
    held: Mutex<Held>,
    changed: Notify,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner").finish_non_exhaustive()
    }
}

#[derive(Debug, Default)]
struct Held {
    pauses: Pauses,
    departures: Departures,
}

/// Whether a target takes requests of this instance, as far as it said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It leaves.
    Leaving,
    /// It stays; whether it may get a request now.
    Staying(State),
}

impl Notices {
    /// Returns whether any target ever asked for anything.
    fn is_used(&self) -> bool {
        self.0.is_used.load(Ordering::Relaxed)
    }

    /// Returns whether a target takes requests now.
    pub fn standing(&self, report: &gossip::Target, now: Instant) -> Standing {
        if !self.is_used() {
            return Standing::Staying(State::Open);
        }
        let held = self.held();
        if held.departures.has(&report.target, report.incarnation) {
            return Standing::Leaving;
        }
        Standing::Staying(held.pauses.state(&report.target, report.incarnation, now))
    }

    /// Returns whether a request may be sent to a target at once; the last question before it is.
    pub fn enter(&self, report: &gossip::Target, now: Instant) -> bool {
        if !self.is_used() {
            return true;
        }
        let mut held = self.held();
        let (target, run) = (report.target.as_str(), report.incarnation);
        !held.departures.has(target, run) && held.pauses.enter(target, run, now) == State::Open
    }

    /// Records that a target asks for a pause; returns whether it is longer than what was known.
    pub fn ask(&self, report: &gossip::Target, time: Duration, now: Instant) -> bool {
        self.0.is_used.store(true, Ordering::Relaxed);
        let mut held = self.held();
        held.pauses
            .ask(&report.target, report.incarnation, time, now)
    }

    /// Records an answer that asks for no pause, to a request that was sent at a time.
    pub fn answered(&self, report: &gossip::Target, sent_at: Instant) {
        if self.is_used() {
            let mut held = self.held();
            held.pauses
                .answered(&report.target, report.incarnation, sent_at);
        }
    }

    /// Records that a target says that it leaves; returns whether that is new.
    pub fn depart(&self, report: &gossip::Target, now: Instant) -> bool {
        self.0.is_used.store(true, Ordering::Relaxed);
        let mut held = self.held();
        let is_new = held
            .departures
            .observe(&report.target, report.incarnation, now);
        drop(held);
        if is_new {
            self.0.changed.notify_one();
        }
        is_new
    }

    /// Returns the runs of targets of which the other instances have to be told.
    pub fn departures(&self) -> Vec<(id::Target, id::Incarnation)> {
        if !self.is_used() {
            return Vec::new();
        }
        let news = self.held().departures.news().into_iter();
        news.map(|(_, target, run)| (target, run)).collect()
    }

    /// Returns what a function makes of the pauses.
    pub fn with_pauses<T>(&self, read: impl FnOnce(&Pauses) -> T) -> T {
        read(&self.held().pauses)
    }

    /// Forgets what has expired.
    pub fn expire(&self, view: &View, now: Instant) {
        if !self.is_used() {
            return;
        }
        let mut held = self.held();
        held.pauses.expire(now);
        let is_known = |target: &str| view.targets.contains_key(target);
        held.departures.retain(is_known, now);
    }

    /// Waits until there may be something to tell.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        // Tables stay consistent when a thread panics.
        self.0.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
