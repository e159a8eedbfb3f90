//! Targets that crash while they have requests, and requests under which they do.
//!
//! A connection breaks for many reasons: a reset, a cut, an answer that is spoiled, a planned end. The target has
//! crashed where it was expected to stay and refuses the next connection.

use std::{
    cell::RefCell,
    sync::Arc,
    time::{Duration, Instant},
};

use http::HeaderMap;
use tokio::time;
use zinniastall_coord::quarantine::{CRASH_LIMIT, STRONG_SUSPECT_CRASHES, Suspicion};
use zinniastall_model::fingerprint::Fingerprint;

use super::{
    Proxy,
    attempt::{Attempt, Ended, Place},
    job::{Job, header_text},
    responder::Responder,
    watch::is_refused,
};
use crate::{
    headers::SUSPICION,
    suspects::{self, Change, Suspects},
};

/// Time after which another region's news of a crash is here: a trip, and what gathers news on the way.
const NEWS_DELAY: Duration = Duration::from_millis(80);

/// Whether a request may be sent, by what is known against it.
#[derive(Debug)]
pub(super) enum Clearance<'a> {
    /// It may; a strong suspect for as long as the probe lives.
    Granted(Option<Probe<'a>>),
    /// Not while another copy of it is at a target.
    Held,
    /// It is not run any more.
    Refused,
}

/// Marks a strong suspect as being at a target, for as long as it lives.
#[derive(Debug)]
pub(super) struct Probe<'a> {
    suspects: &'a RefCell<Suspects>,
    request: Fingerprint,
}

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        self.suspects.borrow_mut().end_probe(self.request);
    }
}

impl Proxy {
    /// Returns the crashes that count against a request.
    pub(super) fn crashes(&self, job: &Job) -> usize {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() {
            return 0;
        }
        suspects.crashes(job.fingerprint())
    }

    /// Returns what is known against a request.
    pub(super) fn suspicion(&self, job: &Job) -> Option<Suspicion> {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() {
            return None;
        }
        suspects.suspicion(job.fingerprint()).cloned()
    }

    /// Tells whether a request may be sent.
    pub(super) fn clearance(&self, job: &Job) -> Clearance<'_> {
        let crashes = self.crashes(job);
        if crashes >= CRASH_LIMIT {
            return Clearance::Refused;
        }
        if crashes < STRONG_SUSPECT_CRASHES {
            return Clearance::Granted(None);
        }
        let request = job.fingerprint();
        if !self.suspects.borrow_mut().begin_probe(request) {
            return Clearance::Held;
        }
        Clearance::Granted(Some(Probe {
            suspects: &self.suspects,
            request,
        }))
    }

    /// Notes that a request was rejected because it is quarantined.
    pub(super) fn record_rejection(&self, job: &Job) {
        self.metrics.count_suspect("rejected");
        self.request_log.quarantined(job, "quarantine-rejected");
    }

    /// Learns from the end of an attempt what it says of the request, `before` being the crashes that were known when
    /// it was sent; tells whether its target crashed.
    pub(super) async fn update_suspicion(
        &self,
        attempt: &Attempt<'_>,
        ended: &Ended,
        before: usize,
        responder: &Responder,
    ) -> bool {
        let job = attempt.job;
        match ended {
            Ended::Delivered => {
                let status = responder.status();
                if status.is_some_and(|status| status.is_success()) {
                    self.record_success(job);
                }
                false
            }
            Ended::Unknown(_) | Ended::Broken(_) | Ended::Torn(_) => match attempt.place {
                Place::Target {
                    target, address, ..
                } => self.has_crashed(job, target, address, before > 0).await,
                Place::Instance { .. } => {
                    let is_broken = matches!(ended, Ended::Broken(_));
                    self.has_crashed_elsewhere(job, is_broken, before).await
                }
            },
            _ => false,
        }
    }

    /// Finds out whether a target whose connection broke has crashed, and notes that.
    async fn has_crashed(&self, job: &Job, target: &str, address: &str, was_suspect: bool) -> bool {
        let has_crashed = self.is_expected_to_stay(target) && is_refused(address).await;
        if has_crashed {
            self.record_crash(job, target, was_suspect);
        }
        has_crashed
    }

    /// Tells whether another region's instance knows of a crash that was not known before.
    async fn has_crashed_elsewhere(&self, job: &Job, is_broken: bool, before: usize) -> bool {
        // A broken stream brings no word of what broke it; it only matters where it may go on.
        if is_broken && job.route().resumable {
            time::sleep(NEWS_DELAY).await;
        }
        self.crashes(job) > before
    }

    /// Takes what another instance says of a request.
    pub(super) fn merge_suspicion(&self, job: &Job, headers: &HeaderMap) {
        let Some(suspicion) = header_text(headers, &SUSPICION) else {
            return;
        };
        let suspicion: Suspicion = match serde_json::from_str(suspicion) {
            Ok(suspicion) => suspicion,
            Err(error) => {
                tracing::warn!(event = "suspicion-unreadable", id = job.id, error = %error);
                return;
            }
        };
        let mut suspects = self.suspects.borrow_mut();
        suspects.merge(job.fingerprint(), &suspicion, None, Instant::now());
    }

    /// Takes what the control group holds of requests that aren't run any more, and shows it what it lacks.
    pub fn keep_suspects(&self) {
        let kept = self.state.suspects();
        let mut suspects = self.suspects.borrow_mut();
        let lacking = suspects.reconcile(&kept.held.load(), Instant::now());
        if **kept.missing.load() != lacking {
            kept.missing.store(Arc::new(lacking));
        }
    }

    /// Takes what the control group holds where that is news, so that an instance that has just started doesn't run
    /// what it has been told of.
    pub(super) fn sync_quarantine_if_changed(&self) {
        let held = self.state.suspects().held.load();
        if self.suspects.borrow().is_reconciled(&held) {
            return;
        }
        self.keep_suspects();
    }

    /// Tells whether a target is expected to stay: one that drains or was removed ends as planned.
    fn is_expected_to_stay(&self, target: &str) -> bool {
        let view = self.state.view();
        let known = view.targets.by_name().get(target);
        known.is_some_and(|known| known.gone_at.is_none())
    }

    fn record_crash(&self, job: &Job, target: &str, was_suspect: bool) {
        let now = Instant::now();
        let view = self.state.view();
        let Some(known) = view.targets.by_name().get(target) else {
            return;
        };
        let run = suspects::run(&known.report);
        let mut suspects = self.suspects.borrow_mut();
        let change = suspects.record_crash(job.fingerprint(), run, was_suspect, now);
        let crashes = suspects.crashes(job.fingerprint());
        drop(suspects);
        self.suspects_changed.notify_one();
        self.metrics.count_suspect("crashed");
        let flights = self.in_flight(target, now).saturating_add(1);
        self.request_log.crashed(job, target, flights, crashes);
        if change == Change::Quarantined {
            self.metrics.count_suspect("quarantined");
            self.request_log.quarantined(job, "quarantined");
        }
    }

    /// Returns the requests at a target, of all instances as far as they are known.
    fn in_flight(&self, target: &str, now: Instant) -> u32 {
        let others = self.neighbours.borrow().load_at(target, now);
        let mut tracker = self.tracker.borrow_mut();
        let own = tracker.find(target);
        let own = own.map_or(0, |account| account.in_flight);
        own.saturating_add(others.in_flight)
    }

    fn record_success(&self, job: &Job) {
        if self.crashes(job) == 0 {
            return;
        }
        let mut suspects = self.suspects.borrow_mut();
        if suspects.record_finish(job.fingerprint(), Instant::now()) {
            drop(suspects);
            self.suspects_changed.notify_one();
            self.metrics.count_suspect("cleared");
            self.request_log.cleared(job);
        }
    }
}
