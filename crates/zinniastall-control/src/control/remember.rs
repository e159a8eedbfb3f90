//! Tells other replicas which targets of their availability zone report here, and which have signed
//! off.
//!
//! A target reports to an arbitrary replica and stays with it. After a restart only a replica of
//! the target's own zone asks it for its state, and that replica has to know the target by then.

use actix::{Context, Handler, Message};
use zinniastall_model::{id, target::Report};

use super::Control;
use crate::{peers, recall::Remembered};

/// Tells the replicas of an availability zone which of its targets report here.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Remember {
    /// Availability zone.
    pub zone: id::Zone,
    /// Targets of the zone that report here.
    pub targets: Vec<Remembered>,
}

impl Handler<Remember> for Control {
    type Result = ();

    fn handle(&mut self, remember: Remember, _: &mut Context<Self>) {
        let voters = self.replica.status(std::time::Instant::now()).voters;
        let message = peers::Message::Remember(remember.targets);
        let zone_replicas = self
            .replica_info
            .iter()
            .filter(|(_, other)| other.zone == remember.zone);
        for (id, _) in zone_replicas {
            self.peers.send(*id, voters.address(*id), &message);
        }
    }
}

/// Tells all other replicas that a target has signed off, since its run may report to any of them.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SignOff(pub Report);

impl Handler<SignOff> for Control {
    type Result = ();

    fn handle(&mut self, sign_off: SignOff, _: &mut Context<Self>) {
        let message = peers::Message::SignOff(Box::new(sign_off.0));
        self.peers.broadcast(&message);
    }
}
