//! Reader of a recorded response, during or after the run.

use std::sync::Arc;

use bytes::Bytes;
use zinniastall_route::outcome::{Reason, Refusal};

use super::record::{Record, State, Step};
use crate::callers::reply::BodySource;

/// A cursor over a record.
pub(super) struct Reader {
    record: Arc<Record>,
    owner: bool,
    next: usize,
}

impl Reader {
    /// Creates a reader at the start of a record; the owner is the reader that started the run.
    pub(super) const fn new(record: Arc<Record>, owner: bool) -> Self {
        Self {
            record,
            owner,
            next: 0,
        }
    }

    fn step(&mut self) -> Step {
        let mut state = self.record.lock();
        let step = state.step(self.next);
        if matches!(step, Step::Part(_)) {
            self.next += 1;
            self.release(&mut state, Some(self.next));
        }
        step
    }

    fn release(&self, state: &mut State, taken: Option<usize>) {
        if self.owner {
            state.owner = taken;
            state.trim();
            self.record.notify();
        }
    }
}

impl BodySource for Reader {
    async fn next_part(&mut self) -> Result<Option<Bytes>, Refusal> {
        let mut changed = self.record.changed.subscribe();
        loop {
            match self.step() {
                Step::Part(part) => return Ok(Some(part)),
                Step::End(end) => return end.map(|()| None),
                Step::Wait => {}
            }
            if changed.changed().await.is_err() {
                return Err(Refusal::unknown(Reason::TargetLost));
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.record.lock();
        self.release(&mut state, None);
    }
}
