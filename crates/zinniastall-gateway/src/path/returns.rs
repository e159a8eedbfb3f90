//! Returns of rejected requests: books room for them, and redeems the promise when they come.

use std::time::{Duration, Instant};

use rand::Rng;
use zinniastall_model::fingerprint::Fingerprint;

use super::{Proxy, attempt::Place, job::Job};
use crate::{
    decide::{
        place::{Candidate, Constraints},
        returns::{
            GRACE, MIN_DELAY, latest_delay,
            promises::{Key, Promise, State},
            schedule::{Request, Work},
        },
    },
    request_log::Basis,
    view::View,
};

/// Least work of a request at an engine, in microseconds: one whose prompt is cached still takes a slot
/// and some steps of the batch.
const MIN_WORK_US: Work = 5_000;

/// What is known of the promise for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Return {
    /// No holder was asked.
    #[default]
    Unasked,
    /// A promise was redeemed.
    Redeemed,
    /// A promise was redeemed and the request was sent.
    Kept,
    /// The promise is due after this time.
    Early(Duration),
    /// No holder knows of a promise.
    Unknown,
}

impl Return {
    /// Returns whether the request was promised room.
    pub const fn is_promised(self) -> bool {
        matches!(self, Self::Redeemed | Self::Kept)
    }
}

impl Proxy {
    /// Redeems the promise for a request that found no room; returns whether it may be placed as a
    /// promised one. Each request asks once.
    pub(super) async fn redeem_return(&self, job: &Job, basis: &Basis) -> bool {
        let view = self.state.view();
        let may_ask = job.promise.get() == Return::Unasked && job.states_less_time();
        if !may_ask || !may_return(job, basis, &view) {
            return false;
        }
        let asked_at = Instant::now();
        let found = self.returns.ask(&view, key(job.fingerprint())).await;
        let (known, outcome) = match found.state {
            State::Due => (Return::Redeemed, "redeemed"),
            State::Early(left) => (Return::Early(left), "early"),
            State::None if found.holder.is_some() => (Return::Unknown, "unknown"),
            State::None => (Return::Unknown, "unanswered"),
        };
        job.promise.set(known);
        let holder = found.holder.as_deref();
        if known == Return::Redeemed {
            self.request_log
                .return_redeemed(job, holder, asked_at.elapsed(), basis);
            return true;
        }
        self.metrics.count_return(outcome);
        self.request_log.return_missed(job, outcome, holder, basis);
        false
    }

    /// Books the return of a rejected request; returns the time after which its caller should retry,
    /// which is `default` for a request that is not rejected for lack of room.
    pub(super) fn book_return(&self, job: &Job, basis: &Basis, default: Duration) -> Duration {
        let (view, now) = (self.state.view(), Instant::now());
        if !may_return(job, basis, &view) {
            return default;
        }
        match job.promise.get() {
            Return::Early(left) => return left,
            Return::Redeemed => {
                self.metrics.count_return("broken");
                self.request_log.return_missed(job, "broken", None, basis);
            }
            _ => {}
        }
        let left = job.left(now);
        let latest = latest_delay(left);
        if latest < MIN_DELAY {
            return default;
        }
        // Callers return once, so a promise for a return that is rejected would waste its room.
        let promised =
            (!job.is_return()).then(|| self.promise_return(job, basis, left, &view, now));
        promised.flatten().unwrap_or(latest)
    }

    /// Does the same for a request that another region rejected, which says nothing of its prefill.
    pub(super) fn book_remote_return(
        &self,
        job: &Job,
        basis: &Basis,
        default: Duration,
    ) -> Duration {
        let prefill = self.policy.rates.expected(job.prompt.tokens, 0);
        let basis = Basis { prefill, ..*basis };
        self.book_return(job, &basis, default)
    }

    /// Books room for a request and gives the promise to its holders; returns the time until the
    /// request should return, or `None` if there is no room.
    fn promise_return(
        &self,
        job: &Job,
        basis: &Basis,
        left: Duration,
        view: &View,
        now: Instant,
    ) -> Option<Duration> {
        let request = Request {
            work: work(job, basis),
            priority: job.priority(),
            left,
            service_time: basis.prefill,
        };
        let mut random = rand::rng();
        let mut schedules = self.schedules.borrow_mut();
        let booking = schedules.book(&job.service, &request, random.random(), now);
        let Some(booking) = booking else {
            self.metrics.count_return("no-room");
            return None;
        };
        let promise = Promise {
            key: key(job.fingerprint()),
            id: random.random(),
            due: booking.delay,
            until: booking.slot_end + GRACE,
        };
        self.returns.give(view, promise);
        self.metrics.count_return("promised");
        self.request_log
            .return_promised(job, basis, &request, &booking);
        Some(booking.delay)
    }

    /// Records that a request is sent to a place: it counts towards the room of later returns, and a
    /// promise for it is kept.
    pub(super) fn record_admission(&self, job: &Job, place: &Place, basis: &Basis) {
        if !self.state.view().load_control.returns || job.is_passed_on {
            return;
        }
        if job.promise.get() == Return::Redeemed {
            job.promise.set(Return::Kept);
            self.metrics.count_return("kept");
        }
        if place.destined_target().is_some() {
            let mut schedules = self.schedules.borrow_mut();
            schedules.admit(&job.service, work(job, basis), Instant::now());
        }
    }

    /// Adds the promised work that is due now to the waits of a request that was not promised room.
    ///
    /// All instances of the region give promises at similar rates, and redeemed requests are spread
    /// over all targets, so each target gets this instance's part times the number of instances, divided
    /// by the number of targets.
    pub(super) fn reserve_due(
        &self,
        job: &Job,
        candidates: &mut [Candidate],
        slots: u32,
        view: &View,
        now: Instant,
    ) {
        if !view.load_control.returns || job.promise.get().is_promised() {
            return;
        }
        let mut schedules = self.schedules.borrow_mut();
        let due = schedules.due(&job.service, job.priority(), now);
        if due == 0 || candidates.is_empty() {
            return;
        }
        let due = saturating(due).saturating_mul(saturating(self.returns.instances(view) as u64));
        let by_target = due / saturating(candidates.len() as u64);
        let is_engine = job.engine().is_some();
        let wait = if is_engine {
            Duration::from_micros(by_target.into())
        } else {
            let service_time = self.policy.default_service_time;
            let service_time = self
                .tracker
                .borrow()
                .service_time(&job.service, service_time);
            service_time * by_target / slots.max(1)
        };
        for candidate in candidates {
            candidate.wait += wait;
            if is_engine {
                candidate.prefill_ahead += wait;
            }
        }
    }

    /// Returns the limits of a request, which are wider if it was promised room.
    pub(super) fn return_constraints(job: &Job, constraints: Constraints) -> Constraints {
        if job.promise.get().is_promised() {
            constraints.promised()
        } else {
            constraints
        }
    }
}

/// Returns whether a rejected request lacks room and its caller may be promised some: it is connected
/// here, and the best target was only too busy. Permits of limited targets come at a known pace, and
/// without any target that is reached there is no room to come.
const fn may_return(job: &Job, basis: &Basis, view: &View) -> bool {
    let is_full = basis.opens_soon && basis.unreached == 0;
    let lacks_room = (basis.candidates > 0 || is_full) && basis.permit_wait.is_zero();
    view.load_control.returns && !job.is_passed_on && lacks_room
}

/// Returns the work of a request, by the estimates at its best target.
fn work(job: &Job, basis: &Basis) -> Work {
    if job.engine().is_none() {
        return 1;
    }
    let prefill_us = Work::try_from(basis.prefill.as_micros()).unwrap_or(Work::MAX);
    prefill_us.max(MIN_WORK_US)
}

/// Returns the first eight bytes of a request's fingerprint.
fn key(fingerprint: Fingerprint) -> Key {
    let first = fingerprint.as_ref().first_chunk().copied();
    Key::from_le_bytes(first.unwrap_or_default())
}

fn saturating(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
