//! Handles what entry instances report: their presence and the revisions in force.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message};
use tokio::sync::oneshot;
use zinniastall_coord::replica::Role;
use zinniastall_model::{
    change::{Body, Change},
    member::Member,
};
use zinniastall_wire::follow::{Confirmation, Drift};

use super::Control;
use crate::peers;

/// Time during which a joining instance is not proposed again.
const JOIN_PROPOSAL_INTERVAL: Duration = Duration::from_millis(500);

/// A report of an entry instance.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum Notice {
    /// The instance announced itself.
    Member(Member),
    /// Revisions that are in force.
    Confirmed(Vec<Confirmation>),
    /// Targets of its zone whose state differs from the configuration.
    Drift(Vec<Drift>),
}

impl Handler<Notice> for Control {
    type Result = ();

    fn handle(&mut self, notice: Notice, context: &mut Context<Self>) {
        match notice {
            Notice::Member(member) => self.join(member),
            Notice::Confirmed(list) => self.note_confirmed(list),
            Notice::Drift(list) => self.note_drift(list),
        }
        self.schedule(context);
    }
}

impl Control {
    /// Adds an entry instance to the membership, or forwards it to the leader.
    pub(super) fn join(&mut self, member: Member) {
        if self.machine.state().members.get(&member.instance) == Some(&member) {
            return;
        }
        let now = Instant::now();
        self.joining
            .retain(|_, since| now < *since + JOIN_PROPOSAL_INTERVAL);
        if self.joining.contains_key(&member.instance) {
            return;
        }
        if self.role != Role::Leader {
            self.send_leader(&peers::Message::Join(member));
            return;
        }
        self.joining.insert(member.instance.clone(), now);
        tracing::info!(event = "instance-joins", instance = member.instance);
        let change = Change {
            origin: None,
            expected: None,
            body: Body::Join(member),
        };
        let (reply, _) = oneshot::channel();
        self.write(&change, Duration::ZERO, reply);
    }

    pub(super) fn note_confirmed(&mut self, list: Vec<Confirmation>) {
        let now = Instant::now();
        for confirmation in list {
            // Only members are recorded; otherwise the table would grow with every name a peer
            // invents.
            if self
                .machine
                .state()
                .members
                .contains_key(&confirmation.instance)
            {
                self.confirmed.note(confirmation, now);
            }
        }
        self.answer_confirmed(now);
    }

    /// Forwards the confirmations received since the last call to the leader.
    pub(super) fn forward_confirmations(&mut self) {
        let state = self.machine.state();
        self.confirmed.retain(state);
        let unsent = self.confirmed.take_unsent();
        if self.role != Role::Leader && !unsent.is_empty() {
            self.send_leader(&peers::Message::Confirmed(unsent));
        }
    }

    pub(super) fn send_leader(&self, message: &peers::Message) {
        let status = self.replica.status(Instant::now());
        let Some(leader) = status.leader.filter(|leader| *leader != status.id) else {
            return;
        };
        let address = status.voters.address(leader);
        self.peers.send(leader, address, message);
    }
}
