//! Requests suspected of crashing targets: when they may be sent, and the evidence for and against
//! them.

use std::{cell::Cell, rc::Rc, time::Instant};

use tokio::time;
use zinniastall_coord::quarantine::{
    self, Change, Clearance, HELD_RETRY_AFTER, HOLD_POLL_INTERVAL, STRONG_SUSPECT_CRASHES, Sent,
    Suspicion,
};
use zinniastall_http::probe::has_ended;
use zinniastall_model::{fingerprint::Suspect, id};
use zinniastall_route::outcome::{Outcome, Reason, Refusal};
use zinniastall_wire::gossip;

use super::{call::Call, worker::Worker};
use crate::quarantine::Probe;

impl Worker {
    /// Returns the request with the suspicion against it, if there is any.
    pub(super) fn suspect(&self, call: &Call) -> Option<Suspect> {
        let view = self.view();
        let configured = view.state.as_deref();
        let quarantine = self.service.shared_view.quarantine();
        if quarantine.is_empty(configured) {
            return None;
        }
        let request = call.fingerprint();
        let suspicion = quarantine.suspicion(request, configured);
        (suspicion != Suspicion::default()).then_some((request, suspicion))
    }

    /// Returns the number of crashes that count against a request.
    pub(super) fn crashes(&self, call: &Call) -> usize {
        let suspect = self.suspect(call);
        suspect.map_or(0, |(_, suspicion)| suspicion.crashes())
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
            let clearance = Clearance::of(self.crashes(call));
            match clearance {
                Clearance::Free => return Ok(None),
                Clearance::Refused => return Err(Refusal::not_run(Reason::Quarantined)),
                Clearance::Paced | Clearance::Alone => {}
            }
            let quarantine = self.service.shared_view.quarantine();
            let is_strong = clearance == Clearance::Alone;
            if let Some(probe) = quarantine.begin_probe(call.fingerprint(), is_strong) {
                return Ok(Some(probe));
            }
            let is_late = Instant::now() >= hold_until;
            if is_late && clearance == Clearance::Paced {
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
        if Clearance::of(self.crashes(call)) != Clearance::Alone {
            return Vec::new();
        }
        let quarantine = self.service.shared_view.quarantine();
        quarantine.occupied(call.fingerprint())
    }

    /// Returns whether a request that was cleared before may still be sent.
    pub(super) fn may_still_be_sent(&self, call: &Call, probe: Option<&Probe>) -> bool {
        match Clearance::of(self.crashes(call)) {
            Clearance::Free | Clearance::Paced => true,
            Clearance::Alone => probe.is_some(),
            Clearance::Refused => false,
        }
    }

    /// Returns how a request ends whose last attempt ended with a refusal: as quarantined, if it did
    /// not run and will not run any more.
    pub(super) fn conclude(&self, call: &Call, refusal: Refusal) -> Refusal {
        let is_quarantined = || Clearance::of(self.crashes(call)) == Clearance::Refused;
        if refusal.outcome != Outcome::NotRun || !is_quarantined() {
            return refusal;
        }
        self.recorder.count("suspects.rejected", 1);
        tracing::warn!(
            event = "quarantine-rejected",
            request = call.request.id,
            client = call.request.client,
            fingerprint = %call.fingerprint(),
        );
        Refusal {
            reason: Reason::Quarantined,
            retry_after: None,
            ..refusal
        }
    }

    /// Waits, up to a limit, until the other instances of the zone know of a strong suspect, before
    /// its caller hears that it failed and may send it to one of them.
    pub(super) async fn share_if_strong(&self, call: &Call) {
        if self.crashes(call) >= STRONG_SUSPECT_CRASHES {
            self.service.shared_view.quarantine().shared().await;
        }
    }

    /// Records that a target answered a request with success.
    pub(super) fn record_success(&self, call: &Call) {
        if self.crashes(call) == 0 {
            return;
        }
        let quarantine = self.service.shared_view.quarantine();
        if quarantine.record_finish(call.fingerprint()) {
            self.recorder.count("suspects.cleared", 1);
            tracing::info!(
                event = "suspect-cleared",
                request = call.request.id,
                fingerprint = %call.fingerprint(),
            );
        }
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
            sent: quarantine.sent(|| call.fingerprint(), run),
            worker: Rc::clone(worker),
            call: Rc::clone(call),
            target,
            has_crashed: Cell::new(false),
            _probe: probe,
        }
    }

    /// Returns the target's announcement.
    pub(super) const fn target(&self) -> &gossip::Target {
        &self.target
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
        let change = quarantine.record_crash(call.fingerprint(), &self.sent);
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
            );
        }
    }
}
