//! State of admission control, protected by one lock.

use std::{sync::Arc, time::Instant};

use indexmap::IndexMap;
use zinniastall_model::{id, object::Subject};
use zinniastall_route::{
    admit,
    choose::{self, Chooser},
    load::{End, Table},
    outcome::{Reason, Refusal},
    request::Request,
};

use super::{
    Admission, InFlight, NO_TARGET_RETRY_AFTER,
    candidates::{self, Candidates},
    queues::Queues,
    subject_queue::Grant,
};
use crate::{
    rates::Limited,
    view::{self, Shared, View},
};

/// Load of the targets, and queues of an instance.
#[derive(Debug)]
pub(super) struct State {
    pub(super) table: Table,
    pub(super) chooser: Chooser,
    pub(super) queues: Queues,
    /// Requests of this instance in flight at targets.
    in_flight: u32,
    /// Maximum number of requests in flight: the slots of the zone.
    capacity: u32,
    last_targets: Arc<IndexMap<id::Target, view::Target>>,
}

impl State {
    /// Creates an empty state.
    pub(super) fn new() -> Self {
        Self {
            table: Table::default(),
            chooser: Chooser::default(),
            queues: Queues::default(),
            in_flight: 0,
            capacity: 1,
            last_targets: Arc::default(),
        }
    }

    /// Ends a request at a target.
    pub(super) fn end(
        &mut self,
        shared_view: &Shared,
        in_flight: (&str, id::Incarnation),
        end: End,
        now: Instant,
    ) {
        let (target, incarnation) = in_flight;
        self.table.end(target, incarnation, end, now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.publish_load(shared_view);
    }

    /// Applies changes of the view to the load table.
    pub(super) fn refresh(&mut self, view: &View, now: Instant) {
        if Arc::ptr_eq(&self.last_targets, &view.targets) {
            return;
        }
        self.last_targets = Arc::clone(&view.targets);
        for (name, target) in &*view.targets {
            self.table.observe(name, &candidates::report(target), now);
        }
        self.table.retain(|name| view.targets.contains_key(name));
        self.capacity = candidates::zone_slots(view);
    }

    /// Publishes how busy this instance is, for locate and for other zones.
    fn publish_load(&self, shared_view: &Shared) {
        let load = u64::from(self.in_flight) * 1000 / u64::from(self.capacity);
        shared_view.set_load(u32::try_from(load).unwrap_or(u32::MAX));
    }

    /// Counts a request at a target, and on a permit if the target takes a limited rate.
    pub(super) fn start(
        &mut self,
        admission: &Admission,
        request: &Request,
        (target, limited): (&str, Option<Limited>),
        now: Instant,
    ) -> InFlight {
        if let Some(limited) = limited {
            admission.shared_view.rates().assume(target, limited, now);
        }
        let incarnation = self.table.start(target, &request.prefixes, now);
        self.in_flight += 1;
        self.publish_load(&admission.shared_view);
        let report = self
            .last_targets
            .get(target)
            .map(|target| target.report.clone());
        InFlight::new(admission.clone(), target, incarnation, report, now).limited(limited)
    }

    /// Starts waiting requests while there are free slots, and returns their grants.
    pub(super) fn grant(&mut self, admission: &Admission, now: Instant) -> Vec<Grant> {
        let view = admission.shared_view.view();
        self.refresh(&view, now);
        let mut grants = Vec::new();
        for subject in self.queues.waiting_subjects() {
            while let Some(grant) = self.grant_one(admission, &view, &subject, now) {
                grants.push(grant);
            }
        }
        grants
    }

    fn grant_one(
        &mut self,
        admission: &Admission,
        view: &View,
        subject: &Subject,
        now: Instant,
    ) -> Option<Grant> {
        let policy = &admission.policy;
        let sources = admission.sources(&self.table);
        let queue = self.queues.by_subject.get_mut(subject)?;
        if !candidates::any_has_room(view, subject, sources, now) {
            return None;
        }
        let mut best: Option<(f64, admit::Id, id::Target)> = None;
        for (id, entry) in queue.next_entries(policy.window()) {
            let (request, tried) = (&entry.request, &entry.tried);
            let found = Candidates::find(view, request, tried, sources, now);
            let target = admission.choose(&mut self.chooser, request, &found, now);
            let Some((target, load)) = target.and_then(|name| {
                let load = self.table.get(&name)?;
                Some((name, load))
            }) else {
                continue;
            };
            let miss = choose::cache_miss_cost(policy, &request.prefixes, load, now);
            if best.as_ref().is_none_or(|(least, ..)| miss < *least) {
                best = Some((miss, id, target));
            }
        }
        let (_, id, target) = best?;
        let entry = queue.take(id, now)?;
        let found = Candidates::find(view, &entry.request, &entry.tried, sources, now);
        let chosen = (target.as_str(), found.limit_of(&target));
        let in_flight = self.start(admission, &entry.request, chosen, now);
        Some(Grant {
            sender: entry.sender,
            in_flight,
        })
    }

    /// Returns a refusal if a waiting request can no longer be served in time.
    pub(super) fn check_feasible(
        &mut self,
        admission: &Admission,
        subject: &Subject,
        id: admit::Id,
    ) -> Option<Refusal> {
        let (view, now) = (admission.shared_view.view(), Instant::now());
        self.refresh(&view, now);
        let queue = self.queues.by_subject.get(subject)?;
        let entry = queue.get(id)?;
        let found = Candidates::find(
            &view,
            &entry.request,
            &entry.tried,
            admission.sources(&self.table),
            now,
        );
        if found.is_empty() {
            let reason = Reason::NoTarget(subject.name().to_owned());
            return Some(
                Refusal::not_run(reason).retry_after(found.retry_after(NO_TARGET_RETRY_AFTER)),
            );
        }
        let start_interval = queue.start_interval(found.start_interval());
        let wait = start_interval.saturating_mul(queue.ahead(id));
        let late = now + wait + entry.service() > entry.request.deadline;
        late.then(|| {
            Refusal::not_run(Reason::DeadlineNotFeasible).retry_after(wait.max(start_interval))
        })
    }
}
