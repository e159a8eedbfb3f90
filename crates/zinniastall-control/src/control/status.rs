//! Status of the system, as seen from this replica.

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

/// The election timeout divided by this is the longest wait for the other replicas' answers.
const ELECTION_TIMEOUT_DIVISOR: u32 = 4;
/// Health queries that may wait at once.
const MAX_HEALTH_QUERIES: usize = 256;

/// Requests the status of the system, as seen from this replica.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<SystemStatus>")]
pub struct Health;

/// Requests the status of one entry instance, as seen from this replica.
#[derive(Debug, Message)]
#[rtype(result = "Option<InstanceStatus>")]
pub struct Inspect(pub String);

/// Health queries that wait for answers of the other replicas.
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
    /// Answers the queries since which enough voters have answered, and those whose deadline has
    /// passed.
    ///
    /// A voter that was lost a moment ago still counts as recently heard, so only answers after the
    /// query are evidence. An operator who shut down another voter on older evidence would stop the
    /// group.
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

    /// Returns whether asking the other voters can show that the next loss is safe.
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
        // A replica that is not admitted yet is listed too: the operator needs its id to admit it.
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
