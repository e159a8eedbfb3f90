//! The reports of targets that a replica heard, and what a link doesn't know of them yet.
//!
//! A link is told of the targets of its own region within a round, and that each is still there every few
//! seconds. Of other regions it needs where there is capacity at all; it is told of those at a slower pace,
//! since each report would cross a border once for every instance there.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use zinniastall_model::{
    id,
    target::{Report, State},
};
use zinniastall_settings::process::incarnation;
use zinniastall_wire::hub::log_report;

use super::Version;

/// Time after which a report that says nothing new is passed on all the same, as a sign of life.
const LOCAL_REFRESH: Duration = Duration::from_secs(3);
/// The same for other regions, where instances forget a target after twice that.
const REMOTE_REFRESH: Duration = Duration::from_secs(10);
/// Age at which a report is forgotten. Instances have stopped trusting it long before.
const REPORT_TTL: Duration = Duration::from_secs(30);
/// Most targets kept; one replica hears a few thousand at the size this is built for.
const MAX_TARGETS: usize = 20_000;

/// Targets by name.
#[derive(Debug, Default)]
pub(super) struct Targets {
    entries: IndexMap<id::Target, Entry>,
    version: Version,
}

#[derive(Debug)]
struct Entry {
    report: Report,
    heard: Instant,
    local: Forwarded,
    remote: Forwarded,
}

/// When a report was last to be passed on.
#[derive(Debug, Clone, Copy)]
struct Forwarded {
    version: Version,
    at: Instant,
}

/// Versions up to which a link was told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Versions {
    /// Of targets of its own region.
    pub(super) local: Version,
    /// Of targets of other regions.
    pub(super) remote: Version,
}

impl Targets {
    /// Returns the version of the last change.
    pub(super) const fn version(&self) -> Version {
        self.version
    }

    /// Notes a report; returns whether it was news.
    pub(super) fn note(&mut self, report: Report) -> bool {
        let held = self.entries.get(&report.target);
        if held.is_some_and(|held| !report.replaces(&held.report)) {
            return false;
        }
        if held.is_none() && self.entries.len() >= MAX_TARGETS {
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
        let next = Forwarded {
            version: self.version + 1,
            at: heard,
        };
        let unchanged = held.filter(|held| !held.report.differs(&report));
        let local = unchanged.map(|held| held.local);
        let remote = unchanged.map(|held| held.remote);
        let local = local
            .filter(|forwarded| forwarded.at + LOCAL_REFRESH > heard)
            .unwrap_or(next);
        let remote = remote
            .filter(|forwarded| forwarded.at + REMOTE_REFRESH > heard)
            .unwrap_or(next);
        self.version = self.version.max(local.version).max(remote.version);
        let held = Entry {
            report,
            heard,
            local,
            remote,
        };
        self.entries.insert(held.report.target.clone(), held);
        true
    }

    /// Notes that a target has signed off.
    ///
    /// One that reported to other replicas so far isn't known here. Its run has begun before now, and
    /// a later run will have a later number.
    pub(super) fn leave(&mut self, target: &str) {
        let known = self.entries.get(target).map(|held| held.report.clone());
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
    pub(super) fn ready(&self, within: Duration) -> Vec<Report> {
        let fresh = self.entries.values();
        let fresh = fresh.filter(|held| held.heard.elapsed() < within);
        let reports = fresh.map(|held| &held.report);
        let ready = reports.filter(|report| report.state == State::Ready);
        ready.cloned().collect()
    }

    /// Forgets reports that are too old for anybody.
    pub(super) fn expire(&mut self) {
        self.entries
            .retain(|_, held| held.heard.elapsed() < REPORT_TTL);
    }

    /// Returns the reports that a link of a region, told up to some versions, doesn't know yet; of other
    /// regions only if `with_far`.
    ///
    /// A target that signed off where it never reported has no place: all links are told at once.
    pub(super) fn since(&self, seen: Versions, region: &str, include_remote: bool) -> Vec<Report> {
        let is_unseen = |held: &&Entry| {
            let place = &held.report.place.region;
            if place == region || place.is_empty() {
                held.local.version > seen.local
            } else {
                include_remote && held.remote.version > seen.remote
            }
        };
        let aged = self.entries.values().filter(is_unseen).map(|held| {
            let age = held.heard.elapsed().as_millis();
            let mut report = held.report.clone();
            report.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            report
        });
        aged.collect()
    }
}
