//! Rates that targets name, as instances report them to a replica. Nothing is decided by them here;
//! operators list them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_coord::rate::{Limit, Limits, Rate};
use zinniastall_model::id;

/// Time after which a rate is forgotten that no instance reports any more.
const RETENTION: Duration = Duration::from_secs(15);

/// Reported rates; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Board(Arc<Mutex<Reported>>);

#[derive(Debug, Default)]
struct Reported {
    limits: Limits,
    heard: IndexMap<id::Target, Instant>,
}

impl Board {
    /// Merges an instance's report.
    pub fn hear(&self, reported: Vec<(id::Target, Limit)>, now: Instant) {
        let mut held = self.held();
        for (target, limit) in reported {
            held.limits.merge(&target, limit, None, now);
            held.heard.insert(target, now);
        }
        held.expire(now);
    }

    /// Returns the targets that name a rate, with it and the time since this replica heard of it.
    pub fn named(&self, now: Instant) -> Vec<(id::Target, Rate, Duration)> {
        let mut held = self.held();
        held.expire(now);
        let heard = &held.heard;
        let named = held
            .limits
            .named(now)
            .filter(|(target, ..)| heard.contains_key(*target));
        named
            .map(|(target, rate, age)| (target.to_owned(), rate, age))
            .collect()
    }

    fn held(&self) -> MutexGuard<'_, Reported> {
        // The tables stay consistent when a thread panics.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reported {
    fn expire(&mut self, now: Instant) {
        self.heard
            .retain(|_, heard| now.saturating_duration_since(*heard) < RETENTION);
        let heard = &self.heard;
        self.limits.retain(|target| heard.contains_key(target), now);
        // The news of this table goes to nobody.
        self.limits.news();
    }
}
