//! Questions of instances to their neighbours about targets that they don't reach, and the answers.
//!
//! Entry instances send them in gossip messages, gateway instances in datagrams.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use zinniastall_coord::{pause::Pauses, reach::Paths};
use zinniastall_model::id;

/// Largest number of targets in a question. A neighbour that reaches one of them usually reaches the
/// others as well, and chooses among all of its own.
const MAX_TARGETS: usize = 12;
/// Other instances that an instance names which doesn't reach a target itself.
pub const MAX_NAMED: usize = 2;

/// Targets with times in milliseconds.
pub type Times = Vec<(id::Target, u32)>;

/// Question or answer of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Sending instance.
    #[serde(rename = "n")]
    pub instance: id::Instance,
    /// In a question, the longest age of the evidence that is wanted; in an answer, the time since the
    /// sender heard from the target itself.
    #[serde(rename = "t")]
    pub times: Times,
    /// In an answer, other instances that vouch for targets which the sender does not reach.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub named: Vec<id::Instance>,
}

/// A target that an instance does not reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreached {
    /// Target.
    pub target: id::Target,
    /// Time since its path was lost, in milliseconds.
    pub since_ms: u64,
    /// Number of neighbours that vouch for it.
    pub vouchers: u32,
}

/// A target that wants no requests of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Paused {
    /// Target.
    pub target: id::Target,
    /// Time for which it wants none, in milliseconds.
    pub left_ms: u64,
}

/// Targets that an instance does not reach, or that want no requests of it, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Reporting instance.
    pub instance: id::Instance,
    /// Targets that it does not reach; at most [`MAX_REPORTED`].
    pub unreached: Vec<Unreached>,
    /// Targets that want no requests of it; at most [`MAX_REPORTED`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paused: Vec<Paused>,
}

/// Largest number of targets in a [`Report`].
pub const MAX_REPORTED: usize = 64;

impl Report {
    /// Creates the report of an instance by its paths and pauses; `None` if it may use all targets.
    pub fn new(instance: &str, paths: &Paths, pauses: &Pauses, now: Instant) -> Option<Self> {
        let lost = paths.lost(now).take(MAX_REPORTED);
        let unreached = lost.map(|(target, since, vouchers)| Unreached {
            target: target.to_owned(),
            since_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
            vouchers: u32::try_from(vouchers).unwrap_or(u32::MAX),
        });
        let wants_none = pauses.current(now).take(MAX_REPORTED);
        let wants_none = wants_none.map(|(target, left)| Paused {
            target: target.to_owned(),
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        });
        let report = Self {
            instance: instance.to_owned(),
            unreached: unreached.collect(),
            paused: wants_none.collect(),
        };
        let is_empty = report.unreached.is_empty() && report.paused.is_empty();
        (!is_empty).then_some(report)
    }
}

impl Part {
    /// Creates a question about the targets whose paths are not open, by turns of each group, so that
    /// no group is left out; `None` if there are none.
    ///
    /// `group` returns what a target serves, or `None` if it is not known; `longest` returns the
    /// longest age of the evidence that is wanted.
    pub fn question<'a>(
        instance: &str,
        paths: &'a Paths,
        group: impl Fn(&str) -> Option<String>,
        longest: impl Fn(&str) -> Duration,
    ) -> Option<Self> {
        let mut groups: IndexMap<String, Vec<&'a str>> = IndexMap::new();
        for target in paths.questions() {
            if let Some(group) = group(target) {
                groups.entry(group).or_default().push(target);
            }
        }
        let rounds = 0..MAX_TARGETS;
        let turns = rounds.flat_map(|round| {
            let targets = groups.values();
            targets.filter_map(move |targets| targets.get(round).copied())
        });
        let times = turns.take(MAX_TARGETS);
        let times = times.map(|target| (target.to_owned(), millis(longest(target))));
        let part = Self {
            instance: instance.to_owned(),
            times: times.collect(),
            named: Vec::new(),
        };
        (!part.times.is_empty()).then_some(part)
    }

    /// Returns the answer to this question by what an instance knows. Targets without evidence are
    /// probed, for the next question.
    #[must_use]
    pub fn answer(&self, instance: &str, paths: &mut Paths, now: Instant) -> Self {
        let mut times = Times::new();
        for (target, longest_ms) in self.times.iter().take(MAX_TARGETS) {
            let longest = Duration::from_millis(u64::from(*longest_ms));
            if let Some(age) = paths.evidence(target, longest, now) {
                times.push((target.clone(), millis(age)));
            }
        }
        let mut named = Vec::new();
        if times.is_empty() {
            let others: IndexSet<&str> = paths
                .vouchers(now)
                .filter(|name| *name != self.instance)
                .collect();
            named.extend(others.into_iter().take(MAX_NAMED).map(ToOwned::to_owned));
        }
        Self {
            instance: instance.to_owned(),
            times,
            named,
        }
    }

    /// Applies this answer.
    pub fn apply(&self, paths: &mut Paths, now: Instant) {
        for (target, age_ms) in &self.times {
            let age = Duration::from_millis(u64::from(*age_ms));
            paths.vouch(target, &self.instance, age, now);
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
