//! Target reports that a replica received, with versioned changes for links.
//!
//! A link gets the reports of targets of its own region within a round, and a refresh of each every
//! few seconds. Of other regions it only needs to know where there is capacity, so their reports
//! are sent less often: each would cross a region border once for every instance there.

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

/// Time after which an unchanged report is forwarded again as a sign of life.
const LOCAL_REFRESH: Duration = Duration::from_secs(3);
/// The same for links of other regions, where instances drop a target after twice this time.
const REMOTE_REFRESH: Duration = Duration::from_secs(10);
/// Age at which a report is dropped. Instances stop relying on it long before.
const REPORT_TTL: Duration = Duration::from_secs(30);
/// Targets that are kept at most; one replica receives the reports of a few thousand in the largest
/// intended deployment.
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

/// When a report last became due for forwarding.
#[derive(Debug, Clone, Copy)]
struct Forwarded {
    version: Version,
    at: Instant,
}

/// Versions up to which a link was sent reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Versions {
    /// For targets of its own region.
    pub(super) local: Version,
    /// For targets of other regions.
    pub(super) remote: Version,
}

impl Targets {
    /// Returns the version of the last change.
    pub(super) const fn version(&self) -> Version {
        self.version
    }

    /// Records a report; returns whether it replaced the previous one.
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

    /// Records that a target has signed off.
    ///
    /// A target that has reported only to other replicas is unknown here. Its run began before now,
    /// so the current time serves as its incarnation; a later run gets a later one.
    pub(super) fn leave(&mut self, target: &str) {
        let known = self.entries.get(target).map(|held| held.report.clone());
        let report = known.unwrap_or_else(|| Report {
            target: target.to_owned(),
            incarnation: incarnation(),
            sequence: 0,
            service: String::new(),
            address: String::new(),
            place: zinniastall_model::place::Place::new("", ""),
            version: None,
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

    /// Returns the latest reports of the targets that accept requests and have reported within a
    /// time.
    pub(super) fn ready(&self, within: Duration) -> Vec<Report> {
        let fresh = self.entries.values();
        let fresh = fresh.filter(|held| held.heard.elapsed() < within);
        let reports = fresh.map(|held| &held.report);
        let ready = reports.filter(|report| report.state == State::Ready);
        ready.cloned().collect()
    }

    /// Drops reports that are too old to be useful.
    pub(super) fn expire(&mut self) {
        self.entries
            .retain(|_, held| held.heard.elapsed() < REPORT_TTL);
    }

    /// Returns the reports that a link of a region has not been sent yet; those of other regions
    /// only if `include_remote` is set.
    ///
    /// A target that signed off at a replica to which it never reported has no place, so all links
    /// are sent its report at once.
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
