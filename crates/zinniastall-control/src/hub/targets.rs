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
const AGAIN: Duration = Duration::from_secs(3);
/// The same for other regions, where instances forget a target after twice that.
const AGAIN_FAR: Duration = Duration::from_secs(10);
/// Age at which a report is forgotten. Instances have stopped trusting it long before.
const STALE: Duration = Duration::from_secs(30);
/// Most targets kept; one replica hears a few thousand at the size this is built for.
const TARGETS: usize = 20_000;

/// Targets by name.
#[derive(Debug, Default)]
pub(super) struct Targets {
    held: IndexMap<id::Target, Held>,
    version: Version,
}

#[derive(Debug)]
struct Held {
    report: Report,
    heard: Instant,
    near: Pass,
    far: Pass,
}

/// When a report was last to be passed on.
#[derive(Debug, Clone, Copy)]
struct Pass {
    version: Version,
    at: Instant,
}

/// Versions up to which a link was told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Told {
    /// Of targets of its own region.
    pub(super) near: Version,
    /// Of targets of other regions.
    pub(super) far: Version,
}

impl Targets {
    /// Returns the version of the last change.
    pub(super) const fn version(&self) -> Version {
        self.version
    }

    /// Notes a report; returns whether it was news.
    pub(super) fn note(&mut self, report: Report) -> bool {
        let held = self.held.get(&report.target);
        if held.is_some_and(|held| !report.replaces(&held.report)) {
            return false;
        }
        if held.is_none() && self.held.len() >= TARGETS {
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
        let next = Pass {
            version: self.version + 1,
            at: heard,
        };
        let same = held.filter(|held| !held.report.differs(&report));
        let near = same.map(|held| held.near);
        let far = same.map(|held| held.far);
        let near = near.filter(|pass| pass.at + AGAIN > heard).unwrap_or(next);
        let far = far
            .filter(|pass| pass.at + AGAIN_FAR > heard)
            .unwrap_or(next);
        self.version = self.version.max(near.version).max(far.version);
        let held = Held {
            report,
            heard,
            near,
            far,
        };
        self.held.insert(held.report.target.clone(), held);
        true
    }

    /// Notes that a target has signed off.
    ///
    /// One that reported to other replicas so far isn't known here. Its run has begun before now, and
    /// a later run will have a later number.
    pub(super) fn leave(&mut self, target: &str) {
        let known = self.held.get(target).map(|held| held.report.clone());
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
        let fresh = self.held.values();
        let fresh = fresh.filter(|held| held.heard.elapsed() < within);
        let reports = fresh.map(|held| &held.report);
        let ready = reports.filter(|report| report.state == State::Ready);
        ready.cloned().collect()
    }

    /// Forgets reports that are too old for anybody.
    pub(super) fn expire(&mut self) {
        self.held.retain(|_, held| held.heard.elapsed() < STALE);
    }

    /// Returns the reports that a link of a region, told up to some versions, doesn't know yet; of other
    /// regions only if `with_far`.
    ///
    /// A target that signed off where it never reported has no place: all links are told at once.
    pub(super) fn since(&self, told: Told, region: &str, with_far: bool) -> Vec<Report> {
        let is_news = |held: &&Held| {
            let place = &held.report.place.region;
            if place == region || place.is_empty() {
                held.near.version > told.near
            } else {
                with_far && held.far.version > told.far
            }
        };
        let aged = self.held.values().filter(is_news).map(|held| {
            let age = held.heard.elapsed().as_millis();
            let mut report = held.report.clone();
            report.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            report
        });
        aged.collect()
    }
}
