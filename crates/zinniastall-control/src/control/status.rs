//! How the system is, as seen from here.

use std::time::{Duration, Instant};

use actix::{Context, Handler, Message, MessageResult};
use tokio::sync::oneshot;
use zinniastall_api::operator::{InstanceStatus, ReplicaStatus, SystemStatus};
use zinniastall_coord::{
    Id,
    replica::{Barrier, Role, Status},
};
use zinniastall_model::member::Member;

use super::{Control, Deferred, hex, waiting::answer};

/// Part of the election timeout for which the others' answers are waited for.
const ELECTION_TIMEOUT_DIVISOR: u32 = 4;
/// Most questions that wait at once.
const MAX_HEALTH_QUERIES: usize = 256;

/// Asks how the system is, as seen from this replica.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<SystemStatus>")]
pub struct Health;

/// Asks how one entry instance is, as seen from this replica.
#[derive(Debug, Message)]
#[rtype(result = "Option<InstanceStatus>")]
pub struct Inspect(pub String);

/// Questions that wait for the others' answers.
#[derive(Debug, Default)]
pub(super) struct HealthQueries {
    waiting: Vec<HealthQuery>,
}

#[derive(Debug)]
struct HealthQuery {
    barrier: Barrier,
    deadline: Instant,
    reply: oneshot::Sender<SystemStatus>,
}

impl Handler<Health> for Control {
    type Result = MessageResult<Health>;

    fn handle(&mut self, _: Health, context: &mut Context<Self>) -> Self::Result {
        let (reply, deferred) = oneshot::channel();
        let now = Instant::now();
        self.replica.tick(now);
        match self.replica.barrier(now) {
            Ok(barrier) if self.may_be_safe(now) => {
                let deadline = now + self.settings.timing.election / ELECTION_TIMEOUT_DIVISOR;
                self.health_queries.waiting.push(HealthQuery {
                    barrier,
                    deadline,
                    reply,
                });
            }
            _ => answer(reply, self.system(false, now)),
        }
        self.schedule(context);
        MessageResult(deferred)
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
    /// Answers the questions that enough voters have answered since, and those whose time is up.
    ///
    /// A voter that was lost a moment ago was still heard lately, so what was heard before the question
    /// says nothing: an operator who took another one down on that word would stop the group.
    pub(super) fn check_health_queries(&mut self, now: Instant) {
        for query in std::mem::take(&mut self.health_queries.waiting) {
            match self.replica.failure_tolerance_since(&query.barrier) {
                Ok(0) if now < query.deadline => self.health_queries.waiting.push(query),
                spare => {
                    let safe = spare.is_ok_and(|spare| spare > 0);
                    let safe = safe && self.replica.lease(now).is_some();
                    answer(query.reply, self.system(safe, now));
                }
            }
        }
    }

    /// Tells whether asking the others can show that the next loss is safe.
    fn may_be_safe(&self, now: Instant) -> bool {
        let status = self.replica.status(now);
        let answers = |id: &Id| {
            let peer = status.peers.get(id);
            *id == status.id || peer.is_some_and(|peer| peer.reachable)
        };
        let reachable = status.voters.voters.keys().filter(|id| answers(id)).count();
        reachable > status.voters.majority()
            && self.health_queries.waiting.len() < MAX_HEALTH_QUERIES
    }

    fn system(&self, next_loss_safe: bool, now: Instant) -> SystemStatus {
        let status = self.replica.status(now);
        let state = self.machine.state();
        let members = state.members.values();
        SystemStatus {
            cluster: status.cluster.map(hex).unwrap_or_default(),
            revision: state.revision,
            leader: self.leader_address().unwrap_or_default(),
            term: status.term,
            commit: status.commit,
            replicas: self.replicas(&status),
            next_loss_safe,
            instances: members.map(|member| self.instance(member, now)).collect(),
        }
    }

    fn instance(&self, member: &Member, now: Instant) -> InstanceStatus {
        let mut status = InstanceStatus {
            instance: member.instance.clone(),
            region: member.place.region.clone(),
            zone: member.place.zone.clone(),
            heard_ms: u64::MAX,
            ..InstanceStatus::default()
        };
        if let Some((latest, age)) = self.confirmed.latest(&member.instance, now) {
            status.incarnation = latest.incarnation;
            status.revision = latest.revision;
            status.draining = latest.draining;
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
            address: address.unwrap_or_else(|| self.identity.borrow().links.clone()),
            voter: status.voters.is_voter(id),
            leader: status.leader == Some(id) && (!own || status.role == Role::Leader),
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
