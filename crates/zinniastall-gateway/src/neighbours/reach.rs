//! Questions to neighbours about the targets that this instance does not reach.
//!
//! Only an instance with a path that is not open asks, and only a bounded number of neighbours about a
//! bounded number of targets, so that the traffic of an instance does not grow with the region. In a
//! large region it asks others at random each time, those that help it already, and those that others
//! name.

use std::time::Instant;

use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use zinniastall_model::id;
use zinniastall_wire::reach::{MAX_NAMED, Part};

use super::{Outgoing, collector::Roster, datagram::Datagram};
use crate::{reach::Reach, view::View};

/// Neighbours asked at random in a large region.
const RANDOM_NEIGHBOURS: usize = 3;
/// Neighbours asked in a large region because they help already or were named.
const MAX_HELPERS: usize = 6;

/// Instances that others named.
#[derive(Debug, Default)]
pub struct Exchange {
    named: IndexSet<id::Instance>,
}

impl Exchange {
    /// Returns the question to send now; none while all paths are open.
    pub fn question(
        &mut self,
        reach: &Reach,
        view: &View,
        roster: &Roster,
        now: Instant,
    ) -> Option<Outgoing> {
        let service = |target: &str| {
            let known = view.targets.by_name().get(target)?;
            let is_near = known.report.place.region == view.place.region;
            is_near.then(|| known.report.service.clone())
        };
        let part = {
            let paths = reach.paths().borrow();
            let longest = |target: &str| reach.longest_age(target);
            Part::question(roster.instance(), &paths, service, longest)
        };
        reach.set_asking(part.is_some(), now);
        let Some(part) = part else {
            self.named.clear();
            return None;
        };
        Some(Outgoing {
            to: self.recipients(reach, roster, now),
            datagram: Datagram::PathQuestion(part),
        })
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
    pub fn receive(&mut self, reach: &Reach, roster: &Roster, part: &Part, now: Instant) {
        // Only an instance of this region that is listed as alive may get requests of this one.
        if !roster.neighbours().contains(&part.instance) {
            return;
        }
        reach.answered(&part.instance, now);
        part.apply(&mut reach.paths().borrow_mut(), now);
        let named = part.named.iter().take(MAX_NAMED);
        let others = named.filter(|name| *name != roster.instance());
        self.named.extend(others.cloned());
        self.named.truncate(MAX_HELPERS);
    }
}

/// Returns the answer to a question; none if this instance takes no more requests of neighbours.
pub fn answer(reach: &Reach, roster: &Roster, question: &Part, now: Instant) -> Option<Datagram> {
    if reach.is_full() {
        return None;
    }
    let mut paths = reach.paths().borrow_mut();
    let answer = question.answer(roster.instance(), &mut paths, now);
    if answer.times.len() < question.times.len() {
        // Targets without evidence are probed now.
        reach.probes.notify_one();
    }
    Some(Datagram::PathAnswer(answer))
}
