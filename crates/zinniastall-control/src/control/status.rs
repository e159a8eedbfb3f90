//! How the system is, as seen from here.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message, MessageResult};
use zinniastall_api::operator::{InstanceStatus, ReplicaStatus, SystemStatus};
use zinniastall_coord::{
    Id,
    replica::{Part, Status},
};
use zinniastall_model::member::Member;

use super::{Control, hex};

/// Asks how the system is, as seen from this replica.
#[derive(Debug, Message)]
#[rtype(result = "SystemStatus")]
pub struct Health;

/// Asks how one entry instance is, as seen from this replica.
#[derive(Debug, Message)]
#[rtype(result = "Option<InstanceStatus>")]
pub struct Inspect(pub String);

impl Handler<Health> for Control {
    type Result = MessageResult<Health>;

    fn handle(&mut self, _: Health, _: &mut Context<Self>) -> Self::Result {
        let now = Instant::now();
        self.replica.tick(now);
        let status = self.replica.status(now);
        let state = self.machine.state();
        let members = state.members.values();
        MessageResult(SystemStatus {
            cluster: status.cluster.map(hex).unwrap_or_default(),
            revision: state.revision,
            leader: self.leader_address().unwrap_or_default(),
            term: status.term,
            commit: status.commit,
            replicas: self.replicas(&status),
            next_loss_safe: status.lease_until.is_some() && status.spare() > 0,
            instances: members.map(|member| self.instance(member, now)).collect(),
        })
    }
}

impl Handler<Inspect> for Control {
    type Result = MessageResult<Inspect>;

    fn handle(&mut self, inspect: Inspect, _: &mut Context<Self>) -> Self::Result {
        let member = self.machine.state().members.get(&inspect.0);
        MessageResult(member.map(|member| self.instance(member, Instant::now())))
    }
}

impl Control {
    fn instance(&self, member: &Member, now: Instant) -> InstanceStatus {
        let mut status = InstanceStatus {
            instance: member.instance.clone(),
            region: member.place.region.clone(),
            zone: member.place.zone.clone(),
            heard_ms: u64::MAX,
            ..InstanceStatus::default()
        };
        if let Some((word, age)) = self.confirmed.word(&member.instance, now) {
            status.incarnation = word.incarnation;
            status.revision = word.revision;
            status.draining = word.draining;
            status.heard_ms = millis(age);
        }
        status
    }

    fn replicas(&self, status: &Status) -> Vec<ReplicaStatus> {
        let mut ids: Vec<Id> = status.voters.members().collect();
        // A replica that was not admitted yet shows its id here, which the operator needs.
        if !ids.contains(&status.id) {
            ids.push(status.id);
        }
        ids.into_iter()
            .map(|id| self.one_replica(id, status))
            .collect()
    }

    fn one_replica(&self, id: Id, status: &Status) -> ReplicaStatus {
        let own = id == status.id;
        let address = status.voters.address(id).cloned();
        let peer = status.peers.get(&id);
        let heard = if own {
            Duration::ZERO
        } else {
            peer.and_then(|peer| peer.silent).unwrap_or(Duration::MAX)
        };
        ReplicaStatus {
            id: format!("{id:016x}"),
            address: address.unwrap_or_else(|| self.card.borrow().links.clone()),
            voter: status.voters.is_voter(id),
            leader: status.leader == Some(id) && (!own || status.part == Part::Leader),
            matched: if own {
                status.applied
            } else {
                peer.map_or(0, |peer| peer.matched)
            },
            heard_ms: millis(heard),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
