//! Detects targets that crash while processing requests, and tracks the requests and prompt parts that
//! crash them.
//!
//! A connection may break for many reasons: a reset, a truncation, a corrupt answer, a planned
//! stop, a partition. The target has crashed if it was expected to stay, refuses the next connection,
//! and no neighbour reaches it any more.

use std::{
    cell::RefCell,
    sync::Arc,
    time::{Duration, Instant},
};

use http::HeaderMap;
use tokio::time;
use zinniastall_coord::quarantine::{self, Change, Key, Probes, Standing};
use zinniastall_http::probe;
use zinniastall_model::fingerprint::{Fingerprint, Suspect};

use super::{
    Proxy,
    answer::Refusal,
    attempt::{Attempt, Ended, Place},
    job::{Job, header_text},
    reach,
    responder::Responder,
};
use crate::{
    headers::{SUSPICION, SUSPICIONS},
    neighbours::permits::{Answer, Permit},
    suspects::{self, Sent},
};

/// Time within which another region's report of a crash arrives: the transit between the
/// regions, plus batching.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(80);
/// Time that a stream has to go on after its first event to clear its parts, which crash a target as it
/// begins to answer.
const PROGRESS_TIME: Duration = Duration::from_secs(1);
/// Longest time for which a weak suspect's permit lasts, so that a long answer doesn't hold all other
/// requests with the suspect back.
const WEAK_PERMIT_TIME: Duration = Duration::from_secs(1);

/// Whether a request may be sent despite the suspicion against it.
#[derive(Debug)]
pub(super) enum Clearance<'a> {
    /// The request may be sent; if it is a suspect, for as long as the probe lives.
    Granted(Option<Probe<'a>>),
    /// The request has to wait while another copy of it is at a target; it may be sent in spite of
    /// that once it has waited as long as it may, if `is_weak`.
    Held {
        /// Whether the request is no strong suspect.
        is_weak: bool,
    },
    /// The request is quarantined.
    Refused,
}

/// What was known of a request before an attempt.
#[derive(Debug)]
pub(super) struct Before {
    /// What was known against the request and its parts, for attempts at other instances.
    known: Vec<Suspect>,
    /// What was known of the request and the target, for attempts at targets.
    sent: Option<Sent>,
}

/// Guard that marks the suspects of a request as being at a target.
#[derive(Debug)]
pub(super) struct Probe<'a> {
    probes: &'a RefCell<Probes<Fingerprint>>,
    suspects: Vec<Fingerprint>,
    kind: Kind,
    /// Returned when the guard is dropped.
    permits: Vec<Permit>,
}

/// Why a request with suspects is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Weak,
    Strong,
    /// To learn whether a quarantined suspect still crashes targets.
    Trial,
}

impl Probe<'_> {
    /// Records that the request is sent to a target; returns `false` if it is a strong suspect and
    /// another one is there.
    pub(super) fn enter(&self, target: &str) -> bool {
        self.kind == Kind::Weak || self.probes.borrow_mut().enter(target, &self.suspects)
    }

    /// Returns whether the request tries a quarantined suspect, which it does once.
    pub(super) fn is_trial(&self) -> bool {
        self.kind == Kind::Trial
    }
}

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        self.probes.borrow_mut().end(&self.suspects);
    }
}

/// Returns whether a request may share its target with the suspects that are there.
pub(super) fn may_enter(probe: Option<&Probe<'_>>, place: &Place) -> bool {
    let (Some(probe), Some(target)) = (probe, place.destined_target()) else {
        return true;
    };
    probe.enter(target)
}

impl Proxy {
    /// Returns the largest number of crashes that count against a request or a part of it.
    fn crashes(&self, job: &Job) -> usize {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() {
            return 0;
        }
        let crashes = job.subjects().keys().map(|key| suspects.crashes(key));
        crashes.max().unwrap_or(0)
    }

    /// Returns what is known against a request and its parts.
    pub(super) fn suspicions(&self, job: &Job) -> Vec<Suspect> {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() {
            return Vec::new();
        }
        suspects.known().suspicions(job.subjects())
    }

    /// Returns how a request stands.
    pub(super) fn standing(&self, job: &Job) -> Standing<Fingerprint> {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() {
            return Standing::free();
        }
        suspects.known().standing(job.subjects(), Instant::now())
    }

    /// Returns whether a request is quarantined, and no trial is due that could be made with it.
    pub(super) fn is_rejected(&self, standing: &Standing<Fingerprint>, job: &Job) -> bool {
        standing.clearance == quarantine::Clearance::Refused
            && self.due_trial(standing, job).is_none()
    }

    /// Returns whether a request may be sent.
    pub(super) async fn clearance(&self, job: &Job) -> Clearance<'_> {
        let standing = self.standing(job);
        match standing.clearance {
            quarantine::Clearance::Free => Clearance::Granted(None),
            quarantine::Clearance::Paced => self.probe(job, standing, Kind::Weak).await,
            quarantine::Clearance::Alone => self.probe(job, standing, Kind::Strong).await,
            quarantine::Clearance::Unsettled => Clearance::Held { is_weak: false },
            quarantine::Clearance::Refused => self.trial(job, &standing).await,
        }
    }

    /// Marks the suspects of a request as at a target, with a permit for each. A request that another
    /// instance handed on has that instance's permits.
    async fn probe(&self, job: &Job, standing: Standing<Fingerprint>, kind: Kind) -> Clearance<'_> {
        let suspects = &standing.suspects;
        let is_unconfirmed = {
            let known = self.suspects.borrow();
            known.known().is_unconfirmed(&standing, Instant::now())
        };
        let held = Clearance::Held {
            is_weak: is_unconfirmed,
        };
        if !self.probes.borrow_mut().begin(suspects) {
            return held;
        }
        let mut probe = Probe {
            probes: &self.probes,
            suspects: standing.suspects,
            kind,
            permits: Vec::new(),
        };
        if job.is_passed_on {
            return Clearance::Granted(Some(probe));
        }
        let left = job.left(Instant::now());
        let time = match kind {
            Kind::Weak => left.min(WEAK_PERMIT_TIME),
            Kind::Strong | Kind::Trial => left,
        };
        for suspect in probe.suspects.clone() {
            match self.acquire(suspect, time).await {
                Answer::Granted(permit) => probe.permits.push(permit),
                Answer::Denied => return held,
                Answer::Silent => {}
            }
        }
        probe.permits.iter_mut().for_each(Permit::use_up);
        Clearance::Granted(Some(probe))
    }

    async fn acquire(&self, suspect: Fingerprint, time: Duration) -> Answer {
        let answer = self
            .permits
            .acquire(&self.state, &self.suspects, suspect, time)
            .await;
        self.metrics.count_suspect(match answer {
            Answer::Granted(_) => "permitted",
            Answer::Denied => "denied",
            Answer::Silent => "unanswered",
        });
        answer
    }

    /// Returns the only quarantined suspect of a request, if it may be tried again.
    fn due_trial(&self, standing: &Standing<Fingerprint>, job: &Job) -> Option<Fingerprint> {
        let [suspect] = *standing.suspects else {
            return None;
        };
        let suspects = self.suspects.borrow();
        let due = suspects.known().due_trial(suspect, Instant::now());
        due.filter(|_| !job.is_passed_on).map(|_| suspect)
    }

    /// Tries a quarantined suspect with a request, if that is due and its coordinator permits it.
    async fn trial(&self, job: &Job, standing: &Standing<Fingerprint>) -> Clearance<'_> {
        let Some(suspect) = self.due_trial(standing, job) else {
            return Clearance::Refused;
        };
        if !self.permits.may_ask_for_trial(suspect, Instant::now()) {
            return Clearance::Refused;
        }
        let left = job.left(Instant::now());
        let Answer::Granted(mut permit) = self.acquire(suspect, left).await else {
            return Clearance::Refused;
        };
        if !self.probes.borrow_mut().begin(&[suspect]) {
            return Clearance::Refused;
        }
        permit.use_up();
        self.request_log.tried(job, suspect);
        Clearance::Granted(Some(Probe {
            probes: &self.probes,
            suspects: vec![suspect],
            kind: Kind::Trial,
            permits: vec![permit],
        }))
    }

    /// Records that a request was rejected because it or a part of it is quarantined; returns why.
    pub(super) fn record_rejection(&self, job: &Job) -> Refusal {
        let standing = self.standing(job);
        self.metrics.count_suspect("rejected");
        self.request_log
            .quarantined(job, "quarantine-rejected", &standing.suspects);
        let mut suspects = standing.suspects.iter();
        if suspects.any(Key::is_part) {
            Refusal::PartQuarantined
        } else {
            Refusal::Quarantined
        }
    }

    /// Returns what is known before an attempt.
    pub(super) fn known_before(&self, job: &Job, place: &Place) -> Before {
        let Place::Target { target, .. } = place else {
            return Before {
                known: self.suspicions(job),
                sent: None,
            };
        };
        let view = self.state.view();
        let known = view.targets.by_name().get(target.as_str());
        let run = known.map(|known| suspects::run(&known.report));
        let suspects = self.suspects.borrow();
        Before {
            known: Vec::new(),
            sent: run.map(|run| suspects.sent(|| job.subjects(), run)),
        }
    }

    /// Updates the suspicion against a request after an attempt, and returns whether its target
    /// crashed.
    pub(super) async fn update_suspicion(
        &self,
        attempt: &Attempt<'_>,
        ended: &Ended,
        before: &Before,
        responder: &Responder,
    ) -> bool {
        let job = attempt.job;
        match ended {
            Ended::Delivered(_) => {
                let status = responder.status();
                if status.is_some_and(|status| status.is_success()) {
                    self.record_success(job);
                }
                false
            }
            Ended::Unknown(_) | Ended::Broken(_) | Ended::Torn(_) => match attempt.place {
                Place::Target {
                    target, address, ..
                } => {
                    let begun = responder.begun().map(|begun| begun.elapsed());
                    let has_crashed = self.has_crashed(target, address).await;
                    let sent = before.sent.as_ref().filter(|sent| !sent.had_crashed());
                    if let Some(sent) = sent.filter(|_| has_crashed) {
                        self.record_crash(job, target, sent, begun);
                    }
                    has_crashed
                }
                Place::Instance { .. } => {
                    let is_broken = matches!(ended, Ended::Broken(_));
                    self.has_crashed_elsewhere(job, is_broken, &before.known)
                        .await
                }
            },
            _ => false,
        }
    }

    /// Returns whether a target whose connection broke has crashed.
    async fn has_crashed(&self, target: &str, address: &str) -> bool {
        let broke_at = Instant::now();
        self.has_ended(target, address).await && !self.is_contradicted(target, broke_at).await
    }

    /// Returns whether an instance of another region reported a crash that was unknown before.
    async fn has_crashed_elsewhere(&self, job: &Job, is_broken: bool, before: &[Suspect]) -> bool {
        // An interrupted stream carries no report of a crash, so the separate report is awaited;
        // it matters only if the stream may resume.
        if is_broken && job.is_resumable() {
            time::sleep(CRASH_REPORT_DELAY).await;
        }
        quarantine::has_new_crash(before, &self.suspicions(job))
    }

    /// Merges what another instance reports against a request and its parts.
    pub(super) fn merge_suspicion(&self, job: &Job, headers: &HeaderMap) {
        for (suspect, suspicion) in reported(job, headers) {
            let mut suspects = self.suspects.borrow_mut();
            suspects.merge(suspect, &suspicion, None, Instant::now());
        }
    }

    /// Takes over the quarantined requests held by the control group, and publishes those that it
    /// lacks.
    pub fn keep_suspects(&self) {
        let kept = self.state.suspects();
        let mut suspects = self.suspects.borrow_mut();
        let lacking = suspects.reconcile(&kept.held.load(), Instant::now());
        if **kept.missing.load() != lacking {
            kept.missing.store(Arc::new(lacking));
        }
    }

    /// Syncs with the control group if its list has changed, so that an instance that has just
    /// started does not run a request known to be quarantined.
    pub(super) fn sync_quarantine_if_changed(&self) {
        let held = self.state.suspects().held.load();
        if self.suspects.borrow().is_reconciled(&held) {
            return;
        }
        self.keep_suspects();
    }

    /// Returns whether a target's process has ended although it was expected to stay.
    pub(super) async fn has_ended(&self, target: &str, address: &str) -> bool {
        if !self.is_expected_to_stay(target) {
            return false;
        }
        if self.is_paused(target) {
            return probe::has_ended(address).await;
        }
        let view = self.state.view();
        let health_path = reach::address(&view, target).map_or("/", |(_, path)| path);
        probe::is_refused(address, health_path).await
    }

    /// Returns whether a target is expected to stay; one that leaves or was removed ends as
    /// planned.
    pub(super) fn is_expected_to_stay(&self, target: &str) -> bool {
        let view = self.state.view();
        let known = view.targets.by_name().get(target);
        known.is_some_and(|known| {
            known.gone_at.is_none() && !self.has_departed(target, known.report.incarnation)
        })
    }

    fn record_crash(&self, job: &Job, target: &str, sent: &Sent, begun: Option<Duration>) {
        let now = Instant::now();
        let has_gone_on = begun.is_some_and(|begun| begun >= PROGRESS_TIME);
        let change = if has_gone_on {
            let request = job.subjects().without_parts();
            self.suspects.borrow_mut().record_crash(&request, sent, now)
        } else {
            self.suspects
                .borrow_mut()
                .record_crash(job.subjects(), sent, now)
        };
        let crashes = self.crashes(job);
        self.news.notify_one();
        self.metrics.count_suspect("crashed");
        let flights = self.in_flight(target, now).saturating_add(1);
        self.request_log
            .crashed(job, target, flights, crashes, begun);
        if change == Change::Quarantined {
            self.metrics.count_suspect("quarantined");
            let standing = self.standing(job);
            self.request_log
                .quarantined(job, "quarantined", &standing.suspects);
        }
    }

    /// Returns the in-flight requests at a target, of all instances as far as they are known.
    fn in_flight(&self, target: &str, now: Instant) -> u32 {
        let others = self.neighbours.borrow().load_at(target, now);
        self.own_in_flight(target).saturating_add(others.in_flight)
    }

    /// Returns the in-flight requests of this instance at a target.
    pub(super) fn own_in_flight(&self, target: &str) -> u32 {
        let mut tracker = self.tracker.borrow_mut();
        let own = tracker.find(target);
        own.map_or(0, |account| account.in_flight)
    }

    fn record_success(&self, job: &Job) {
        let now = Instant::now();
        let mut suspects = self.suspects.borrow_mut();
        if suspects.is_empty() {
            if suspects.is_sample_due(now) {
                suspects.remember_finish(&job.shared_parts());
            }
            return;
        }
        let cleared = suspects.record_finish(job.subjects(), now);
        drop(suspects);
        self.record_cleared(job, &cleared);
    }

    /// Records that a stream still goes on; returns whether that clears its parts.
    pub(super) fn record_progress(&self, job: &Job, responder: &Responder) -> bool {
        let begun = responder.begun();
        if begun.is_none_or(|begun| begun.elapsed() < PROGRESS_TIME) {
            return false;
        }
        let mut suspects = self.suspects.borrow_mut();
        if !suspects.is_empty() {
            let cleared = suspects.record_progress(job.subjects(), Instant::now());
            drop(suspects);
            self.record_cleared(job, &cleared);
        }
        true
    }

    fn record_cleared(&self, job: &Job, cleared: &[Fingerprint]) {
        if cleared.is_empty() {
            return;
        }
        self.news.notify_one();
        for suspect in cleared {
            self.metrics.count_suspect("cleared");
            self.request_log.cleared(job, *suspect);
        }
    }
}

/// Returns what another instance reports against a request and its parts.
fn reported(job: &Job, headers: &HeaderMap) -> Vec<Suspect> {
    let unreadable = |error: serde_json::Error| {
        tracing::warn!(event = "suspicion-unreadable", id = job.id, error = %error);
    };
    if let Some(list) = header_text(headers, &SUSPICIONS) {
        let list: Result<Vec<Suspect>, _> = serde_json::from_str(list);
        let mut list = list.map_err(unreadable).unwrap_or_default();
        list.retain(|(suspect, _)| job.subjects().has(*suspect));
        return list;
    }
    let suspicion = header_text(headers, &SUSPICION).map(serde_json::from_str);
    let suspicion = suspicion.and_then(|suspicion| suspicion.map_err(unreadable).ok());
    let suspicion = suspicion.map(|suspicion| (job.fingerprint(), suspicion));
    suspicion.into_iter().collect()
}
