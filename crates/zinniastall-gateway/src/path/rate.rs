//! Requests to targets that take a limited rate: reads the rate from answers, and waits for permits.

use std::time::{Duration, Instant};

use http::{HeaderValue, StatusCode};
use tokio::time;
use zinniastall_coord::rate::{Change, Demand, Named, PERMIT_TTL, Permits, Rate, Said, Verdict};
use zinniastall_http::head::Response;

use super::{
    Proxy,
    attempt::{Attempt, Place},
    job::Job,
};
use crate::neighbours::{
    beliefs::{Belief, Opinion},
    rates::Slot,
};

/// A target that bears few rejections has no slot free.
#[derive(Debug)]
pub(super) struct NoSlot;

/// Why a request isn't sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denial {
    /// No permit is available in time.
    ByPermit,
    /// The target takes none, or no more, by what others believe of it.
    ByOthers,
}

impl Proxy {
    /// Records the rate that a target names in its answer, or that it names none.
    ///
    /// An answer of another target that took over the address says nothing. One without the request's
    /// id, on a connection that was used before, may answer an earlier request.
    pub(super) fn observe_rate(
        &self,
        attempt: &Attempt<'_>,
        response: &Response,
        sent_at: Instant,
        is_used: bool,
    ) {
        let Some((target, run)) = attempt.place.run() else {
            return;
        };
        if response.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let is_echoed = response.headers.contains_key(&self.header_names.request_id);
        let field = |name| {
            let fields = response.headers.get_all(name);
            fields.iter().map(HeaderValue::as_bytes)
        };
        let fields = &self.header_names;
        let is_rejection = response.headers.contains_key(&fields.not_run);
        let named = Named::read(
            field(&fields.rate_limit),
            field(&fields.rejection_limit),
            is_rejection,
        );
        let Named { rate, rejections } = match named {
            Ok(read) => read,
            Err(invalid) => {
                self.metrics.count_limit("invalid");
                self.request_log
                    .unreadable_rate(attempt.job, target, &invalid);
                return;
            }
        };
        self.rates.set_rejections(target, rejections);
        if is_rejection && rejections.is_some() {
            self.metrics.count_limit("rejected");
        }
        let said = Said {
            incarnation: run,
            rate,
            sent_at: (is_echoed || !is_used).then_some(sent_at),
        };
        let change = self.rates.observe(target, said, Instant::now());
        if matches!(change, Change::Lowered | Change::Raised) {
            let is_lower = change == Change::Lowered;
            self.metrics
                .count_limit(if is_lower { "lowered" } else { "raised" });
            let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            tracing::info!(event = "target-limit", target, rate, via = "answer");
        }
    }

    /// Borrows a slot of the target at a place, if the target bears few rejections.
    pub(super) async fn slot(&self, job: &Job, place: &Place) -> Result<Option<Slot>, NoSlot> {
        let Some(target) = place
            .target()
            .filter(|target| self.rates.is_brittle(target))
        else {
            return Ok(None);
        };
        let view = self.state.view();
        let known = view.targets.by_name().get(target).ok_or(NoSlot)?;
        let now = Instant::now();
        let in_flight = || {
            let others = self.neighbours.borrow().load_at(target, now);
            let own = self.tracker.borrow().in_flight(target);
            others.in_flight.saturating_add(own)
        };
        let slot = self
            .rates
            .borrow_slot(&self.state, known, job.left(now), in_flight);
        let slot = slot.await;
        let outcome = if slot.is_some() { "lent" } else { "no-slot" };
        self.metrics.count_permit(outcome);
        slot.map(Some).ok_or(NoSlot)
    }

    /// Admits a request to a target, with a permit if the target takes a limited rate. If this instance
    /// may have missed that it does, others are asked.
    pub(super) async fn permit(
        &self,
        job: &Job,
        target: &str,
        rate: Option<Rate>,
    ) -> Result<(), Denial> {
        if let Some(rate) = rate {
            let is_granted = self.await_permit(job, target, rate).await;
            return is_granted.then_some(()).ok_or(Denial::ByPermit);
        }
        let start = job.cold_start();
        let view = self.state.view();
        let known = view.targets.by_name().get(target);
        let (Some(known), Some(rate)) = (known, start.rate) else {
            return Ok(());
        };
        let belief = self.rates.belief(&self.state, known, start).await;
        let is_admitted = match belief {
            Belief::Known(Opinion::Warm | Opinion::Unsure) => return Ok(()),
            Belief::Known(Opinion::Limited) => self.await_permit(job, target, rate).await,
            Belief::Known(Opinion::Unusable) => false,
            Belief::Alone => self.rates.take_alone(&self.state, target),
        };
        self.metrics.count_permit("doubted");
        self.request_log.doubted(job, target, belief, is_admitted);
        is_admitted.then_some(()).ok_or(Denial::ByOthers)
    }

    /// Waits for a permit to send a request to a target that takes a limited rate; returns whether
    /// the request may be sent there now.
    async fn await_permit(&self, job: &Job, target: &str, rate: Rate) -> bool {
        let expected = self.rates.wait(target, Instant::now());
        let demand = Demand {
            rate,
            patience: Permits::patience(expected).min(job.objective(Instant::now())),
        };
        let verdict = self.rates.acquire(&self.state, target, demand).await;
        let source = || self.rates.source(&self.state, target, Instant::now());
        self.request_log
            .permit(job, target, demand, verdict, source);
        let wait = match verdict {
            Some(Verdict::Granted { wait, .. }) => wait,
            Some(Verdict::Denied { .. }) => {
                self.metrics.count_permit("denied");
                return false;
            }
            None => {
                self.metrics.count_permit("unanswered");
                return false;
            }
        };
        self.metrics.count_permit("granted");
        wait.is_zero() || self.wait_until_due(job, target, rate, wait).await
    }

    /// Waits until a permit is due; returns whether it is still good then.
    async fn wait_until_due(&self, job: &Job, target: &str, rate: Rate, wait: Duration) -> bool {
        let due = Instant::now() + wait;
        time::sleep_until(due.into()).await;
        let now = Instant::now();
        let view = self.state.view();
        let known = view.targets.by_name().get(target);
        let is_good = known.is_some_and(|known| {
            let is_lower = self
                .rates
                .rate(known, job.cold_start(), now)
                .is_some_and(|current| current < rate);
            now <= due + PERMIT_TTL && !is_lower && self.may_get_requests(known, &view, now)
        });
        if !is_good {
            self.metrics.count_permit("void");
        }
        is_good
    }
}
