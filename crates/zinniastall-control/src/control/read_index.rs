//! Answers which revision the group has reached (a read index), for starting entry instances.
//!
//! A replica that was cut off a moment ago has heard its leader within the election timeout and
//! does not know what it lacks. An instance that starts next to it would take the replica's
//! configuration for the newest, and an accepted change would be reverted there. So a replica
//! relays only the answer of a leader that has confirmed its leadership after the question was
//! asked.
//!
//! Where no leader is known, as after a power loss of all replicas, a survey of a majority takes
//! the leader's place: it asks the replicas what they hold, after the question.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message, MessageResult};
use indexmap::IndexMap;
use tokio::sync::oneshot;
use zinniastall_coord::{Id, replica::Role};
use zinniastall_model::id;

use super::{Control, Deferred, NotLeader, Read, View, addressed};
use crate::peers;

/// Questions that may wait for the leader at once; an instance whose question is dropped asks
/// again.
const MAX_QUESTIONS: usize = 4096;

/// Asks which revision the group has reached by now; dropped if no replica can tell.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<id::Revision>")]
pub struct ReadIndex;

/// Questions that wait for the leader's answer.
#[derive(Debug)]
pub(super) struct Questions {
    timeout: Duration,
    last_number: u64,
    waiting: IndexMap<u64, Question>,
    /// Questions that arrived while no leader was known.
    leaderless: Vec<Leaderless>,
}

/// A question that a survey answers.
#[derive(Debug)]
struct Leaderless {
    /// Survey that began after the question, if one has begun.
    survey: Option<u64>,
    reply: oneshot::Sender<id::Revision>,
}

#[derive(Debug)]
struct Question {
    deadline: Instant,
    reply: oneshot::Sender<id::Revision>,
}

impl Questions {
    /// Creates an empty table; a question waits for two election timeouts at most.
    pub(super) fn new(election: Duration) -> Self {
        Self {
            timeout: election * 2,
            last_number: 0,
            waiting: IndexMap::new(),
            leaderless: Vec::new(),
        }
    }

    /// Records a question and returns its number, or `None` if too many questions wait.
    fn ask(&mut self, now: Instant, reply: oneshot::Sender<id::Revision>) -> Option<u64> {
        self.waiting.retain(|_, question| now < question.deadline);
        if self.waiting.len() >= MAX_QUESTIONS {
            return None;
        }
        self.last_number += 1;
        let deadline = now + self.timeout;
        self.waiting
            .insert(self.last_number, Question { deadline, reply });
        Some(self.last_number)
    }

    /// Passes the leader's answer on; a duplicate or late answer finds no question and is ignored.
    pub(super) fn answered(&mut self, ask: u64, revision: id::Revision) {
        if let Some(question) = self.waiting.swap_remove(&ask) {
            // The instance that asked may be gone.
            let _ = question.reply.send(revision);
        }
    }
}

impl Handler<ReadIndex> for Control {
    type Result = MessageResult<ReadIndex>;

    fn handle(&mut self, _: ReadIndex, context: &mut Context<Self>) -> Self::Result {
        let (reply, deferred) = oneshot::channel();
        if self.role == Role::Leader {
            let read = self.read(Read { revision: 0 });
            actix::spawn(async move {
                if let Some(revision) = reached(read).await {
                    let _ = reply.send(revision);
                }
            });
        } else if !self.is_led() {
            let leaderless = &mut self.read_index.leaderless;
            leaderless.retain(|question| !question.reply.is_closed());
            if leaderless.len() < MAX_QUESTIONS {
                let survey = None;
                leaderless.push(Leaderless { survey, reply });
            }
        } else if let Some(ask) = self.read_index.ask(Instant::now(), reply) {
            self.send_leader(&peers::Message::ReadIndex { ask });
        }
        self.schedule(context);
        MessageResult(deferred)
    }
}

impl Control {
    /// Answers questions that arrived while no leader was known, once a survey has finished.
    pub(super) fn check_leaderless(&mut self) {
        if self.read_index.leaderless.is_empty() {
            return;
        }
        let surveyed = self.replica.surveyed();
        let revision = self.machine.state().revision;
        for question in std::mem::take(&mut self.read_index.leaderless) {
            if question.survey.is_some() && question.survey == surveyed {
                // The instance that asked may be gone.
                let _ = question.reply.send(revision);
            } else if !question.reply.is_closed() {
                self.read_index.leaderless.push(question);
            }
        }
        let is_new = |question: &Leaderless| question.survey.is_none();
        if self.read_index.leaderless.iter().any(is_new)
            && let Some(number) = self.replica.begin_survey()
        {
            let new = self
                .read_index
                .leaderless
                .iter_mut()
                .filter(|question| is_new(question));
            new.for_each(|question| question.survey = Some(number));
        }
    }

    fn is_led(&self) -> bool {
        self.replica.status(Instant::now()).leader.is_some()
    }

    /// Answers another replica's question if this replica leads and a majority confirms it.
    pub(super) fn answer_peer(&mut self, ask: u64, from: Id, reply_queue: peers::Queue) {
        let own = self.replica.id();
        let read = self.read(Read { revision: 0 });
        actix::spawn(async move {
            if let Some(revision) = reached(read).await {
                let message = peers::Message::ReadIndexAnswer { ask, revision };
                // A full queue drops the answer; the instance asks again.
                drop(reply_queue.try_send(addressed(own, from, &message)));
            }
        });
    }
}

async fn reached(read: Deferred<Result<View, NotLeader>>) -> Option<id::Revision> {
    let view = read.await.ok()?.ok()?;
    Some(view.state.revision)
}
