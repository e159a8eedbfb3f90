//! Admission control and target selection for all traffic threads of an instance.
//!
//! A single lock with short critical sections protects the load table and the queues. The control
//! arbiter never takes it, and grants are sent to waiting requests after it is released.

mod candidates;
mod in_flight;
mod outstanding;
mod queued;
mod queues;
mod state;
mod subject_queue;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use zinniastall_coord::retry::{self, Budgets, Denial};
use zinniastall_model::id;
use zinniastall_route::{
    choose::Chooser,
    load::{End, Table},
    outcome::{Reason, Refusal},
    policy::Policy,
    request::Request,
};

use crate::view::Shared;

pub use in_flight::{Forwarded, InFlight};
pub use queued::Queued;

use candidates::{Candidates, Sources};
use state::State;
use subject_queue::Grant;

/// Retry hint when no target serves a subject; targets renew their leases at about this interval.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where a request goes.
#[derive(Debug)]
pub enum Decision {
    /// To a target in this zone.
    Local(Box<InFlight>),
    /// To another zone or region.
    Forwarded(Forwarded),
    /// Into the queue.
    Queued(Queued),
}

/// Admission control and target selection for all traffic threads of an instance.
#[derive(Debug, Clone)]
pub struct Admission {
    shared_view: Shared,
    policy: Arc<Policy>,
    retries: Budgets,
    state: Arc<Mutex<State>>,
}

impl Admission {
    /// Creates the admission control of an instance.
    pub fn new(shared_view: Shared, policy: Arc<Policy>) -> Self {
        Self {
            shared_view,
            retries: Budgets::new(policy.retry_bound()),
            state: Arc::new(Mutex::new(State::new())),
            policy,
        }
    }

    /// Counts a new request, which earns a part of a retry.
    pub fn begin(&self, request: &Request) {
        self.retries.deposit(request.subject.name(), Instant::now());
    }

    /// Decides where a request goes; the targets in `tried` have already failed it.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if the request cannot start in time.
    pub fn admit(&self, request: &Request, tried: &[id::Target]) -> Result<Decision, Refusal> {
        let (view, now) = (self.shared_view.view(), Instant::now());
        let mut guard = self.lock();
        let state = &mut *guard;
        state.refresh(&view, now);
        let sources = self.sources(&state.table);
        let found = Candidates::find(&view, request, tried, sources, now);
        let starts_now = found.have_room() && !state.queues.has_waiting(&request.subject);
        let queues = &mut state.queues;
        if let Some((place, hops)) =
            queues.spill(&self.policy, &view, request, &found, starts_now, now)
        {
            return Ok(Decision::Forwarded(Forwarded::new(
                self.clone(),
                place,
                hops,
            )));
        }
        if found.is_empty() || found.go_back(request) {
            let subject = request.subject.name().to_owned();
            return Err(Refusal::not_run(Reason::NoTarget(subject))
                .retry_after(found.retry_after(NO_TARGET_RETRY_AFTER)));
        }
        if starts_now && let Some(target) = self.choose(&mut state.chooser, request, &found, now) {
            let limited = found.limit_of(&target);
            return Ok(Decision::Local(Box::new(state.start(
                self,
                request,
                (&target, limited),
                now,
            ))));
        }
        let waiter = found.waiter(&self.policy, request, now);
        let (id, receiver) = queues.enqueue(&self.policy, waiter, request, tried, &found, now)?;
        let subject = request.subject.clone();
        let waiting = Queued::new(self.clone(), subject, id, receiver);
        Ok(Decision::Queued(waiting))
    }

    /// Reserves a retry of a request in the budget.
    ///
    /// # Errors
    ///
    /// Returns the [`Denial`] if the budget is exhausted.
    pub fn retry(&self, request: &Request) -> Result<retry::Grant, Denial> {
        let share = self.shared_view.view().retry_share;
        let name = request.subject.name();
        self.retries.reserve(name, share, Instant::now())
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

    /// Returns what the choice of targets depends on besides the view.
    fn sources<'a>(&'a self, table: &'a Table) -> Sources<'a> {
        Sources {
            policy: &self.policy,
            table,
            rates: self.shared_view.rates(),
            notices: self.shared_view.notices(),
            reach: self.shared_view.paths(),
        }
    }

    /// Ends a request at a target and grants the free slot to waiting requests.
    fn end(&self, target: &str, incarnation: id::Incarnation, end: End) {
        let grants = {
            let now = Instant::now();
            let mut state = self.lock();
            state.end(&self.shared_view, (target, incarnation), end, now);
            state.grant(self, now)
        };
        send_grants(grants);
    }

    /// Grants free slots to waiting requests, since targets may have joined.
    fn grant_waiting(&self) {
        let grants = self.lock().grant(self, Instant::now());
        send_grants(grants);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Counts and queues are consistent between statements, so the state stays usable after a
        // panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends grants without holding the lock: if the waiting request is gone, its grant is dropped,
/// which takes the lock.
fn send_grants(grants: Vec<Grant>) {
    for grant in grants {
        drop(grant.sender.send(grant.in_flight));
    }
}
