//! Reports of targets, as passed on between processes, and what follows from several of them.
//!
//! A target reports to one replica at a time and may go over to another one, so no replica hears of
//! all its runs. A sign-off that doesn't name a run means the one that goes on at that time: each
//! run of which any replica heard before, and none that began to report later. Reports carry how
//! long ago their run was first heard of, so that all who merge them come to the same result,
//! whatever they heard last and in which order.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{id, place::Place};

/// Difference in the delays of two reports of a target that is no news.
const REPORT_JITTER: Duration = Duration::from_millis(100);

/// Lifecycle state of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It accepts requests.
    #[default]
    Ready,
    /// It completes its in-flight requests and accepts no new ones.
    Draining,
    /// It has announced that it is leaving.
    Gone,
}

/// Report of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the target.
    pub target: id::Target,
    /// Run of its process; later runs have higher numbers. 0 if the target reports none.
    pub incarnation: id::Incarnation,
    /// Number of the report within the run.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Address of its HTTP interface.
    pub address: String,
    /// Region and availability zone.
    pub place: Place,
    /// Version of its software, if it states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<id::Version>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Lifecycle state.
    pub state: State,
    /// Time for which it remains cold, in milliseconds.
    pub cold_ms: u64,
    /// Time until it is gone, in milliseconds, if known.
    pub left_ms: Option<u64>,
    /// Age of the report when it was passed on, in milliseconds.
    pub age_ms: u64,
    /// Time since the first report of this run was heard, when it was passed on, in milliseconds.
    #[serde(default)]
    pub run_age_ms: u64,
    /// Number of a sign-off that doesn't name a run; tells it from others of the target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sign_off: Option<u64>,
}

impl Report {
    /// Tells whether two reports of a target differ in more than a renewal.
    pub fn differs(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.state != other.state
            || self.sign_off != other.sign_off
            || self.address != other.address
            || self.version != other.version
            || self.left_ms.is_some() != other.left_ms.is_some()
            || (self.cold_ms > 0) != (other.cold_ms > 0)
    }

    /// Tells whether this report replaces another one of the same target.
    ///
    /// Reports may arrive out of order, and one that was delayed by a partition may arrive after
    /// its target has restarted under the same name. Within a run, a target that is gone stays
    /// gone.
    pub fn replaces(&self, held: &Self) -> bool {
        if self.incarnation != held.incarnation {
            return self.incarnation > held.incarnation;
        }
        if held.state == State::Gone {
            return false;
        }
        self.state == State::Gone || self.sequence > held.sequence
    }
}

/// What a process knows of a target from all reports that it has received.
#[derive(Debug, Clone)]
pub struct Known {
    report: Report,
    /// State as the run itself reported it.
    reported: State,
    heard_at: Instant,
    run_since: Instant,
    sign_off: Option<SignOff>,
}

/// The last sign-off that named no run.
#[derive(Debug, Clone, Copy)]
struct SignOff {
    number: u64,
    at: Instant,
}

impl Known {
    /// Creates the knowledge that follows from one report received now.
    pub fn new(report: Report, now: Instant) -> Self {
        let ago = |millis| {
            now.checked_sub(Duration::from_millis(millis))
                .unwrap_or(now)
        };
        let heard_at = ago(report.age_ms);
        Self {
            reported: report.state,
            heard_at,
            run_since: ago(report.run_age_ms).min(heard_at),
            sign_off: report.sign_off.map(|number| SignOff {
                number,
                at: heard_at,
            }),
            report,
        }
    }

    /// Returns the report of the latest run; its state is [`State::Gone`] if a sign-off ended the
    /// run.
    pub const fn report(&self) -> &Report {
        &self.report
    }

    /// Returns when the target was last heard of, by any process.
    pub const fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Tells whether this differs from what was known before in more than a renewal: also if the target
    /// stays cold for longer than it said then, by more than reports are late.
    pub fn differs(&self, before: &Self) -> bool {
        let is_colder =
            self.report.cold_ms > 0 && self.cold_until() > before.cold_until() + REPORT_JITTER;
        is_colder || self.report.differs(&before.report)
    }

    fn cold_until(&self) -> Instant {
        self.heard_at + Duration::from_millis(self.report.cold_ms)
    }

    /// Returns the report to pass on, with its ages; that of a run which a sign-off ended is as old as
    /// the sign-off.
    pub fn report_at(&self, now: Instant) -> Report {
        let heard_at = self.end_of_run().map_or(self.heard_at, |end| end.at);
        let age = |since| {
            let age = now.saturating_duration_since(since).as_millis();
            u64::try_from(age).unwrap_or(u64::MAX)
        };
        Report {
            age_ms: age(heard_at),
            run_age_ms: age(self.run_since),
            ..self.report.clone()
        }
    }

    /// Merges a report received now; returns whether it added anything.
    pub fn merge(&mut self, report: Report, now: Instant) -> bool {
        let other = Self::new(report, now);
        let before = self.report.state;
        self.report.state = self.reported;
        let replaces = other.report.replaces(&self.report);
        if other.report.incarnation == self.report.incarnation {
            self.run_since = self.run_since.min(other.run_since);
        } else if replaces {
            self.run_since = other.run_since;
        }
        if replaces {
            self.reported = other.reported;
            self.report = other.report;
            self.heard_at = other.heard_at;
        }
        let signs_off = other.sign_off.is_some_and(|sign_off| self.record(sign_off));
        let end = self.end_of_run();
        if end.is_some() {
            self.report.state = State::Gone;
        }
        self.report.sign_off = end.map(|end| end.number);
        replaces || signs_off || self.report.state != before
    }

    /// Returns the sign-off that ended the run, if one did.
    fn end_of_run(&self) -> Option<SignOff> {
        self.sign_off
            .filter(|sign_off| sign_off.at >= self.run_since)
    }

    /// Marks the run as gone.
    pub const fn end(&mut self) {
        self.reported = State::Gone;
        self.report.state = State::Gone;
    }

    /// Records a sign-off; returns whether it is a later one than that held.
    ///
    /// Of the same sign-off the earliest time is the best: a message on a slow link, or one read
    /// late, makes it look later than it was.
    fn record(&mut self, other: SignOff) -> bool {
        self.heard_at = self.heard_at.max(other.at);
        if let Some(held) = self
            .sign_off
            .as_mut()
            .filter(|held| held.number == other.number)
        {
            held.at = held.at.min(other.at);
            return false;
        }
        if self.sign_off.is_some_and(|held| held.at >= other.at) {
            return false;
        }
        self.sign_off = Some(other);
        true
    }
}
