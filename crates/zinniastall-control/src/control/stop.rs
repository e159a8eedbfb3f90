//! Shuts down gracefully: transfers leadership, finishes the accepted commands and leaves the group
//! if it can do without this replica.

use std::time::{Duration, Instant};

use actix::{AsyncContext, Context, Handler, Message, MessageResult};
use tokio::sync::oneshot;
use zinniastall_coord::replica::Role;

use super::{Control, Deferred, waiting::answer};

/// Interval between two checks for unfinished work.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Requests a graceful shutdown; answered when no work is pending.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<()>")]
pub struct Stop;

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Poll {
    deadline: Instant,
    done: oneshot::Sender<()>,
}

impl Handler<Stop> for Control {
    type Result = MessageResult<Stop>;

    fn handle(&mut self, _: Stop, context: &mut Context<Self>) -> Self::Result {
        let (done, deferred) = oneshot::channel();
        let now = Instant::now();
        let deadline = now + self.settings.limits.drain;
        self.heal.stop();
        self.transfer_leadership(now);
        self.drive();
        context.notify(Poll { deadline, done });
        MessageResult(deferred)
    }
}

impl Handler<Poll> for Control {
    type Result = ();

    fn handle(&mut self, poll: Poll, context: &mut Context<Self>) {
        let now = Instant::now();
        let leads = self.role == Role::Leader;
        let alone = self.replica.status(now).voters.voters.len() <= 1;
        let is_idle = self.waiting.is_empty() && (alone || !leads);
        let has_left = alone || (!leads && self.leave(now));
        if (is_idle && has_left) || now >= poll.deadline {
            let is_member = self.replica.status(now).voters.is_member(self.replica.id());
            tracing::info!(event = "replica-stopped", is_idle, has_left, is_member);
            answer(poll.done, ());
            return;
        }
        if leads {
            self.transfer_leadership(now);
            self.drive();
        }
        context.notify_later(poll, POLL_INTERVAL);
    }
}

impl Control {
    pub(super) fn transfer_leadership(&mut self, now: Instant) {
        match self.replica.transfer(now) {
            Ok(successor) => {
                let successor = format!("{successor:016x}");
                tracing::info!(event = "leadership-passed-on", successor);
            }
            Err(refusal) => tracing::debug!(event = "leadership-kept", reason = %refusal),
        }
    }
}
