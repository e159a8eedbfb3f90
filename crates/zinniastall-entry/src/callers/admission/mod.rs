//! Admission and choice over all traffic threads of an instance.
//!
//! One short critical section holds what this instance knows of its targets and who waits for them.
//! No control work takes this lock; grants to waiting requests are sent after it is released.

mod candidates;
mod flight;
mod line;
mod queues;
mod sent;
mod waiting;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::{id, object::Subject};
use zinniastall_route::{
    admit,
    budget::Budget,
    choose::{self, Chooser},
    load::{End, Table},
    outcome::{Reason, Refusal},
    policy::Policy,
    request::Request,
};

use crate::view::{self, Board, View};

pub use flight::{Away, Flight};
pub use waiting::Waiting;

use candidates::Candidates;
use line::Grant;
use queues::Queues;

/// When to come back if nothing serves a subject: targets renew their leases about this often.
const ABSENT: Duration = Duration::from_secs(1);

/// Where a request goes.
#[derive(Debug)]
pub enum Verdict {
    /// To a target of this zone.
    Here(Box<Flight>),
    /// To another zone or region.
    Away(Away),
    /// It waits for its turn.
    Wait(Waiting),
}

/// Admission and choice over all traffic threads of an instance.
#[derive(Debug, Clone)]
pub struct Admission {
    board: Board,
    policy: Arc<Policy>,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    chooser: Chooser,
    budget: Budget,
    queues: Queues,
    /// Requests of this instance in progress at targets.
    running: u32,
    /// Requests that this instance can keep at targets: the slots of its zone.
    capacity: u32,
    seen: Arc<IndexMap<id::Target, view::Target>>,
}

impl Admission {
    /// Creates the admission of an instance.
    pub fn new(board: Board, policy: Arc<Policy>) -> Self {
        let inner = Inner {
            table: Table::default(),
            chooser: Chooser::default(),
            budget: Budget::new(policy.retries()),
            queues: Queues::default(),
            running: 0,
            capacity: 1,
            seen: Arc::default(),
        };
        Self {
            board,
            policy,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Decides where a request goes; targets in `tried` have failed it already.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run and cannot start in time.
    pub fn admit(&self, request: &Request, tried: &[id::Target]) -> Result<Verdict, Refusal> {
        let (view, now) = (self.board.view(), Instant::now());
        let mut guard = self.lock();
        let inner = &mut *guard;
        inner.refresh(&view, now);
        if tried.is_empty() {
            inner.budget.request();
        }
        let found = Candidates::find(&view, request, tried, &self.policy, &inner.table, now);
        let direct = found.have_room() && !inner.queues.anyone_waits(&request.subject);
        let queues = &mut inner.queues;
        if let Some((place, hops)) = queues.spill(&self.policy, &view, request, &found, direct, now)
        {
            return Ok(Verdict::Away(Away::new(self.clone(), place, hops)));
        }
        if found.is_empty() {
            let subject = request.subject.name().to_owned();
            return Err(Refusal::not_run(Reason::NoTarget(subject)).retry(ABSENT));
        }
        if direct && let Some(target) = self.choose(&mut inner.chooser, request, &found, now) {
            return Ok(Verdict::Here(Box::new(
                inner.start(self, request, &target, now),
            )));
        }
        let waiter = found.waiter(&self.policy, request, now);
        let (id, receiver) = queues.wait(&self.policy, waiter, request, tried, &found, now)?;
        let subject = request.subject.clone();
        let waiting = Waiting::new(self.clone(), subject, id, receiver);
        Ok(Verdict::Wait(waiting))
    }

    /// Takes one retry out of the budget.
    pub fn retry(&self) -> bool {
        self.lock().budget.retry()
    }

    fn choose(
        &self,
        chooser: &mut Chooser,
        request: &Request,
        found: &Candidates<'_>,
        now: Instant,
    ) -> Option<id::Target> {
        let open = found.with_room();
        let random = &mut rand::rng();
        chooser.choose(&self.policy, &request.prefixes, &open, now, random)
    }

    /// Ends a request at a target and grants the room to whoever waits.
    fn end(&self, target: &str, run: id::Incarnation, end: End) {
        let grants = {
            let now = Instant::now();
            let mut inner = self.lock();
            inner.table.end(target, run, end, now);
            inner.running = inner.running.saturating_sub(1);
            inner.tell_load(&self.board);
            inner.grant(self, now)
        };
        send(grants);
    }

    /// Looks again whether waiting requests can start, since targets may have come.
    fn look(&self) {
        let grants = self.lock().grant(self, Instant::now());
        send(grants);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Counts and queues are consistent between statements, so they stay usable after a panic.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends grants outside the lock: one that finds its request gone ends its flight, which locks.
fn send(grants: Vec<Grant>) {
    for grant in grants {
        drop(grant.sender.send(grant.flight));
    }
}

impl Inner {
    /// Takes in what changed in the view.
    fn refresh(&mut self, view: &View, now: Instant) {
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

    fn start(
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
    fn grant(&mut self, admission: &Admission, now: Instant) -> Vec<Grant> {
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
    fn hopeless(
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
