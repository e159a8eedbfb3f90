//! Forms and repairs the control group without an operator.
//!
//! A replica outside the group asks all replicas that it knows of to admit it; whoever receives the
//! request forwards it to the leader. The leader takes one step at a time, each a change of voters
//! that the log commits: admit the new replica, remove the one that it replaces, and promote the
//! new one once it has caught up. A replica that comes back with an empty disk has a new id, so it
//! cannot vote in place of its former self, whose vote it has lost.

use std::time::{Duration, Instant};

use actix::{AsyncContext, Context, Handler, Message, MessageResult};
use indexmap::IndexMap;
use zinniastall_coord::{
    Id,
    replica::{Role, Status},
    voters::Address,
};

use super::{
    Bootstrap, Control, Reconfigure,
    repair::{Throttle, next_step},
};
use crate::peers;

/// Time between two join requests of a replica outside the group. Each costs one frame per replica
/// and delays the replacement of a lost disk by at most this long.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a join request that was not repeated is dropped. It spans many intervals, since
/// requests may be lost.
const JOIN_REQUEST_TTL: Duration = Duration::from_millis(1_500);
/// Time without a finished sync after which the leader transfers its leadership. Meanwhile nothing
/// is acknowledged here although other replicas' disks may work, and an order has only six seconds
/// in total.
const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Replaces the seed addresses, after the settings have changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetSeeds(pub Vec<Address>);

/// State for forming and repairing the group.
#[derive(Debug)]
pub(super) struct Heal {
    seeds: Vec<Address>,
    join_requests: IndexMap<Id, JoinRequest>,
    throttle: Throttle,
    last_join_request: Option<Instant>,
    stalled: Option<(u64, Instant)>,
}

/// A replica's request to join the group.
#[derive(Debug, Clone)]
struct JoinRequest {
    address: Address,
    since: Instant,
}

impl Heal {
    pub(super) fn new(seeds: Vec<Address>) -> Self {
        Self {
            seeds,
            join_requests: IndexMap::new(),
            throttle: Throttle::default(),
            last_join_request: None,
            stalled: None,
        }
    }

    pub(super) fn seeds(&self) -> &[Address] {
        &self.seeds
    }

    /// Returns whether the disk has not finished the same batch for too long.
    fn is_stalled(&mut self, submitted: u64, synced: u64, now: Instant) -> bool {
        if submitted <= synced {
            self.stalled = None;
            return false;
        }
        match self.stalled {
            Some((batch, since)) if batch == synced => now >= since + DISK_STALL_TIMEOUT,
            _ => {
                self.stalled = Some((synced, now));
                false
            }
        }
    }
}

impl Control {
    /// Returns whether the group has as many voters as it needs for its first change.
    ///
    /// A group that is still forming would acknowledge changes that only a single disk holds.
    pub(super) fn is_formed(&self, now: Instant) -> bool {
        let needed = self.settings.group.size;
        needed <= 1
            || self.machine.state().revision > 0
            || self.replica.status(now).voters.voters.len() >= needed
    }

    /// Records a replica's request to join, or forwards it to the leader.
    pub(super) fn note_join_request(&mut self, id: Id, address: Address) {
        if !self.settings.group.heals || id == self.replica.id() {
            return;
        }
        let now = Instant::now();
        let voters = self.replica.status(now).voters;
        let is_replaced = |other: Id| other != id && voters.address(other) == Some(&address);
        if voters.members().any(is_replaced) {
            self.peers.reopen(id, &address);
        }
        if self.role == Role::Leader {
            let since = now;
            self.heal
                .join_requests
                .insert(id, JoinRequest { address, since });
        } else {
            self.send_leader(&peers::Message::Admit { id, address });
        }
    }

    /// Takes the next step towards a complete group.
    pub(super) fn heal(&mut self, now: Instant, context: &mut Context<Self>) {
        if self.role == Role::Leader && self.heal.is_stalled(self.submitted, self.synced, now) {
            tracing::warn!(
                event = "disk-stalled",
                handed = self.submitted,
                synced = self.synced
            );
            self.heal.stalled = None;
            self.transfer_leadership(now);
            self.drive();
        }
        if !self.settings.group.heals {
            return;
        }
        let status = self.replica.status(now);
        if status.cluster.is_none() && self.settings.group.founds && !self.founding {
            context.notify(Bootstrap);
        }
        if !status.voters.is_member(status.id) || status.removed {
            self.request_join(status.id, now);
        } else if status.role == Role::Leader {
            self.repair(&status, now, context);
        }
    }

    fn request_join(&mut self, id: Id, now: Instant) {
        if self
            .heal
            .last_join_request
            .is_some_and(|asked| now < asked + JOIN_REQUEST_INTERVAL)
        {
            return;
        }
        self.heal.last_join_request = Some(now);
        self.update_peers();
        let address = self.identity.borrow().links.clone();
        self.peers.broadcast(&peers::Message::Admit { id, address });
    }

    fn repair(&mut self, status: &Status, now: Instant, context: &mut Context<Self>) {
        self.heal
            .join_requests
            .retain(|_, request| now < request.since + JOIN_REQUEST_TTL);
        let join_requests = self.heal.join_requests.iter();
        let join_requests = join_requests.map(|(id, request)| (*id, request.address.clone()));
        let step = next_step(status, &join_requests.collect());
        let Some(change) = step.filter(|step| self.heal.throttle.is_due(step, now)) else {
            return;
        };
        tracing::info!(event = "group-repair", change = format!("{change:?}"));
        context.notify(Reconfigure(change));
    }
}

/// Requests the replica's state for its metrics.
#[derive(Debug, Message)]
#[rtype(result = "Stats")]
pub struct Sample;

/// State of a replica for its metrics.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Status of the consensus.
    pub status: Status,
    /// Committed revision of the configuration.
    pub revision: u64,
    /// Batches that are not synced yet.
    pub unsynced: u64,
}

impl Handler<Sample> for Control {
    type Result = MessageResult<Sample>;

    fn handle(&mut self, _: Sample, _: &mut Context<Self>) -> Self::Result {
        MessageResult(Stats {
            status: self.replica.status(Instant::now()),
            revision: self.machine.state().revision,
            unsynced: self.submitted.saturating_sub(self.synced),
        })
    }
}

/// Requests the link addresses of the group's replicas.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Address>")]
pub struct Members;

impl Handler<Members> for Control {
    type Result = MessageResult<Members>;

    fn handle(&mut self, _: Members, _: &mut Context<Self>) -> Self::Result {
        let voters = self.replica.status(Instant::now()).voters;
        let addresses = voters
            .members()
            .filter_map(|id| voters.address(id).cloned());
        MessageResult(addresses.collect())
    }
}

impl Handler<SetSeeds> for Control {
    type Result = ();

    fn handle(&mut self, seeds: SetSeeds, _: &mut Context<Self>) {
        tracing::info!(event = "seeds-changed", seeds = seeds.0.join(","));
        self.heal.seeds = seeds.0;
        self.update_peers();
    }
}
