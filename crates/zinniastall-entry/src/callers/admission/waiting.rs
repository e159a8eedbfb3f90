//! A request that waits for its turn.

use std::time::Duration;

use tokio::sync::oneshot;
use zinniastall_model::object::Subject;
use zinniastall_route::{
    admit::Id,
    outcome::{Reason, Refusal},
};

use super::{Admission, Flight};

/// How often a waiting request looks whether it still has a chance.
const LOOK: Duration = Duration::from_millis(50);

/// A request that waits for its turn; dropping it gives its place up.
#[derive(Debug)]
pub struct Waiting {
    admission: Admission,
    subject: Subject,
    id: Id,
    receiver: oneshot::Receiver<Flight>,
}

impl Waiting {
    pub(super) const fn new(
        admission: Admission,
        subject: Subject,
        id: Id,
        receiver: oneshot::Receiver<Flight>,
    ) -> Self {
        Self {
            admission,
            subject,
            id,
            receiver,
        }
    }

    /// Waits for the turn.
    ///
    /// # Errors
    ///
    /// A refusal as soon as it is clear that the turn will come too late: a caller who is told at
    /// once can still try elsewhere.
    pub async fn turn(mut self) -> Result<Flight, Refusal> {
        loop {
            let turn = tokio::time::timeout(LOOK, &mut self.receiver).await;
            match turn {
                Ok(Ok(flight)) => return Ok(flight),
                Ok(Err(_)) => return Err(Refusal::not_run(Reason::Full)),
                Err(_) => self.look()?,
            }
        }
    }

    fn look(&self) -> Result<(), Refusal> {
        self.admission.look();
        let mut inner = self.admission.lock();
        match inner.hopeless(&self.admission, &self.subject, self.id) {
            Some(refusal) => Err(refusal),
            None => Ok(()),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut inner = self.admission.lock();
        if let Some(line) = inner.queues.lines.get_mut(&self.subject) {
            line.remove(self.id);
        }
    }
}
