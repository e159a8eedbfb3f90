//! Requests and messages suspected of crashing targets: when they may be sent, and the evidence for
//! and against them.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::time;
use zinniastall_coord::quarantine::{
    self, Change, Clearance, HELD_RETRY_AFTER, HOLD_POLL_INTERVAL, Key, Standing, Suspicion,
};
use zinniastall_http::probe::has_ended;
use zinniastall_model::{
    fingerprint::{Fingerprint, Suspect},
    id,
};
use zinniastall_route::outcome::{Outcome, Reason, Refusal};
use zinniastall_wire::gossip;

use super::{call::Call, worker::Worker};
use crate::quarantine::{Probe, Sent};

/// Time that an answer has to go on after its first part to clear the messages of its request, which
/// crash a target as it begins to answer.
const PROGRESS_TIME: Duration = Duration::from_secs(1);

impl Worker {
    /// Returns what is known against a request and its messages; the request comes first.
    pub(super) fn suspicions(&self, call: &Call) -> Vec<Suspect> {
        let view = self.view();
        let configured = view.state.as_deref();
        let quarantine = self.service.shared_view.quarantine();
        if quarantine.is_empty(configured) {
            return Vec::new();
        }
        let mut suspicions = quarantine.suspicions(call.subjects(), configured);
        suspicions.retain(|(_, suspicion)| *suspicion != Suspicion::default());
        suspicions
    }

    /// Returns how a request stands.
    pub(super) fn standing(&self, call: &Call) -> Standing<Fingerprint> {
        let view = self.view();
        let configured = view.state.as_deref();
        let quarantine = self.service.shared_view.quarantine();
        if quarantine.is_empty(configured) {
            return Standing::free();
        }
        quarantine.standing(call.subjects(), configured)
    }

    /// Returns the largest number of crashes that count against a request or a message of it.
    pub(super) fn crashes(&self, call: &Call) -> usize {
        let suspicions = self.suspicions(call);
        let crashes = suspicions.iter().map(|(_, suspicion)| suspicion.crashes());
        crashes.max().unwrap_or(0)
    }

    /// Waits until a request may be sent. A suspect counts as being sent as long as the returned probe
    /// exists.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if the request is quarantined, or if another copy of a strong
    /// suspect still runs at `hold_until`.
    pub(super) async fn wait_until_clear(
        &self,
        call: &Call,
        hold_until: Instant,
    ) -> Result<Option<Probe>, Refusal> {
        loop {
            let standing = self.standing(call);
            match standing.clearance {
                Clearance::Free => return Ok(None),
                Clearance::Refused => {
                    let quarantine = self.service.shared_view.quarantine();
                    let trial = quarantine.begin_trial(&standing, &self.view());
                    let rejected = || Refusal::not_run(reason(&standing));
                    return trial.map(Some).ok_or_else(rejected);
                }
                Clearance::Paced | Clearance::Alone | Clearance::Unsettled => {}
            }
            let quarantine = self.service.shared_view.quarantine();
            let is_strong = standing.clearance == Clearance::Alone;
            let probe = (standing.clearance != Clearance::Unsettled)
                .then(|| quarantine.begin_probe(&standing.suspects, is_strong));
            if let Some(Some(probe)) = probe {
                return Ok(Some(probe));
            }
            let is_late = Instant::now() >= hold_until;
            if is_late && quarantine.is_unconfirmed(&standing) {
                return Ok(None);
            }
            if is_late {
                let refusal = Refusal::not_run(Reason::CopyRunning);
                return Err(refusal.retry_after(HELD_RETRY_AFTER));
            }
            time::sleep(HOLD_POLL_INTERVAL).await;
        }
    }

    /// Returns the targets to which a request must not be sent because strong suspects are there.
    pub(super) fn occupied(&self, call: &Call) -> Vec<id::Target> {
        let standing = self.standing(call);
        if standing.clearance != Clearance::Alone {
            return Vec::new();
        }
        let quarantine = self.service.shared_view.quarantine();
        quarantine.occupied(&standing.suspects)
    }

    /// Returns whether a request that was cleared before may still be sent.
    pub(super) fn may_still_be_sent(&self, call: &Call, probe: Option<&Probe>) -> bool {
        match self.standing(call).clearance {
            Clearance::Free | Clearance::Paced => true,
            Clearance::Alone => probe.is_some(),
            Clearance::Unsettled => false,
            Clearance::Refused => probe.is_some_and(Probe::is_trial),
        }
    }

    /// Returns how a request ends whose last attempt ended with a refusal: as quarantined, if it did
    /// not run and will not run any more.
    pub(super) fn conclude(&self, call: &Call, refusal: Refusal) -> Refusal {
        if refusal.outcome != Outcome::NotRun {
            return refusal;
        }
        let standing = self.standing(call);
        if standing.clearance != Clearance::Refused {
            return refusal;
        }
        self.recorder.count("suspects.rejected", 1);
        tracing::warn!(
            event = "quarantine-rejected",
            request = call.request.id,
            client = call.request.client,
            fingerprint = %call.fingerprint(),
            suspect = standing.suspects.first().map(ToString::to_string),
        );
        Refusal {
            reason: reason(&standing),
            retry_after: None,
            ..refusal
        }
    }

    /// Waits, up to a limit, until the other instances of the zone know of a strong suspect, before
    /// its caller hears that it failed and may send it to one of them.
    pub(super) async fn share_if_strong(&self, call: &Call) {
        if self.standing(call).clearance >= Clearance::Alone {
            self.service.shared_view.quarantine().shared().await;
        }
    }

    /// Records that a target answered a request with success.
    pub(super) fn record_success(&self, call: &Call) {
        let quarantine = self.service.shared_view.quarantine();
        if quarantine.is_empty(None) {
            quarantine.remember_finish(|| call.shared_messages());
            return;
        }
        self.record_cleared(call, &quarantine.record_finish(call.subjects()));
    }

    /// Records that the answer to a request has gone on for a while.
    fn record_progress(&self, call: &Call) {
        let quarantine = self.service.shared_view.quarantine();
        if !quarantine.is_empty(None) {
            self.record_cleared(call, &quarantine.record_progress(call.subjects()));
        }
    }

    fn record_cleared(&self, call: &Call, cleared: &[Fingerprint]) {
        for suspect in cleared {
            self.recorder.count("suspects.cleared", 1);
            tracing::info!(
                event = "suspect-cleared",
                request = call.request.id,
                fingerprint = %suspect,
            );
        }
    }
}

/// Returns why a quarantined request is rejected.
fn reason(standing: &Standing<Fingerprint>) -> Reason {
    let mut suspects = standing.suspects.iter();
    if suspects.any(Key::is_part) {
        Reason::PartQuarantined
    } else {
        Reason::Quarantined
    }
}

/// A request at a target, watched for a crash of the target.
///
/// The target has crashed if the connection broke, the target was expected to stay, and its machine
/// refuses the next connection or a proxy in front of it closes that one unused, and no other
/// instance of the zone reaches it any more. A reset, a planned stop, a partition and a loss of power
/// are no crashes.
#[derive(Debug)]
pub(super) struct Watch {
    worker: Rc<Worker>,
    call: Rc<Call>,
    target: gossip::Target,
    sent: Sent,
    has_crashed: Cell<bool>,
    /// When the answer began.
    began: Cell<Option<Instant>>,
    has_gone_on: Cell<bool>,
    _probe: Option<Probe>,
}

impl Watch {
    /// Starts to watch a request that is about to be sent to a target.
    pub(super) fn new(
        worker: &Rc<Worker>,
        call: &Rc<Call>,
        target: gossip::Target,
        probe: Option<Probe>,
    ) -> Self {
        let quarantine = worker.service.shared_view.quarantine();
        let run = quarantine::run(&target.target, target.incarnation);
        Self {
            sent: quarantine.sent(|| call.subjects(), run),
            worker: Rc::clone(worker),
            call: Rc::clone(call),
            target,
            has_crashed: Cell::new(false),
            began: Cell::new(None),
            has_gone_on: Cell::new(false),
            _probe: probe,
        }
    }

    /// Returns the target's announcement.
    pub(super) const fn target(&self) -> &gossip::Target {
        &self.target
    }

    /// Records that a part of the answer arrived.
    pub(super) fn progressed(&self) {
        let began = self.began.get().unwrap_or_else(Instant::now);
        self.began.set(Some(began));
        if began.elapsed() >= PROGRESS_TIME && !self.has_gone_on.replace(true) {
            self.worker.record_progress(&self.call);
        }
    }

    /// Records that a target answered with success.
    pub(super) fn succeeded(&self) {
        self.worker.record_success(&self.call);
    }

    /// Returns whether the target has crashed, after the request failed there, and records it.
    pub(super) async fn failed(&self, refusal: &Refusal) -> bool {
        if self.has_crashed.get() || refusal.reason != Reason::TargetLost {
            return self.has_crashed.get();
        }
        let has_crashed = self.is_known_to_have_crashed() || self.has_ended().await;
        if has_crashed && !self.has_crashed.replace(true) && !self.sent.had_crashed() {
            self.record_crash();
            self.worker.share_if_strong(&self.call).await;
        }
        has_crashed
    }

    fn is_known_to_have_crashed(&self) -> bool {
        let quarantine = self.worker.service.shared_view.quarantine();
        quarantine.crashed_at(self.sent.run()).is_some()
    }

    /// Returns whether the target's process has ended although it was expected to stay.
    async fn has_ended(&self) -> bool {
        let broke_at = Instant::now();
        let reach = self.worker.service.shared_view.paths();
        let has_ended = self.is_expected_to_stay()
            && has_ended(&self.target.address).await
            && !reach.is_contradicted(&self.target.target, broke_at).await;
        tracing::info!(
            event = "target-probed",
            request = self.call.request.id,
            target = self.target.target,
            has_ended,
        );
        has_ended
    }

    /// Returns whether the same run of the target is still announced and not leaving.
    fn is_expected_to_stay(&self) -> bool {
        let view = self.worker.view();
        let known = view.targets.get(&self.target.target);
        known.is_some_and(|known| known.report.incarnation == self.target.incarnation)
    }

    fn record_crash(&self) {
        let (worker, call) = (&self.worker, &self.call);
        let quarantine = worker.service.shared_view.quarantine();
        let change = if self.has_gone_on.get() {
            quarantine.record_crash(&call.subjects().without_parts(), &self.sent)
        } else {
            quarantine.record_crash(call.subjects(), &self.sent)
        };
        worker.recorder.count("suspects.crashed", 1);
        tracing::info!(
            event = "target-crashed",
            request = call.request.id,
            target = self.target.target,
            incarnation = self.target.incarnation,
            fingerprint = %call.fingerprint(),
            crashes = worker.crashes(call),
        );
        if change == Change::Quarantined {
            worker.recorder.count("suspects.quarantined", 1);
            tracing::warn!(
                event = "quarantined",
                request = call.request.id,
                client = call.request.client,
                fingerprint = %call.fingerprint(),
                suspect = worker.standing(call).suspects.first().map(ToString::to_string),
            );
        }
    }
}
