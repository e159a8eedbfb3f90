//! Targets that instances don't reach, or that want no requests of them, as they report to a replica. Nothing is decided by them here;
//! operators list them.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::reach::Report;

/// Time after which a report is forgotten that was not repeated.
const RETENTION: Duration = Duration::from_secs(5);

/// Reports by instance.
type Reports = IndexMap<id::Instance, (Report, Instant)>;

/// Reported targets by instance; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Board(Arc<Mutex<Reports>>);

impl Board {
    /// Replaces what an instance reported before.
    pub fn hear(&self, report: Report, now: Instant) {
        self.change(now, |reports| {
            reports.insert(report.instance.clone(), (report, now));
        });
    }

    /// Returns the reports of instances that may not use all targets.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.change(now, |reports| {
            let held = reports.values();
            held.map(|(report, _)| report.clone()).collect()
        })
    }

    fn change<T>(&self, now: Instant, change: impl FnOnce(&mut Reports) -> T) -> T {
        // The table stays consistent when a thread panics.
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|_, (_, heard)| now.saturating_duration_since(*heard) < RETENTION);
        change(&mut reports)
    }
}
