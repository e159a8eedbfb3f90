//! Operators' commands and the system's own changes.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message, MessageResult};
use tokio::sync::oneshot;
use zinniastall_coord::replica::Refusal;
use zinniastall_model::{
    change::{Answer, Change},
    id,
};

use super::{
    Control, Later,
    reply::{NotLeader, Reply},
    waiting::{self, answer},
};

/// Most operators that wait for confirmations at once.
const SETTLING: usize = 1024;

/// A change to be committed.
#[derive(Debug, Message)]
#[rtype(result = "Later<Reply>")]
pub struct Write {
    /// The change.
    pub change: Change,
    /// How long to wait for confirmations after the commit.
    pub wait: Duration,
}

/// A committed write whose operator waits for confirmations.
#[derive(Debug)]
pub(super) struct Settling {
    revision: id::Revision,
    narrows: bool,
    deadline: Instant,
    reply: oneshot::Sender<Reply>,
}

impl Handler<Write> for Control {
    type Result = MessageResult<Write>;

    fn handle(&mut self, write: Write, context: &mut Context<Self>) -> Self::Result {
        let (reply, later) = oneshot::channel();
        self.write(&write.change, write.wait, reply);
        self.schedule(context);
        MessageResult(later)
    }
}

impl Control {
    /// Proposes a change, or answers a resent one as before.
    pub(super) fn write(&mut self, change: &Change, wait: Duration, reply: oneshot::Sender<Reply>) {
        let now = Instant::now();
        // After a freeze this replica may have been replaced; the tick notices it before anything
        // is taken that could only end as unknown.
        self.replica.tick(now);
        if let Some(recorded) = self.machine.recorded(change) {
            self.conclude(&recorded, wait, reply);
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
                    deadline: now + self.settings.limits.answer,
                    reply,
                };
                self.waiting.add(index, write);
            }
            Err(refusal) => answer(reply, self.refused(refusal)),
        }
    }

    /// Answers a write whose result is committed, at once or when the confirmations are in.
    pub(super) fn conclude(
        &mut self,
        outcome: &Answer,
        wait: Duration,
        reply: oneshot::Sender<Reply>,
    ) {
        match outcome.clone() {
            Answer::Done { revision, narrows } => {
                let settling = Settling {
                    revision,
                    narrows,
                    deadline: Instant::now() + wait,
                    reply,
                };
                self.settling.push(settling);
                self.settle(Instant::now());
            }
            Answer::Conflict { current } => answer(reply, Reply::Conflict { current }),
            Answer::Reused => answer(reply, Reply::Reused),
            Answer::Invalid(fault) => answer(reply, Reply::Invalid(fault)),
        }
    }

    /// Answers those whose confirmations are in or whose time is up.
    pub(super) fn settle(&mut self, now: Instant) {
        let crowded = self.settling.len() > SETTLING;
        for settling in std::mem::take(&mut self.settling) {
            let state = self.machine.state();
            let waiting = self.confirmed.missing(state, settling.revision);
            if !waiting.is_empty() && now < settling.deadline && !crowded {
                self.settling.push(settling);
                continue;
            }
            let reply = Reply::Done {
                revision: settling.revision,
                narrows: settling.narrows,
                waiting,
            };
            answer(settling.reply, reply);
        }
    }

    /// Returns the address of the leader's operator interface, if it is known.
    pub(super) fn leader_address(&self) -> Option<String> {
        let leader = self.replica.status(Instant::now()).leader?;
        if leader == self.replica.id() {
            return Some(self.card.borrow().service.clone());
        }
        let other = self.others.get(&leader)?;
        Some(other.service.clone())
    }

    /// Turns a refusal into an answer.
    pub(super) fn refused(&self, refusal: Refusal) -> Reply {
        match refusal {
            Refusal::NotLeader { .. } | Refusal::Transferring => Reply::NotLeader(NotLeader {
                leader: self.leader_address(),
            }),
            refusal => Reply::Refused(refusal),
        }
    }
}
