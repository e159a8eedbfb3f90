//! What an instance knows of its targets and of who waits for them, under one lock.

use std::{sync::Arc, time::Instant};

use indexmap::IndexMap;
use zinniastall_model::{id, object::Subject};
use zinniastall_route::{
    admit,
    budget::Budget,
    choose::{self, Chooser},
    load::{End, Table},
    outcome::{Reason, Refusal},
    request::Request,
};

use super::{
    ABSENT, Admission, Flight,
    candidates::{self, Candidates},
    line::Grant,
    queues::Queues,
};
use crate::view::{self, Board, View};

/// What an instance knows of its targets and of who waits for them.
#[derive(Debug)]
pub(super) struct State {
    pub(super) table: Table,
    pub(super) chooser: Chooser,
    pub(super) budget: Budget,
    pub(super) queues: Queues,
    /// Requests of this instance in progress at targets.
    running: u32,
    /// Requests that this instance can keep at targets: the slots of its zone.
    capacity: u32,
    seen: Arc<IndexMap<id::Target, view::Target>>,
}

impl State {
    /// Knows nothing yet; `retries` are permitted for each request.
    pub(super) fn new(retries: f64) -> Self {
        Self {
            table: Table::default(),
            chooser: Chooser::default(),
            budget: Budget::new(retries),
            queues: Queues::default(),
            running: 0,
            capacity: 1,
            seen: Arc::default(),
        }
    }

    /// Ends the count of a request at a target.
    pub(super) fn end(
        &mut self,
        board: &Board,
        flight: (&str, id::Incarnation),
        end: End,
        now: Instant,
    ) {
        let (target, run) = flight;
        self.table.end(target, run, end, now);
        self.running = self.running.saturating_sub(1);
        self.tell_load(board);
    }

    /// Takes in what changed in the view.
    pub(super) fn refresh(&mut self, view: &View, now: Instant) {
        if Arc::ptr_eq(&self.seen, &view.targets) {
            return;
        }
        self.seen = Arc::clone(&view.targets);
        for (name, target) in &*view.targets {
            self.table.observe(name, &candidates::report(target), now);
        }
        self.table.retain(|name| view.targets.contains_key(name));
        self.capacity = candidates::capacity(view);
    }

    /// Tells callers' directory and other zones how busy this instance is.
    fn tell_load(&self, board: &Board) {
        let load = u64::from(self.running) * 1000 / u64::from(self.capacity);
        board.set_load(u32::try_from(load).unwrap_or(u32::MAX));
    }

    pub(super) fn start(
        &mut self,
        admission: &Admission,
        request: &Request,
        target: &str,
        now: Instant,
    ) -> Flight {
        let run = self.table.start(target, &request.prefixes, now);
        self.running += 1;
        self.tell_load(&admission.board);
        let report = self.seen.get(target).map(|target| target.report.clone());
        Flight::new(admission.clone(), target, run, report, now)
    }

    /// Starts waiting requests as far as there is room, and returns what to send to them.
    pub(super) fn grant(&mut self, admission: &Admission, now: Instant) -> Vec<Grant> {
        let view = admission.board.view();
        self.refresh(&view, now);
        let mut grants = Vec::new();
        for subject in self.queues.waiting() {
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
        let line = self.queues.lines.get_mut(subject)?;
        if !candidates::any_room(view, subject, policy, &self.table, now) {
            return None;
        }
        let mut best: Option<(f64, admit::Id, id::Target)> = None;
        for (id, turn) in line.first(policy.window()) {
            let (request, tried) = (&turn.request, &turn.tried);
            let found = Candidates::find(view, request, tried, policy, &self.table, now);
            let target = admission.choose(&mut self.chooser, request, &found, now);
            let Some((target, load)) = target.and_then(|name| {
                let load = self.table.get(&name)?;
                Some((name, load))
            }) else {
                continue;
            };
            let miss = choose::miss(policy, &request.prefixes, load, now);
            if best.as_ref().is_none_or(|(least, ..)| miss < *least) {
                best = Some((miss, id, target));
            }
        }
        let (_, id, target) = best?;
        let turn = line.take(id, now)?;
        let flight = self.start(admission, &turn.request, &target, now);
        Some(Grant {
            sender: turn.sender,
            flight,
        })
    }

    /// Returns whether a waiting request can no longer be served in time, and why.
    pub(super) fn hopeless(
        &mut self,
        admission: &Admission,
        subject: &Subject,
        id: admit::Id,
    ) -> Option<Refusal> {
        let (view, now) = (admission.board.view(), Instant::now());
        self.refresh(&view, now);
        let line = self.queues.lines.get(subject)?;
        let turn = line.turn(id)?;
        let found = Candidates::find(
            &view,
            &turn.request,
            &turn.tried,
            &admission.policy,
            &self.table,
            now,
        );
        if found.is_empty() {
            let reason = Reason::NoTarget(subject.name().to_owned());
            return Some(Refusal::not_run(reason).retry(ABSENT));
        }
        let pace = line.pace(found.pace());
        let wait = pace.saturating_mul(line.ahead(id));
        let late = now + wait + turn.service() > turn.request.deadline;
        late.then(|| Refusal::not_run(Reason::Late).retry(wait.max(pace)))
    }
}
