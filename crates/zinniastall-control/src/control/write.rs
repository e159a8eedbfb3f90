//! Commits operators' commands and the system's own changes.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message, MessageResult};
use tokio::sync::oneshot;
use zinniastall_coord::replica::Refusal;
use zinniastall_model::{
    change::{Answer, Body, Change},
    id,
};

use super::{
    Control, Deferred,
    reply::{NotLeader, Reply},
    waiting::{self, answer},
};

/// Operators that may wait for confirmations at once.
const MAX_UNCONFIRMED: usize = 1024;

/// A change to be committed.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<Reply>")]
pub struct Write {
    /// The change.
    pub change: Change,
    /// How long to wait for confirmations after the commit.
    pub wait: Duration,
}

/// A committed write whose operator waits for confirmations.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    revision: id::Revision,
    narrows: bool,
    /// When it counts as in force at instances that don't confirm.
    settles_at: Instant,
    deadline: Instant,
    reply: oneshot::Sender<Reply>,
}

impl Handler<Write> for Control {
    type Result = MessageResult<Write>;

    fn handle(&mut self, write: Write, context: &mut Context<Self>) -> Self::Result {
        let (reply, deferred) = oneshot::channel();
        self.write(&write.change, write.wait, reply);
        self.schedule(context);
        MessageResult(deferred)
    }
}

impl Control {
    /// Proposes a change, or repeats the recorded answer to a resent one.
    pub(super) fn write(&mut self, change: &Change, wait: Duration, reply: oneshot::Sender<Reply>) {
        let now = Instant::now();
        // This replica may have lost its leadership while the process was frozen. The tick notices
        // that before a write is taken whose outcome would be unknown.
        self.replica.tick(now);
        let is_table = matches!(change.body, Body::Publish(_));
        if let Some(recorded) = self.machine.recorded(change) {
            self.finish_write(&recorded, wait, is_table, reply);
            return;
        }
        if !self.is_formed(now) {
            answer(reply, Reply::Refused(Refusal::Unready));
            return;
        }
        if self.waiting.is_full() {
            let refusal = Refusal::Busy { bytes: 0, limit: 0 };
            answer(reply, Reply::Refused(refusal));
            return;
        }
        let mut command = Vec::new();
        // Writing into a vector cannot fail; an empty command is skipped when it is applied.
        drop(ciborium::into_writer(change, &mut command));
        match self.replica.propose(command, now) {
            Ok((term, index)) => {
                let write = waiting::Write {
                    term,
                    wait,
                    is_table,
                    deadline: now + self.settings.limits.answer,
                    reply,
                };
                self.waiting.add(index, write);
            }
            Err(refusal) => answer(reply, self.refusal_reply(refusal)),
        }
    }

    /// Answers a write whose result is committed: at once, or when the confirmations have arrived and
    /// a routing table has settled.
    pub(super) fn finish_write(
        &mut self,
        outcome: &Answer,
        wait: Duration,
        is_table: bool,
        reply: oneshot::Sender<Reply>,
    ) {
        match outcome.clone() {
            Answer::Done { revision, narrows } => {
                let now = Instant::now();
                // An order that is sent again mustn't be acknowledged before the one that it repeats.
                let settling = self.settling.left(now);
                let write = Unconfirmed {
                    revision,
                    narrows,
                    settles_at: now + if is_table { settling } else { Duration::ZERO },
                    deadline: now + wait,
                    reply,
                };
                self.unconfirmed.push(write);
                self.answer_confirmed(now);
            }
            Answer::Conflict { current } => answer(reply, Reply::Conflict { current }),
            Answer::Reused => answer(reply, Reply::Reused),
            Answer::Invalid(fault) => answer(reply, Reply::Invalid(fault)),
        }
    }

    /// Answers the writes that have settled, and whose confirmations have arrived or whose deadline has
    /// passed.
    pub(super) fn answer_confirmed(&mut self, now: Instant) {
        let is_over_limit = self.unconfirmed.len() > MAX_UNCONFIRMED;
        for write in std::mem::take(&mut self.unconfirmed) {
            let state = self.machine.state();
            let waiting = self.confirmed.missing(state, write.revision);
            let is_settled = now >= write.settles_at;
            let waits = !is_settled || (!waiting.is_empty() && now < write.deadline);
            if waits && !is_over_limit {
                self.unconfirmed.push(write);
                continue;
            }
            if !is_settled {
                answer(write.reply, Reply::Unknown);
                continue;
            }
            let reply = Reply::Done {
                revision: write.revision,
                narrows: write.narrows,
                waiting,
            };
            answer(write.reply, reply);
        }
    }

    /// Returns the address of the leader's operator interface, if known.
    pub(super) fn leader_address(&self) -> Option<String> {
        let leader = self.replica.status(Instant::now()).leader?;
        if leader == self.replica.id() {
            return Some(self.identity.borrow().service.clone());
        }
        let other = self.replica_info.get(&leader)?;
        Some(other.service.clone())
    }

    /// Converts a refusal of the replica into a reply.
    pub(super) fn refusal_reply(&self, refusal: Refusal) -> Reply {
        match refusal {
            Refusal::NotLeader { .. } | Refusal::Transferring => Reply::NotLeader(NotLeader {
                leader: self.leader_address(),
            }),
            refusal => Reply::Refused(refusal),
        }
    }
}
