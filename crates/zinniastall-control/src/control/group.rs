//! Changes the membership of the control group.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message, MessageResult};
use tokio::sync::oneshot;
use zinniastall_coord::{
    replica::Refusal,
    voters::{Change, Error},
};

use super::{
    Control, Deferred,
    reply::Reply,
    waiting::{self, answer},
};

/// Changes the membership of the control group.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<Reply>")]
pub struct Reconfigure(pub Change);

impl Handler<Reconfigure> for Control {
    type Result = MessageResult<Reconfigure>;

    fn handle(&mut self, reconfigure: Reconfigure, context: &mut Context<Self>) -> Self::Result {
        let (reply, deferred) = oneshot::channel();
        let now = Instant::now();
        self.replica.tick(now);
        match self.replica.propose_voters(&reconfigure.0, now) {
            Ok((term, index)) => {
                let write = waiting::Write {
                    term,
                    wait: Duration::ZERO,
                    is_table: false,
                    deadline: now + self.settings.limits.answer,
                    reply,
                };
                self.waiting.add(index, write);
                self.update_peers();
            }
            Err(refusal) => answer(reply, self.reconfigure_refused(&reconfigure.0, refusal)),
        }
        self.schedule(context);
        MessageResult(deferred)
    }
}

impl Control {
    /// Reports a change that is already in force as done, since operators resend a request whose
    /// answer was lost.
    fn reconfigure_refused(&self, change: &Change, refusal: Refusal) -> Reply {
        let voters = self.replica.status(Instant::now()).voters;
        let in_place = match (change, &refusal) {
            (Change::Admit { id, address }, Refusal::Voters(Error::Member(_))) => {
                voters.address(*id) == Some(address)
            }
            (Change::Promote { id }, Refusal::Voters(Error::Learner(_))) => voters.is_voter(*id),
            (Change::Remove { id }, Refusal::Voters(Error::Unknown(_))) => !voters.is_member(*id),
            _ => false,
        };
        if !in_place {
            return self.refusal_reply(refusal);
        }
        Reply::Done {
            revision: 0,
            narrows: false,
            waiting: Vec::new(),
        }
    }
}
