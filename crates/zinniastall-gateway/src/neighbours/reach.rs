//! Questions to neighbours about the targets that this instance does not reach.
//!
//! Only an instance with a path that is not open asks, and only a bounded number of neighbours about a
//! bounded number of targets, so that the traffic of an instance does not grow with the region. In a
//! large region it asks others at random each time, those that help it already, and those that others
//! name.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use zinniastall_model::id;

use super::{Outgoing, collector::Roster, datagram::Datagram};
use crate::{reach::Reach, view::View};

/// Largest number of targets in a question. A neighbour that reaches one of them usually reaches the
/// others as well, and chooses among all of its own.
const MAX_TARGETS: usize = 12;
/// Neighbours asked at random in a large region.
const RANDOM_NEIGHBOURS: usize = 3;
/// Neighbours asked in a large region because they help already or were named.
const MAX_HELPERS: usize = 6;
/// Helpers that an instance names which doesn't reach a target itself.
const MAX_NAMED: usize = 2;

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
    /// In an answer, other instances that vouched for targets which the sender does not reach.
    #[serde(rename = "h", default)]
    pub named: Vec<id::Instance>,
}

/// Instances that others named.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    named: IndexSet<id::Instance>,
}

impl Exchange {
    /// Returns the questions to send now; none while all paths are open.
    pub(super) fn questions(
        &mut self,
        reach: &Reach,
        view: &View,
        roster: &Roster,
        now: Instant,
    ) -> Vec<Outgoing> {
        let times = asked(reach, view);
        reach.set_asking(!times.is_empty(), now);
        if times.is_empty() {
            self.named.clear();
            return Vec::new();
        }
        let part = Part {
            instance: roster.instance().clone(),
            times,
            named: Vec::new(),
        };
        let to = self.recipients(reach, roster, now);
        vec![Outgoing {
            to,
            datagram: Datagram::PathQuestion(part),
        }]
    }

    fn recipients(&mut self, reach: &Reach, roster: &Roster, now: Instant) -> Vec<id::Instance> {
        let neighbours = roster.neighbours();
        if roster.is_small() {
            return neighbours.to_vec();
        }
        let mut helpers: IndexSet<id::Instance> = reach.used().into_iter().collect();
        let paths = reach.paths().borrow();
        helpers.extend(paths.vouchers(now).map(ToOwned::to_owned));
        helpers.extend(std::mem::take(&mut self.named));
        let helpers = helpers.into_iter().take(MAX_HELPERS);
        let random = neighbours.choose_multiple(&mut rand::rng(), RANDOM_NEIGHBOURS);
        let asked: IndexSet<id::Instance> = helpers.chain(random.cloned()).collect();
        asked.into_iter().collect()
    }

    /// Applies a neighbour's answer.
    pub(super) fn receive(&mut self, reach: &Reach, roster: &Roster, part: Part, now: Instant) {
        // Only an instance of this region that is listed as alive may get requests of this one.
        if !roster.neighbours().contains(&part.instance) {
            return;
        }
        reach.answered(&part.instance, now);
        let mut paths = reach.paths().borrow_mut();
        for (target, age_ms) in &part.times {
            let age = Duration::from_millis(u64::from(*age_ms));
            paths.vouch(target, &part.instance, age, now);
        }
        let named = part.named.into_iter().take(MAX_NAMED);
        self.named
            .extend(named.filter(|name| name != roster.instance()));
        self.named.truncate(MAX_HELPERS);
    }
}

/// Returns the answer to a question. Targets without evidence are probed, for the next question.
pub(super) fn answer(reach: &Reach, roster: &Roster, question: &Part, now: Instant) -> Datagram {
    let mut part = Part {
        instance: roster.instance().clone(),
        times: Vec::new(),
        named: Vec::new(),
    };
    if !reach.is_full() {
        let mut paths = reach.paths().borrow_mut();
        for (target, longest_ms) in question.times.iter().take(MAX_TARGETS) {
            let longest = Duration::from_millis(u64::from(*longest_ms));
            if let Some(age) = paths.evidence(target, longest, now) {
                let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
                part.times.push((target.clone(), age_ms));
            }
        }
        if part.times.is_empty() && !roster.is_small() {
            let named: IndexSet<&str> = paths
                .vouchers(now)
                .filter(|name| *name != question.instance)
                .collect();
            part.named = named
                .into_iter()
                .take(MAX_NAMED)
                .map(ToOwned::to_owned)
                .collect();
        }
    }
    Datagram::PathAnswer(part)
}

/// Returns the targets to ask about, by turns of each service, so that none is left out.
fn asked(reach: &Reach, view: &View) -> Times {
    let paths = reach.paths().borrow();
    let known = paths.questions().filter_map(|target| {
        let known = view.targets.by_name().get(target)?;
        (known.report.place.region == view.place.region).then_some(&known.report)
    });
    let mut services: IndexMap<&str, Vec<&str>> = IndexMap::new();
    for report in known {
        services
            .entry(&report.service)
            .or_default()
            .push(&report.target);
    }
    let longest = |target: &str| {
        let age = reach.longest_age(target).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    };
    let rounds = 0..MAX_TARGETS;
    let turns = rounds.flat_map(|round| {
        services
            .values()
            .filter_map(move |targets| targets.get(round))
    });
    turns
        .take(MAX_TARGETS)
        .map(|target| ((*target).to_owned(), longest(target)))
        .collect()
}
