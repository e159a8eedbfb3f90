//! Requests in flight; dropping one releases its slot.

use std::time::{Duration, Instant};

use zinniastall_model::{id, place::Place};
use zinniastall_route::{
    load::End,
    outcome::{Outcome, Reason, Refusal},
};
use zinniastall_wire::gossip;

use super::Admission;
use crate::rates::Limited;

/// A request in flight at a target; dropping it releases the slot to the next waiting request.
#[derive(Debug)]
pub struct InFlight {
    admission: Admission,
    target: id::Target,
    incarnation: id::Incarnation,
    report: Option<gossip::Target>,
    started: Instant,
    end: End,
    limited: Option<Limited>,
}

impl InFlight {
    pub(super) fn new(
        admission: Admission,
        target: &str,
        incarnation: id::Incarnation,
        report: Option<gossip::Target>,
        started: Instant,
    ) -> Self {
        Self {
            admission,
            target: target.to_owned(),
            incarnation,
            report,
            started,
            end: End::Cancelled,
            limited: None,
        }
    }

    /// Sets the limit by which the target was chosen.
    #[must_use]
    pub(super) const fn limited(mut self, limited: Option<Limited>) -> Self {
        self.limited = limited;
        self
    }

    /// Returns the limit by which the target was chosen; `None` if it took any rate.
    pub const fn limit(&self) -> Option<Limited> {
        self.limited
    }

    /// Returns the target's name.
    pub fn target(&self) -> &id::Target {
        &self.target
    }

    /// Returns the target's announcement.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NoTarget`] if the target has left since it was chosen.
    pub fn report(&self) -> Result<gossip::Target, Refusal> {
        let gone = || Refusal::not_run(Reason::NoTarget(self.target.clone()));
        self.report.clone().ok_or_else(gone)
    }

    /// Records a complete response.
    pub fn answered(&mut self) {
        self.end = End::Answered(self.started.elapsed());
    }

    /// Records a failure.
    pub const fn failed(&mut self, refusal: &Refusal) {
        self.end = match (refusal.outcome, &refusal.reason) {
            (_, Reason::DeadlineNotFeasible) => End::Cancelled,
            (Outcome::NotRun, Reason::TargetRefused) => End::Refused,
            _ => End::Failed,
        };
    }

    /// Returns the time since the request started.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.admission.end(&self.target, self.incarnation, self.end);
    }
}

/// A request forwarded to another place; dropping it ends its count.
#[derive(Debug)]
pub struct Forwarded {
    admission: Admission,
    place: Place,
    hops: Vec<Place>,
    lost: bool,
}

impl Forwarded {
    pub(super) const fn new(admission: Admission, place: Place, hops: Vec<Place>) -> Self {
        Self {
            admission,
            place,
            hops,
            lost: false,
        }
    }

    /// Returns the place to which the request is forwarded.
    pub const fn place(&self) -> &Place {
        &self.place
    }

    /// Records a failure.
    pub const fn failed(&mut self, refusal: &Refusal) {
        self.lost = matches!(
            refusal.reason,
            Reason::TargetUnreachable | Reason::TargetLost
        );
    }

    /// Returns the places that the request has passed, including its destination.
    pub fn hops(&self) -> &[Place] {
        &self.hops
    }
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.queues.forwarded_ended(&self.place, self.lost);
    }
}
