//! Linearizable reads: each sees every change that was acknowledged before it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Context, Handler, Message, MessageResult};
use tokio::sync::oneshot;
use zinniastall_coord::replica::{Barrier, Refusal};
use zinniastall_model::{id, state::State};

use super::{Control, Deferred, reply::NotLeader, waiting::answer};

/// Reads that may wait for a barrier at once.
const MAX_READS: usize = 4096;

/// Requests a linearizable read of the configuration.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<Result<View, NotLeader>>")]
pub struct Read {
    /// Revision whose confirmations are wanted; 0 for none.
    pub revision: id::Revision,
}

/// Result of a read.
#[derive(Debug, Clone)]
pub struct View {
    /// Configuration.
    pub state: Arc<State>,
    /// Whether the requested revision narrows what instances may do, so that every member must
    /// confirm it.
    pub narrows: bool,
    /// Members that have not confirmed the requested revision.
    pub waiting: Vec<id::Instance>,
}

/// Pending reads.
#[derive(Debug, Default)]
pub(super) struct Reads {
    waiting: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    read: Read,
    barrier: Option<Barrier>,
    deadline: Instant,
    reply: oneshot::Sender<Result<View, NotLeader>>,
}

impl Handler<Read> for Control {
    type Result = MessageResult<Read>;

    fn handle(&mut self, read: Read, context: &mut Context<Self>) -> Self::Result {
        let deferred = self.read(read);
        self.schedule(context);
        MessageResult(deferred)
    }
}

impl Control {
    /// Reads at once under a lease, or else after a barrier has passed.
    pub(super) fn read(&mut self, read: Read) -> Deferred<Result<View, NotLeader>> {
        let (reply, deferred) = oneshot::channel();
        // The clock is read here and not when the call arrived: a process that was frozen in
        // between must notice that its lease has expired before it answers.
        let now = Instant::now();
        let leased = !self.settings.clock_stops && self.replica.lease(now).is_some();
        if leased {
            answer(reply, Ok(self.view(&read)));
        } else if self.reads.waiting.len() < MAX_READS {
            let deadline = now + self.longest_read();
            self.reads.waiting.push(Waiting {
                read,
                barrier: None,
                deadline,
                reply,
            });
        } else {
            answer(reply, Err(self.not_leader()));
        }
        deferred
    }

    /// Answers the reads whose barrier has passed and those that cannot be answered here.
    pub(super) fn check_reads(&mut self, now: Instant) {
        for mut waiting in std::mem::take(&mut self.reads.waiting) {
            match self.check(&mut waiting.barrier, now) {
                Ok(true) => answer(waiting.reply, Ok(self.view(&waiting.read))),
                Ok(false) if now < waiting.deadline => self.reads.waiting.push(waiting),
                Ok(false) | Err(_) => answer(waiting.reply, Err(self.not_leader())),
            }
        }
    }

    fn check(&mut self, barrier: &mut Option<Barrier>, now: Instant) -> Result<bool, Refusal> {
        let barrier = match barrier {
            Some(barrier) => *barrier,
            None => match self.replica.barrier(now) {
                Ok(made) => *barrier.insert(made),
                Err(Refusal::Unready) => return Ok(false),
                Err(refusal) => return Err(refusal),
            },
        };
        self.replica.passed(&barrier)
    }

    fn view(&self, read: &Read) -> View {
        let state = Arc::clone(self.machine.state());
        View {
            narrows: self.machine.narrows(read.revision),
            waiting: self.confirmed.missing(&state, read.revision),
            state,
        }
    }

    fn not_leader(&self) -> NotLeader {
        NotLeader {
            leader: self.leader_address(),
        }
    }

    fn longest_read(&self) -> Duration {
        self.settings.timing.election * 2
    }
}
