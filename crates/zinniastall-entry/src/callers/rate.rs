//! Requests to targets that take a limited rate: reads the rate from answers, and waits for permits.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};
use tokio::time;
use zinniastall_coord::rate::{Change, Demand, Named, PERMIT_TTL, Permits, Said, Verdict};
use zinniastall_model::header::{RATE_LIMIT, REJECTION_LIMIT};
use zinniastall_wire::gossip;

use super::{call::Call, worker::Worker};
use crate::rates::{Limited, Rates, log_change};

/// Permit to send one request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permit {
    /// The request may be sent now.
    Granted,
    /// The request has to go elsewhere, or to wait.
    Denied,
}

impl Worker {
    fn rates(&self) -> &Rates {
        self.service.shared_view.rates()
    }

    /// Records the rate that a target names in its answer, or that it names none.
    pub(super) fn observe_rate(
        &self,
        report: &gossip::Target,
        call: &Call,
        (headers, is_rejection): (&HeaderMap, bool),
        sent_at: Instant,
    ) {
        let field = |name| headers.get_all(name).iter().map(HeaderValue::as_bytes);
        let named = Named::read(field(RATE_LIMIT), field(REJECTION_LIMIT), is_rejection);
        let rate = match named {
            Ok(named) => named.rate,
            Err(invalid) => {
                self.recorder.count("rates.invalid", 1);
                if self.rates().logs_unreadable(&report.target, Instant::now()) {
                    tracing::warn!(
                        event = "target-limit-unreadable",
                        request = call.request.id,
                        target = report.target,
                        reason = %invalid,
                    );
                }
                return;
            }
        };
        let said = Said {
            incarnation: report.incarnation,
            rate,
            sent_at: Some(sent_at),
        };
        let change = self.rates().observe(&report.target, said, Instant::now());
        match change {
            Change::None | Change::Slight => return,
            Change::Lowered => self.recorder.count("rates.lowered", 1),
            Change::Raised => self.recorder.count("rates.raised", 1),
        }
        log_change(&report.target, rate, "answer");
    }

    /// Waits for a permit to send a request to a target, if that takes a limited rate; `limited` is
    /// the limit by which the target was chosen.
    pub(super) async fn await_permit(
        &self,
        call: &Call,
        report: &gossip::Target,
        limited: Option<Limited>,
    ) -> Permit {
        let current = || self.rates().limited(report, Instant::now());
        let Some(limited) = limited.or_else(current) else {
            return Permit::Granted;
        };
        let left = call
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let demand = Demand {
            rate: limited.rate,
            patience: Permits::patience(limited.wait).min(left / 2),
        };
        self.acquire(call, report, limited, demand).await
    }

    async fn acquire(
        &self,
        call: &Call,
        report: &gossip::Target,
        limited: Limited,
        demand: Demand,
    ) -> Permit {
        let target = report.target.as_str();
        let view = self.view();
        let verdict = self.rates().acquire(&view, target, demand).await;
        let (outcome, wait) = match verdict {
            Some(Verdict::Granted { wait, .. }) => ("granted", Some(wait)),
            Some(Verdict::Denied { .. }) => ("denied", None),
            None => ("unanswered", None),
        };
        tracing::debug!(
            event = "permit",
            request = call.request.id,
            target,
            rate = %demand.rate,
            outcome,
            permit_ms = wait.map(|wait| wait.as_millis()),
        );
        let Some(wait) = wait else {
            self.recorder.count("permits.denied", 1);
            return Permit::Denied;
        };
        self.recorder.count("permits.granted", 1);
        if wait.is_zero() || self.wait_until_due(report, limited, wait).await {
            return Permit::Granted;
        }
        self.recorder.count("permits.void", 1);
        Permit::Denied
    }

    /// Waits until a permit is due; returns whether it is still good then.
    async fn wait_until_due(
        &self,
        report: &gossip::Target,
        limited: Limited,
        wait: Duration,
    ) -> bool {
        let due = Instant::now() + wait;
        time::sleep_until(due.into()).await;
        let now = Instant::now();
        let current = self.rates().limited(report, now);
        let is_lower = current.is_some_and(|current| current.rate < limited.rate);
        let is_known = self.view().targets.contains_key(&report.target);
        now <= due + PERMIT_TTL && !is_lower && is_known
    }
}
