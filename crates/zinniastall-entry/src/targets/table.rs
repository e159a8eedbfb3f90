//! Targets of the zone: the current incarnation of each and its lease.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::{self, Load};

use super::{body::MAX_PREFIXES, problem::Problem};
use crate::view;

/// Maximum number of targets. A sender of announcements that invents names must not make the
/// process grow without limit.
const MAX_TARGETS: usize = 4096;
/// How long a target is remembered after its lease expired, so that a late report can't bring it
/// back.
const RETENTION: Duration = Duration::from_secs(30);

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing; the report is a duplicate or late.
    Unchanged,
    /// Load, lease or cached prefixes.
    Load,
    /// The set of targets or what they serve.
    Targets,
}

/// Latest report of a target.
#[derive(Debug, Clone)]
struct Entry {
    report: gossip::Target,
    tag: u64,
    heard: Instant,
    until: Instant,
    /// Whether this incarnation has left or is leaving; only a later incarnation resets it.
    left: bool,
}

/// Targets of a zone, by their latest incarnation and announcement.
///
/// Lease expiry is determined only by this process's monotonic clock; reports carry the remaining
/// time.
#[derive(Debug)]
pub struct Table {
    lease: Duration,
    entries: IndexMap<id::Target, Entry>,
    tags: IndexMap<u64, id::Target>,
}

impl Table {
    /// Creates an empty table; `lease` is the maximum duration of a lease.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            entries: IndexMap::new(),
            tags: IndexMap::new(),
        }
    }

    /// Applies a report that was announced to this instance or received from another one.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Stale`] for an earlier incarnation, and [`Problem::Full`] for a new
    /// target if the table is full.
    pub fn apply(&mut self, report: gossip::Target, now: Instant) -> Result<Change, Problem> {
        let Some(held) = self.entries.get(&report.target) else {
            if self.entries.len() >= MAX_TARGETS {
                return Err(Problem::Full);
            }
            return Ok(self.insert(report, now, false));
        };
        if report.incarnation < held.report.incarnation {
            return Err(Problem::Stale(held.report.incarnation));
        }
        let same_run = report.incarnation == held.report.incarnation;
        let late = report.sequence <= held.report.sequence;
        let leaves = report.leaving && !held.left;
        if same_run && late && !leaves {
            return Ok(Change::Unchanged);
        }
        // Two instances may report one incarnation out of order. Once it is leaving, it gets no new
        // requests, even if an earlier announcement arrives late from another instance.
        let left = same_run && held.left;
        Ok(self.insert(report, now, left))
    }

    /// Applies a renewal; returns `None` if the report that it renews is unknown.
    pub fn renew(&mut self, load: &Load, now: Instant) -> Option<Change> {
        let target = self.tags.get(&load.tag)?;
        let held = self
            .entries
            .get_mut(target)
            .filter(|held| held.tag == load.tag)?;
        let late = load.sequence <= held.report.sequence;
        if late && load.added.is_empty() {
            return Some(Change::Unchanged);
        }
        append(&mut held.report.prefixes, &load.added);
        if late {
            return Some(Change::Load);
        }
        let expired = held.until <= now;
        held.report.sequence = load.sequence;
        held.report.busy = load.busy;
        held.heard = now;
        held.until = now + self.lease.min(Duration::from_millis(load.left_ms));
        Some(if expired {
            Change::Targets
        } else {
            Change::Load
        })
    }

    /// Records that a target of this zone is leaving; returns whether that is news.
    ///
    /// The incarnation may have announced itself to another instance whose report has not arrived
    /// yet. It is recorded all the same, so that the report finds it leaving.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Stale`] for an earlier incarnation, and [`Problem::Full`] for a new
    /// target if the table is full.
    pub fn leave(
        &mut self,
        (target, incarnation): (&str, id::Incarnation),
        place: &Place,
        now: Instant,
    ) -> Result<bool, Problem> {
        let is_full = self.entries.len() >= MAX_TARGETS;
        let Some(held) = self.entries.get_mut(target) else {
            if is_full {
                return Err(Problem::Full);
            }
            self.insert(left(target, incarnation, place), now, true);
            return Ok(true);
        };
        let known = held.report.incarnation;
        if incarnation < known {
            return Err(Problem::Stale(known));
        }
        if incarnation > known {
            self.insert(left(target, incarnation, place), now, true);
            return Ok(true);
        }
        let is_news = !held.left;
        held.left = true;
        held.report.leaving = true;
        Ok(is_news)
    }

    /// Returns the targets that may receive requests: their lease is valid and they are not
    /// leaving.
    pub fn serving(&self, now: Instant) -> IndexMap<id::Target, view::Target> {
        let serves = |held: &&Entry| !held.left && held.until > now;
        let entry = |held: &Entry| {
            let target = view::Target {
                report: held.report.clone(),
                heard: held.heard,
                until: held.until,
            };
            (held.report.target.clone(), target)
        };
        self.entries.values().filter(serves).map(entry).collect()
    }

    /// Returns all reports with their remaining lease time, for an instance that has none of them.
    pub fn reports(&self, now: Instant) -> Vec<gossip::Target> {
        let left = |held: &Entry| held.until.saturating_duration_since(now);
        let report = |held: &Entry| gossip::Target {
            left_ms: millis(left(held)),
            leaving: held.left,
            ..held.report.clone()
        };
        let is_relevant = |held: &&Entry| held.left || !left(held).is_zero();
        self.entries
            .values()
            .filter(is_relevant)
            .map(report)
            .collect()
    }

    /// Returns a report with its remaining lease time.
    pub fn report(&self, target: &str, now: Instant) -> Option<gossip::Target> {
        let held = self.entries.get(target)?;
        Some(gossip::Target {
            left_ms: millis(held.until.saturating_duration_since(now)),
            leaving: held.left,
            ..held.report.clone()
        })
    }

    /// Returns a renewal of a target with the prefixes that are new.
    pub fn load(&self, target: &str, added: Vec<u64>, now: Instant) -> Option<Load> {
        let held = self.entries.get(target)?;
        Some(Load {
            tag: held.tag,
            sequence: held.report.sequence,
            busy: held.report.busy,
            left_ms: millis(held.until.saturating_duration_since(now)),
            added,
        })
    }

    /// Removes targets whose lease expired long ago. Returns whether a lease expired since `last`.
    pub fn sweep(&mut self, last: Instant, now: Instant) -> bool {
        self.entries.retain(|_, held| held.until + RETENTION > now);
        let entries = &self.entries;
        self.tags
            .retain(|tag, target| entries.get(target).is_some_and(|held| held.tag == *tag));
        let expired = |held: &Entry| held.until > last && held.until <= now;
        self.entries.values().any(expired)
    }

    /// Returns the number of targets, including those that are remembered after their lease.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, report: gossip::Target, now: Instant, left: bool) -> Change {
        let tag = report.tag();
        let before = self.entries.get(&report.target);
        let same = before.is_some_and(|held| held.tag == tag && held.until > now);
        let left = left || report.leaving;
        self.tags.insert(tag, report.target.clone());
        let held = Entry {
            tag,
            heard: now,
            until: now + self.lease.min(Duration::from_millis(report.left_ms)),
            left,
            report,
        };
        self.entries.insert(held.report.target.clone(), held);
        if same { Change::Load } else { Change::Targets }
    }
}

/// Returns the report of a target of which nothing is known but that this incarnation is leaving.
///
/// It stays as long as the longest lease, in which any report of the incarnation arrives.
fn left(target: &str, incarnation: id::Incarnation, place: &Place) -> gossip::Target {
    gossip::Target {
        target: target.to_owned(),
        incarnation,
        sequence: 0,
        place: place.clone(),
        address: String::new(),
        health_path: None,
        kind: String::new(),
        role: String::new(),
        serves: Vec::new(),
        slots: 0,
        busy: 0,
        price: 0.0,
        leaving: true,
        left_ms: u64::MAX,
        prefixes: Vec::new(),
        gap: false,
    }
}

/// Appends prefixes and keeps the newest ones.
fn append(prefixes: &mut Vec<u64>, added: &[u64]) {
    prefixes.extend_from_slice(added);
    let excess = prefixes.len().saturating_sub(MAX_PREFIXES);
    prefixes.drain(..excess);
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
