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
    place::Place,
    target::{Known, Report, State},
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
    known: Known,
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

    /// Records a report; returns whether it added anything.
    pub(super) fn note(&mut self, report: Report) -> bool {
        let heard = Instant::now();
        let held = self.entries.get(&report.target);
        if held.is_none() && self.entries.len() >= MAX_TARGETS {
            tracing::warn!(
                event = "target-dropped",
                target = report.target,
                reason = "table full"
            );
            return false;
        }
        let mut known = held.map(|held| held.known.clone());
        let is_news = known
            .as_mut()
            .is_none_or(|known| known.merge(report.clone(), heard.into_std()));
        if !is_news {
            return false;
        }
        let known = known.unwrap_or_else(|| Known::new(report, heard.into_std()));
        let report = known.report();
        if held.is_none_or(|held| held.known.report().state != report.state) {
            log_report(report, None);
        }
        let next = Forwarded {
            version: self.version + 1,
            at: heard,
        };
        let unchanged = held.filter(|held| !known.differs(&held.known));
        let local = unchanged.map(|held| held.local);
        let remote = unchanged.map(|held| held.remote);
        let local = local
            .filter(|forwarded| forwarded.at + LOCAL_REFRESH > heard)
            .unwrap_or(next);
        let remote = remote
            .filter(|forwarded| forwarded.at + REMOTE_REFRESH > heard)
            .unwrap_or(next);
        self.version = self.version.max(local.version).max(remote.version);
        let target = report.target.clone();
        let held = Entry {
            known,
            heard,
            local,
            remote,
        };
        self.entries.insert(target, held);
        true
    }

    /// Records that a target has signed off; returns the report that tells others of it, or `None` if
    /// the table is full.
    ///
    /// The run that goes on may have reported to other replicas only, so the sign-off names none:
    /// whoever knows of that run finds that it began before the sign-off.
    pub(super) fn leave(&mut self, target: &str) -> Option<Report> {
        let now = Instant::now().into_std();
        let known = self.entries.get(target);
        let last = known.map(|held| held.known.report_at(now));
        let last = last.unwrap_or_else(|| unknown(target));
        let report = Report {
            state: State::Gone,
            age_ms: 0,
            sign_off: Some(incarnation()),
            ..last
        };
        self.note(report.clone());
        self.entries.contains_key(target).then_some(report)
    }

    /// Returns the latest reports of the targets that accept requests and have reported within a
    /// time.
    pub(super) fn ready(&self, within: Duration) -> Vec<Report> {
        let fresh = self.entries.values();
        let fresh = fresh.filter(|held| held.heard.elapsed() < within);
        let ready = fresh.filter(|held| held.known.report().state == State::Ready);
        let now = Instant::now().into_std();
        ready.map(|held| held.known.report_at(now)).collect()
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
            let place = &held.known.report().place.region;
            if place == region || place.is_empty() {
                held.local.version > seen.local
            } else {
                include_remote && held.remote.version > seen.remote
            }
        };
        let now = Instant::now().into_std();
        let unseen = self.entries.values().filter(is_unseen);
        unseen.map(|held| held.known.report_at(now)).collect()
    }
}

/// Returns a report of a target that has reported to other replicas only.
fn unknown(target: &str) -> Report {
    Report {
        target: target.to_owned(),
        incarnation: 0,
        sequence: 0,
        service: String::new(),
        address: String::new(),
        place: Place::new("", ""),
        version: None,
        slots: 0,
        state: State::Gone,
        cold_ms: 0,
        left_ms: None,
        age_ms: 0,
        run_age_ms: 0,
        sign_off: None,
    }
}
