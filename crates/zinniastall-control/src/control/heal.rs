//! How a group forms and repairs itself without an operator.
//!
//! A replica outside the group asks all that it knows of to be taken in; whoever hears it passes that
//! on to the leader. The leader takes one step at a time, each a change of voters that the log
//! commits: admit, remove whom the new one replaces, promote once caught up. A replica that came back
//! with an empty disk has a new id, so it can't vote in the place of the one that forgot its vote.

use std::time::{Duration, Instant};

use actix::{AsyncContext, Context, Handler, Message, MessageResult};
use indexmap::IndexMap;
use zinniastall_coord::{
    Id,
    replica::{Part, Peer, Status},
    voters::{Address, Change},
};

use super::{Bootstrap, Control, Regroup};
use crate::peers;

/// Time between two questions of a replica outside the group, and between two steps of the leader.
/// Four steps replace a lost disk, so a second and a half pass at most beside the catching up.
const STEP: Duration = Duration::from_millis(300);
/// Time after which a question that wasn't repeated is forgotten: five of them were lost.
const ASKING: Duration = Duration::from_millis(1_500);
/// Silence after which a voter may be removed from an even set. It is longer than a restart or an
/// election takes, since a voter that comes back has to catch up and be promoted anew.
const SILENT: Duration = Duration::from_secs(6);
/// Silence after which the voter before gives way to a new one at its own address.
const REPLACED: Duration = Duration::from_secs(1);
/// Time without a finished sync after which a leader hands over. Others' disks may be well, and
/// nothing is acknowledged here meanwhile; an order has six seconds in all.
const STALLED: Duration = Duration::from_millis(1_200);

/// The seeds in the settings have changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Reseed(pub Vec<Address>);

/// What a replica keeps for forming and repairing its group.
#[derive(Debug)]
pub(super) struct Heal {
    seeds: Vec<Address>,
    asking: IndexMap<Id, Asking>,
    next: Option<Instant>,
    stalled: Option<(u64, Instant)>,
}

/// A replica that asks to be taken in.
#[derive(Debug, Clone)]
struct Asking {
    address: Address,
    since: Instant,
}

impl Heal {
    pub(super) fn new(seeds: Vec<Address>) -> Self {
        Self {
            seeds,
            asking: IndexMap::new(),
            next: None,
            stalled: None,
        }
    }

    pub(super) fn seeds(&self) -> &[Address] {
        &self.seeds
    }

    /// Tells whether a step is due, and notes it if so.
    fn is_due(&mut self, now: Instant) -> bool {
        let due = self.next.is_none_or(|next| next <= now);
        if due {
            self.next = Some(now + STEP);
        }
        due
    }

    /// Tells whether the disk has held the same batch up for too long.
    fn is_stalled(&mut self, handed: u64, synced: u64, now: Instant) -> bool {
        if handed <= synced {
            self.stalled = None;
            return false;
        }
        match self.stalled {
            Some((batch, since)) if batch == synced => now >= since + STALLED,
            _ => {
                self.stalled = Some((synced, now));
                false
            }
        }
    }
}

/// Returns the next change of voters that repairs a group, as its leader sees it.
///
/// `asking` are the replicas that ask to be taken in, with their addresses.
pub fn next_step(status: &Status, asking: &IndexMap<Id, Address>) -> Option<Change> {
    let voters = &status.voters;
    let peer = |id: &Id| status.peers.get(id);
    let learner = voters.learners.keys().copied();
    let caught_up =
        |id: &Id| peer(id).is_some_and(|peer| peer.reachable && peer.matched + 8 >= status.commit);
    let silent = |id: &Id, least: Duration| {
        let long =
            |peer: &Peer| !peer.reachable && peer.silent.is_none_or(|silent| silent >= least);
        *id != status.id && peer(id).is_some_and(long)
    };
    let is_reachable = |id: &Id| peer(id).is_some_and(|peer| peer.reachable);
    let taken = |id: &Id, address: &Address| {
        let same = |other: &Id| *other != *id && voters.address(*other) == Some(address);
        let learner = |other: &Id| same(other) && is_reachable(other);
        voters.voters.keys().any(same) || voters.learners.keys().any(learner)
    };
    let is_replaced = |(id, address): &(&Id, &Address)| taken(id, address) && silent(id, REPLACED);
    let replaced = voters.voters.iter().find(is_replaced).map(|(id, _)| *id);
    // Promoted beside the one that it replaces, the new voter would make an even set, in which all that
    // answer make a majority: one more loss before the next step would leave a group that never leads
    // again. Two voters stay two until the new one counts.
    if let Some(id) = replaced.filter(|_| voters.voters.len() > 2) {
        return Some(Change::Remove { id });
    }
    if let Some(id) = learner.clone().find(|id| caught_up(id)) {
        return Some(Change::Promote { id });
    }
    let is_stale = |id: &Id| silent(id, SILENT) && !asking.contains_key(id);
    if let Some(id) = learner.clone().find(is_stale) {
        return Some(Change::Remove { id });
    }
    let is_new = |(id, _): &(&Id, &Address)| !voters.is_member(**id);
    if let Some((id, address)) = asking.iter().find(is_new) {
        return Some(Change::Admit {
            id: *id,
            address: address.clone(),
        });
    }
    // A silent voter of an even set is a burden: without it as many others may be lost, and one
    // vote less makes a majority.
    let even = voters.voters.len() > 2 && voters.voters.len().is_multiple_of(2);
    let burden = voters.voters.keys().find(|id| silent(id, SILENT));
    let id = *burden.filter(|_| even)?;
    Some(Change::Remove { id })
}

impl Control {
    /// Tells whether the group has as many voters as it needs for its first change.
    ///
    /// A group that is still forming would acknowledge changes that a single disk holds.
    pub(super) fn is_formed(&self, now: Instant) -> bool {
        let needed = self.settings.group.size;
        needed <= 1
            || self.machine.state().revision > 0
            || self.replica.status(now).voters.voters.len() >= needed
    }

    /// Notes that a replica asks to be taken in, or passes it on to the leader.
    pub(super) fn note_asking(&mut self, id: Id, address: Address) {
        if !self.settings.group.heals || id == self.replica.id() {
            return;
        }
        if self.part == Part::Leader {
            let since = Instant::now();
            self.heal.asking.insert(id, Asking { address, since });
        } else {
            self.send_leader(&peers::Message::Admit { id, address });
        }
    }

    /// Takes the next step towards a whole group.
    pub(super) fn heal(&mut self, now: Instant, context: &mut Context<Self>) {
        if self.part == Part::Leader && self.heal.is_stalled(self.handed, self.synced, now) {
            tracing::warn!(
                event = "disk-stalled",
                handed = self.handed,
                synced = self.synced
            );
            self.heal.stalled = None;
            self.hand_over(now);
            self.drive();
        }
        if !self.settings.group.heals || !self.heal.is_due(now) {
            return;
        }
        let status = self.replica.status(now);
        if status.cluster.is_none() && self.settings.group.founds && !self.founding {
            context.notify(Bootstrap);
        }
        if !status.voters.is_member(status.id) || status.removed {
            self.ask(status.id);
        } else if status.part == Part::Leader {
            self.repair(&status, now, context);
        }
    }

    fn ask(&mut self, id: Id) {
        self.meet();
        let address = self.card.borrow().links.clone();
        self.peers.broadcast(&peers::Message::Admit { id, address });
    }

    fn repair(&mut self, status: &Status, now: Instant, context: &mut Context<Self>) {
        self.heal
            .asking
            .retain(|_, asking| now < asking.since + ASKING);
        let asking = self.heal.asking.iter();
        let asking = asking.map(|(id, asking)| (*id, asking.address.clone()));
        let Some(change) = next_step(status, &asking.collect()) else {
            return;
        };
        tracing::info!(event = "group-repair", change = format!("{change:?}"));
        context.notify(Regroup(change));
    }
}

/// Asks how the replica is, for its figures.
#[derive(Debug, Message)]
#[rtype(result = "Glimpse")]
pub struct Glance;

/// How a replica is.
#[derive(Debug, Clone)]
pub struct Glimpse {
    /// The consensus.
    pub status: Status,
    /// Configuration as it is committed.
    pub revision: u64,
    /// Batches that wait for the disk.
    pub unsynced: u64,
}

impl Handler<Glance> for Control {
    type Result = MessageResult<Glance>;

    fn handle(&mut self, _: Glance, _: &mut Context<Self>) -> Self::Result {
        MessageResult(Glimpse {
            status: self.replica.status(Instant::now()),
            revision: self.machine.state().revision,
            unsynced: self.handed.saturating_sub(self.synced),
        })
    }
}

/// Asks for the addresses of the links of the group's replicas.
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

impl Handler<Reseed> for Control {
    type Result = ();

    fn handle(&mut self, reseed: Reseed, _: &mut Context<Self>) {
        tracing::info!(event = "seeds-changed", seeds = reseed.0.join(","));
        self.heal.seeds = reseed.0;
        self.meet();
    }
}
