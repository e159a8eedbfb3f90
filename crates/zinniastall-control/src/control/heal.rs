//! Forms and repairs the control group without an operator.
//!
//! A replica outside the group asks all replicas that it knows of to admit it; whoever receives the
//! request forwards it to the leader. The leader takes one step at a time, each a change of voters
//! that the log commits: admit the new replica, remove the one that it replaces, and promote the
//! new one once it has caught up. A replica that comes back with an empty disk has a new id, so it
//! cannot vote in place of its former self, whose vote it has lost.
//!
//! A replica that shuts down asks to leave before it ends, since it may never come back. Only the
//! leader knows whether the others can do without it, so it decides, and the replica waits.

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
    repair::{Requests, Throttle, can_spare_voter, next_step},
};
use crate::peers;

/// Time between two requests of a replica to join or to leave. Each costs one frame per replica and
/// delays the replacement of a lost disk by at most this long.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a request that was not repeated is dropped. It spans many intervals, since
/// requests may be lost.
const REQUEST_TTL: Duration = Duration::from_millis(1_500);
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
    /// Members that are shutting down, and when each last asked to leave.
    leave_requests: IndexMap<Id, Instant>,
    throttle: Throttle,
    last_request: Option<Instant>,
    /// Whether this replica is shutting down.
    stopping: bool,
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
            leave_requests: IndexMap::new(),
            throttle: Throttle::default(),
            last_request: None,
            stopping: false,
            stalled: None,
        }
    }

    pub(super) fn seeds(&self) -> &[Address] {
        &self.seeds
    }

    /// Stops asking to join from now on.
    pub(super) const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether a request to join or to leave is due, and records it if so.
    fn is_request_due(&mut self, now: Instant) -> bool {
        let is_early = |asked: Instant| now < asked + REQUEST_INTERVAL;
        if self.last_request.is_some_and(is_early) {
            return false;
        }
        self.last_request = Some(now);
        true
    }

    /// Returns the current requests and drops those that were not repeated.
    fn requests(&mut self, now: Instant) -> Requests {
        self.join_requests
            .retain(|_, request| now < request.since + REQUEST_TTL);
        self.leave_requests
            .retain(|_, since| now < *since + REQUEST_TTL);
        let join = self.join_requests.iter();
        let join = join.map(|(id, request)| (*id, request.address.clone()));
        Requests {
            join: join.collect(),
            leave: self.leave_requests.keys().copied().collect(),
        }
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
            self.heal.leave_requests.shift_remove(&id);
            self.heal
                .join_requests
                .insert(id, JoinRequest { address, since });
        } else {
            self.send_leader(&peers::Message::Admit { id, address });
        }
    }

    /// Records on the leader that a replica is shutting down and asks to leave; elsewhere sends the
    /// leader this replica's own request.
    pub(super) fn note_leave_request(&mut self, id: Id) {
        if !self.settings.group.heals {
            return;
        }
        if self.role == Role::Leader {
            self.heal.join_requests.shift_remove(&id);
            self.heal.leave_requests.insert(id, Instant::now());
        } else if id == self.replica.id() {
            self.send_leader(&peers::Message::Leave { id });
        }
    }

    /// Asks to leave the group; returns whether nothing is left to wait for.
    ///
    /// A replica that the group cannot spare stays a voter: it may only be restarting, and a removal
    /// would leave fewer copies of each change than the group must keep. If others are joining, one
    /// of them may take its place. Groups that operators change by hand keep their voters.
    pub(super) fn leave(&mut self, now: Instant) -> bool {
        let status = self.replica.status(now);
        if !self.settings.group.heals || !may_leave(&status, self.settings.group.losses) {
            return true;
        }
        if self.heal.is_request_due(now) {
            self.note_leave_request(status.id);
        }
        false
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
        if self.heal.stopping || !self.heal.is_request_due(now) {
            return;
        }
        self.update_peers();
        let address = self.identity.borrow().links.clone();
        self.peers.broadcast(&peers::Message::Admit { id, address });
    }

    fn repair(&mut self, status: &Status, now: Instant, context: &mut Context<Self>) {
        let requests = self.heal.requests(now);
        let step = next_step(status, &requests, self.settings.group.losses);
        let Some(change) = step.filter(|step| self.heal.throttle.is_due(step, now)) else {
            return;
        };
        tracing::info!(event = "group-repair", change = format!("{change:?}"));
        context.notify(Reconfigure(change));
    }
}

/// Returns whether a replica that shuts down is still in the group and could be spared.
///
/// How many of the others answer is known to the leader only; here they all count.
fn may_leave(status: &Status, losses: usize) -> bool {
    let voters = &status.voters;
    let is_committed = status.voters_index <= status.commit;
    if status.removed || (!voters.is_member(status.id) && is_committed) {
        return false;
    }
    let size = voters.voters.len();
    let is_being_replaced = !voters.learners.is_empty();
    is_being_replaced || can_spare_voter(size, size.saturating_sub(1), losses)
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
