//! What the source is told: who is there and what is in force.

use std::time::Instant;

use actix::{Context, Handler, Message, MessageResult};
use zinniastall_model::member::Member;
use zinniastall_wire::follow::{self, Confirmation};

use super::{actor::Follower, astray};

/// Followers that may wait to be presented to control.
const PRESENTED: usize = 256;

impl Follower {
    fn own(&self) -> Member {
        let addresses = self.identity.addresses();
        Member {
            instance: self.identity.instance().to_owned(),
            place: self.identity.place().clone(),
            links: addresses.links.clone(),
            callers: addresses.callers.clone(),
        }
    }

    fn confirmation(&self) -> Confirmation {
        Confirmation {
            instance: self.identity.instance().to_owned(),
            incarnation: self.identity.incarnation(),
            revision: self.force.confirmed(),
            draining: self.board.view().draining,
        }
    }
}

/// A follower of this instance was heard.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum Heard {
    /// It presented itself.
    Member(Member),
    /// Revisions are in force.
    Confirmed(Vec<Confirmation>),
}

impl Handler<Heard> for Follower {
    type Result = ();

    fn handle(&mut self, heard: Heard, _: &mut Context<Self>) {
        match heard {
            Heard::Member(member) => {
                let known = self.held.members.get(&member.instance) == Some(&member);
                if !known && self.presented.len() < PRESENTED {
                    self.presented.push(member);
                }
            }
            Heard::Confirmed(list) => {
                let now = Instant::now();
                for confirmation in list {
                    if self.held.members.contains_key(&confirmation.instance) {
                        self.gathered.note(confirmation, now);
                    }
                }
            }
        }
    }
}

/// Asks what the source is to be told.
#[derive(Debug, Message)]
#[rtype(result = "Vec<follow::Message>")]
pub struct Report {
    /// Whether the link is new, so that the source knows nothing yet.
    pub fresh: bool,
    /// Whether a sign of life is due even when there is nothing new.
    pub due: bool,
}

impl Handler<Report> for Follower {
    type Result = MessageResult<Report>;

    fn handle(&mut self, report: Report, _: &mut Context<Self>) -> Self::Result {
        let now = Instant::now();
        let own = self.own();
        let listed = self.held.members.get(&own.instance) == Some(&own);
        let mut messages = Vec::new();
        if report.fresh || (report.due && !listed) {
            messages.push(follow::Message::From {
                revision: self.held.revision,
                member: (!listed).then_some(own),
            });
        }
        let presented = self.presented.drain(..);
        messages.extend(presented.map(follow::Message::Present));
        self.gathered.note(self.confirmation(), now);
        let mut list = self.gathered.take(now, report.fresh);
        let own = self.confirmation();
        if report.due && !list.contains(&own) {
            list.push(own);
        }
        if !list.is_empty() {
            messages.push(follow::Message::Confirm(list));
        }
        if report.due && self.source.is_some_and(|source| source.control) {
            let astray = astray::find(&self.held, &self.board.view());
            if !astray.is_empty() {
                messages.push(follow::Message::Drifted(astray));
            }
        }
        MessageResult(messages)
    }
}
