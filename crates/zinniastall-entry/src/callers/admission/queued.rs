//! A request that waits in the queue.

use std::time::Duration;

use tokio::sync::oneshot;
use zinniastall_model::object::Subject;
use zinniastall_route::{
    admit::Id,
    outcome::{Reason, Refusal},
};

use super::{Admission, InFlight};

/// How often a waiting request checks whether it can still be served in time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A request that waits in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub struct Queued {
    admission: Admission,
    subject: Subject,
    id: Id,
    receiver: oneshot::Receiver<InFlight>,
}

impl Queued {
    pub(super) const fn new(
        admission: Admission,
        subject: Subject,
        id: Id,
        receiver: oneshot::Receiver<InFlight>,
    ) -> Self {
        Self {
            admission,
            subject,
            id,
            receiver,
        }
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// Returns a refusal as soon as the request can no longer be served in time, so that the caller
    /// can still try elsewhere.
    pub async fn granted(mut self) -> Result<InFlight, Refusal> {
        loop {
            let granted = tokio::time::timeout(RECHECK_INTERVAL, &mut self.receiver).await;
            match granted {
                Ok(Ok(in_flight)) => return Ok(in_flight),
                Ok(Err(_)) => return Err(Refusal::not_run(Reason::QueueFull)),
                Err(_) => self.recheck()?,
            }
        }
    }

    fn recheck(&self) -> Result<(), Refusal> {
        self.admission.grant_waiting();
        let mut state = self.admission.lock();
        match state.check_feasible(&self.admission, &self.subject, self.id) {
            Some(refusal) => Err(refusal),
            None => Ok(()),
        }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        if let Some(queue) = state.queues.by_subject.get_mut(&self.subject) {
            queue.remove(self.id);
        }
    }
}
