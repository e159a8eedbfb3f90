//! Tells other replicas which targets of their availability zone report here.
//!
//! A target reports to any replica, and stays with it. Only a replica of its zone can ask it after a restart,
//! and has to know of it by then.

use actix::{Context, Handler, Message};
use zinniastall_model::id;

use super::Control;
use crate::{peers, recall::Remembered};

/// Tells the replicas of an availability zone of targets there.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Remember {
    /// Availability zone.
    pub zone: id::Zone,
    /// Its targets, as far as they report here.
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
