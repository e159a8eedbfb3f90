//! Vouches to a starting entry instance for what the group has reached.
//!
//! A replica that was cut off a moment ago has heard its leader within the election timeout and knows
//! of nothing that it lacks. An instance that starts beside it would take its configuration for the
//! newest, and an accepted change would revert there. So a replica vouches only with the word of a
//! leader that has confirmed, after the question, that it still leads.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message, MessageResult};
use indexmap::IndexMap;
use tokio::sync::oneshot;
use zinniastall_coord::{Id, replica::Part};
use zinniastall_model::id;

use super::{Control, Later, Look, NotLeader, Read, addressed};
use crate::peers;

/// Most questions that wait for the leader at once; who is refused asks again.
const ASKS: usize = 4096;

/// Asks which revision the group has reached by now; dropped where nobody can tell.
#[derive(Debug, Message)]
#[rtype(result = "Later<id::Revision>")]
pub struct Vouch;

/// Questions that wait for the leader's answer.
#[derive(Debug)]
pub(super) struct Vouches {
    longest: Duration,
    last: u64,
    waiting: IndexMap<u64, Asked>,
}

#[derive(Debug)]
struct Asked {
    deadline: Instant,
    reply: oneshot::Sender<id::Revision>,
}

impl Vouches {
    /// Creates an empty table; a question waits for two election timeouts at most.
    pub(super) fn new(election: Duration) -> Self {
        Self {
            longest: election * 2,
            last: 0,
            waiting: IndexMap::new(),
        }
    }

    /// Notes a question and returns its number, unless too many wait.
    fn ask(&mut self, now: Instant, reply: oneshot::Sender<id::Revision>) -> Option<u64> {
        self.waiting.retain(|_, asked| now < asked.deadline);
        if self.waiting.len() >= ASKS {
            return None;
        }
        self.last += 1;
        let deadline = now + self.longest;
        self.waiting.insert(self.last, Asked { deadline, reply });
        Some(self.last)
    }

    /// Passes the leader's answer on; a doubled or late one finds nobody.
    pub(super) fn answered(&mut self, ask: u64, revision: id::Revision) {
        if let Some(asked) = self.waiting.swap_remove(&ask) {
            // Who asked may have gone.
            let _ = asked.reply.send(revision);
        }
    }
}

impl Handler<Vouch> for Control {
    type Result = MessageResult<Vouch>;

    fn handle(&mut self, _: Vouch, context: &mut Context<Self>) -> Self::Result {
        let (reply, later) = oneshot::channel();
        if self.part == Part::Leader {
            let read = self.read(Read { revision: 0 });
            actix::spawn(async move {
                if let Some(revision) = reached(read).await {
                    let _ = reply.send(revision);
                }
            });
        } else if let Some(ask) = self.vouches.ask(Instant::now(), reply) {
            self.send_leader(&peers::Message::Vouch { ask });
        }
        self.schedule(context);
        MessageResult(later)
    }
}

impl Control {
    /// Answers another replica's question, if this one leads and a majority confirms it.
    pub(super) fn vouch_for_peer(&mut self, ask: u64, from: Id, back: peers::Queue) {
        let own = self.replica.id();
        let read = self.read(Read { revision: 0 });
        actix::spawn(async move {
            if let Some(revision) = reached(read).await {
                let message = peers::Message::Vouched { ask, revision };
                // A full link drops the answer; the instance asks again.
                drop(back.try_send(addressed(own, from, &message)));
            }
        });
    }
}

async fn reached(read: Later<Result<Look, NotLeader>>) -> Option<id::Revision> {
    let look = read.await.ok()?.ok()?;
    Some(look.state.revision)
}
