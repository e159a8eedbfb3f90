//! A group on a simulated network that loses, delays, duplicates and reorders messages.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use zinniastall_coord::log::Entry;
use zinniastall_coord::replica::{Barrier, Message, Replica, Restored};
use zinniastall_coord::{Id, Term};

use crate::node::Node;

pub(crate) const STEP: Duration = Duration::from_millis(5);

/// Fault rates and delays of the network and the disks; delays in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    pub(crate) loss: f64,
    pub(crate) doubled: f64,
    pub(crate) delay: u64,
    pub(crate) sync: u64,
}

pub(crate) const RELIABLE: Conditions = Conditions {
    loss: 0.0,
    doubled: 0.0,
    delay: 10,
    sync: 5,
};

#[derive(Debug)]
pub(crate) struct Packet {
    due: Duration,
    pub(crate) from: Id,
    place: usize,
    pub(crate) message: Message,
}

/// Replicas by place, which is their index in `nodes`. A replica that lost its disk comes back at
/// the same place with another id.
#[derive(Debug)]
pub(crate) struct Network {
    pub(crate) time: Duration,
    pub(crate) nodes: Vec<Node>,
    pub(crate) conditions: Conditions,
    /// Directions in which nothing passes, as pairs of places.
    pub(crate) cuts: IndexSet<(usize, usize)>,
    /// Additional delay by direction, as pairs of places.
    pub(crate) link_delays: IndexMap<(usize, usize), Duration>,
    /// Additional sync time by place.
    pub(crate) disk_delays: IndexMap<usize, Duration>,
    /// Whether operators send commands and repair the group.
    pub(crate) operators_active: bool,
    /// Every entry that was ever handed out as committed, by index.
    pub(crate) committed: IndexMap<u64, Entry>,
    pub(crate) leaders: IndexMap<Term, Id>,
    pub(crate) places: IndexMap<Id, usize>,
    pub(crate) packets: Vec<Packet>,
    pub(crate) reads: Vec<(usize, Barrier, usize)>,
    /// Surveys in progress: place, number, and how many entries were committed when they began.
    pub(crate) surveys: Vec<(usize, u64, usize)>,
    rng: StdRng,
    pub(crate) sent: u32,
}

impl Network {
    /// Founds a group at the first place; the other replicas start fresh.
    pub(crate) fn new(size: usize, conditions: Conditions, seed: u64) -> Self {
        let mut net = Self {
            time: Duration::ZERO,
            nodes: Vec::new(),
            conditions,
            cuts: IndexSet::new(),
            link_delays: IndexMap::new(),
            disk_delays: IndexMap::new(),
            operators_active: true,
            committed: IndexMap::new(),
            leaders: IndexMap::new(),
            places: IndexMap::new(),
            packets: Vec::new(),
            reads: Vec::new(),
            surveys: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            sent: 0,
        };
        for place in 0..size {
            let node = net.fresh(place);
            net.nodes.push(node);
        }
        let id = net.nodes[0].id;
        net.nodes[0].disk = Restored::founding([1; 16], id, "0");
        net
    }

    /// Founds a group and runs it until every replica votes.
    pub(crate) fn healthy(size: usize, seed: u64) -> Self {
        let mut net = Self::new(size, RELIABLE, seed);
        net.run_until("the group is whole", Self::is_healthy);
        net
    }

    fn fresh(&mut self, place: usize) -> Node {
        let id = self.places.len() as Id + 1;
        self.places.insert(id, place);
        Node::new(
            id,
            1.0 + self.rng.random_range(-0.04..0.04),
            Restored::default(),
        )
    }

    /// Loses a disk if the group tolerates that; returns whether it did.
    pub(crate) fn wipe(&mut self, place: usize) -> bool {
        let Some(status) = self.leader_status() else {
            return false;
        };
        let intact = |id: &Id| {
            self.places
                .get(id)
                .is_some_and(|at| self.nodes[*at].id == *id)
        };
        if status.failure_tolerance() == 0 || !status.voters.members().all(|id| intact(&id)) {
            return false;
        }
        self.replace_disk(place);
        true
    }

    /// Loses a disk, whether the group tolerates that or not.
    pub(crate) fn replace_disk(&mut self, place: usize) {
        self.nodes[place] = self.fresh(place);
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.time + span;
        while self.time < until {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.time += STEP;
        for place in 0..self.nodes.len() {
            let node = &mut self.nodes[place];
            if node.replica.is_none() && self.time >= node.away_until {
                node.start(self.time, self.committed.len());
            }
            if node.is_up(self.time) {
                node.sync(self.time);
                let now = node.clock(self.time);
                node.replica.as_mut().expect("it is up").tick(now);
                self.drain(place);
            }
        }
        self.deliver();
        if self.operators_active {
            self.survey();
            self.operate();
        }
        self.check_invariants();
    }

    /// Lets a random replica begin a survey.
    fn survey(&mut self) {
        let place = self.rng.random_range(0..self.nodes.len());
        if !self.nodes[place].is_up(self.time) {
            return;
        }
        let committed = self.committed.len();
        let begun = self.call(place, |replica, _| replica.begin_survey());
        self.surveys
            .extend(begun.map(|number| (place, number, committed)));
    }

    pub(crate) fn drain(&mut self, place: usize) {
        let slow = self.disk_delays.get(&place).copied().unwrap_or_default();
        let delay = slow + Duration::from_millis(self.rng.random_range(0..=self.conditions.sync));
        let node = &mut self.nodes[place];
        let from = node.id;
        let before = node.applied.len();
        for (to, message) in node.drain(self.time, delay) {
            let Some(at) = self.places.get(&to).copied() else {
                continue;
            };
            let copies = 1 + usize::from(self.rng.random_bool(self.conditions.doubled));
            for _ in 0..copies {
                let lost = self.rng.random_bool(self.conditions.loss);
                if lost || self.cuts.contains(&(place, at)) {
                    continue;
                }
                let delay = Duration::from_millis(self.rng.random_range(0..=self.conditions.delay));
                let slow = self
                    .link_delays
                    .get(&(place, at))
                    .copied()
                    .unwrap_or_default();
                let due = self.time + slow + delay;
                self.packets.push(Packet {
                    due,
                    from,
                    place: at,
                    message: message.clone(),
                });
            }
        }
        let node = &self.nodes[place];
        let new = before.min(node.applied.len());
        for (offset, entry) in node.applied.iter().enumerate().skip(new) {
            assert_eq!(
                entry.index,
                offset as u64 + 1,
                "entries are applied without gaps"
            );
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "a committed entry was replaced");
        }
    }

    fn deliver(&mut self) {
        let time = self.time;
        let nodes = &self.nodes;
        let due = |packet: &mut Packet| {
            let frozen =
                nodes[packet.place].replica.is_some() && time < nodes[packet.place].away_until;
            packet.due <= time && !frozen
        };
        let packets: Vec<Packet> = self.packets.extract_if(.., due).collect();
        for packet in packets {
            let node = &mut self.nodes[packet.place];
            let now = node.clock(time);
            if let Some(replica) = &mut node.replica {
                replica.receive(packet.from, packet.message, now);
                self.drain(packet.place);
            }
        }
    }

    /// Restores all links and disks.
    pub(crate) fn restore_links(&mut self) {
        self.cuts.clear();
        self.link_delays.clear();
        self.disk_delays.clear();
    }

    pub(crate) fn isolate(&mut self, place: usize) {
        for other in 0..self.nodes.len() {
            self.cuts.extend([(place, other), (other, place)]);
        }
    }

    /// Crashes a replica, which starts again after a while.
    pub(crate) fn crash(&mut self, place: usize, away: Duration) {
        let until = self.time + away;
        self.nodes[place].crash(until);
    }

    /// Crashes all replicas, which start again one after the other after a while.
    pub(crate) fn blackout(&mut self, away: Duration) {
        for place in 0..self.nodes.len() {
            let later = u32::try_from(place).expect("a group is small");
            self.crash(place, away + STEP * later);
        }
    }

    pub(crate) fn freeze(&mut self, place: usize, away: Duration) {
        self.nodes[place].away_until = self.time + away;
    }

    /// Calls the replica at a place, which must be up.
    pub(crate) fn call<T>(
        &mut self,
        place: usize,
        call: impl FnOnce(&mut Replica, Instant) -> T,
    ) -> T {
        let now = self.nodes[place].clock(self.time);
        let replica = self.nodes[place]
            .replica
            .as_mut()
            .expect("the replica is up");
        let result = call(replica, now);
        self.drain(place);
        result
    }
}
