//! Replicas that store their state in real folders, crash at random and restart.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tempfile::TempDir;
use zinniastall_coord::Id;
use zinniastall_coord::election::Timing;
use zinniastall_coord::log::Entry;
use zinniastall_coord::replica::{Limits, Message, Replica, Role};
use zinniastall_coord::voters::Change;
use zinniastall_store::{Options, Store};

const STEP: Duration = Duration::from_millis(20);
const REPLICAS: usize = 3;
const OPTIONS: Options = Options { segment_bytes: 600 };
const LIMITS: Limits = Limits {
    message: 400,
    window: 1200,
    command: 200,
    uncommitted: 6000,
    retain: 2,
    lag: 8,
};

struct Node {
    folder: TempDir,
    id: Id,
    open: Option<(Store, Replica)>,
    applied: Vec<Entry>,
    isolated_until: Instant,
    crash_at: Option<Instant>,
    is_gone: bool,
}

struct Group {
    now: Instant,
    nodes: Vec<Node>,
    packets: Vec<(usize, Id, Message)>,
    committed: Vec<Entry>,
    rng: StdRng,
}

impl Node {
    fn new(now: Instant, founds: bool) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (mut store, _) = Store::open_with(folder.path(), OPTIONS).expect("a new folder opens");
        if founds {
            store.found("0").expect("a new folder can be founded");
        }
        let id = store.id();
        drop(store);
        let mut node = Self {
            folder,
            id,
            open: None,
            applied: Vec::new(),
            isolated_until: now,
            crash_at: None,
            is_gone: false,
        };
        node.start(now);
        node
    }

    fn start(&mut self, now: Instant) {
        let opened = Store::open_with(self.folder.path(), OPTIONS);
        let (store, restored) = opened.expect("an intact folder opens");
        self.applied = restored
            .snapshot
            .as_ref()
            .map_or(Vec::new(), |snapshot| parse(&snapshot.data));
        let timing = Timing::new(Duration::from_millis(50), Duration::from_millis(500));
        let builder = Replica::builder(self.id, timing)
            .limits(LIMITS)
            .restored(restored);
        self.open = Some((store, builder.build(now).expect("the timing is sound")));
    }

    fn drain(&mut self, now: Instant) -> Vec<(Id, Message)> {
        let mut messages = Vec::new();
        let Some((store, replica)) = &mut self.open else {
            return messages;
        };
        while let Some(mut ready) = replica.ready() {
            let (before, changes) = (store.syncs(), ready.needs_sync());
            store.save(&ready).expect("the folder can be written");
            assert!(
                !changes || store.syncs() > before,
                "sent before it is synced"
            );
            messages.append(&mut ready.messages);
            if let Some(snapshot) = &ready.install {
                self.applied = parse(&snapshot.data);
            }
            self.applied.append(&mut ready.committed);
            replica.synced(ready.batch, now);
        }
        messages
    }

    fn compact(&mut self) {
        let Some((store, replica)) = &mut self.open else {
            return;
        };
        let mut data = Vec::new();
        ciborium::into_writer(&self.applied, &mut data).expect("memory can be written");
        let snapshot = replica.snapshot(data);
        store
            .snapshot(&snapshot)
            .expect("the folder can be written");
        replica.compacted(snapshot);
    }

    fn is_leader(&self, now: Instant) -> bool {
        let replica = self.open.as_ref().map(|(_, replica)| replica);
        replica.is_some_and(|replica| replica.status(now).role == Role::Leader)
    }
}

fn parse(data: &[u8]) -> Vec<Entry> {
    ciborium::from_reader(data).expect("a snapshot holds what was put in")
}

impl Group {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let nodes = (0..REPLICAS)
            .map(|place| Node::new(now, place == 0))
            .collect();
        let rng = StdRng::seed_from_u64(seed);
        Self {
            now,
            nodes,
            packets: Vec::new(),
            committed: Vec::new(),
            rng,
        }
    }

    fn step(&mut self, loss: f64) {
        self.now += STEP;
        let now = self.now;
        for place in 0..REPLICAS {
            if let Some((_, replica)) = &mut self.nodes[place].open {
                replica.tick(now);
            }
            self.drain(place);
        }
        for (place, from, message) in std::mem::take(&mut self.packets) {
            let dropped = self.rng.random_bool(loss) || now < self.nodes[place].isolated_until;
            if let (false, Some((_, replica))) = (dropped, &mut self.nodes[place].open) {
                replica.receive(from, message, now);
                self.drain(place);
            }
        }
        self.propose();
    }

    fn drain(&mut self, place: usize) {
        let from = self.nodes[place].id;
        let is_isolated = self.now < self.nodes[place].isolated_until;
        for (to, message) in self.nodes[place].drain(self.now) {
            let receiver = self.nodes.iter().position(|node| node.id == to);
            if let (Some(receiver), false) = (receiver, is_isolated) {
                self.packets.push((receiver, from, message));
            }
        }
        let applied = &self.nodes[place].applied;
        let known = self.committed.len().min(applied.len());
        assert_eq!(
            applied[..known],
            self.committed[..known],
            "a committed entry was replaced"
        );
        self.committed.extend(applied[known..].iter().cloned());
    }

    fn propose(&mut self) {
        let now = self.now;
        let ids: Vec<Id> = self.nodes.iter().map(|node| node.id).collect();
        for node in &mut self.nodes {
            let Some((_, replica)) = &mut node.open else {
                continue;
            };
            let voters = replica.status(now).voters;
            let missing = ids.iter().find(|id| !voters.is_member(**id));
            if let Some(id) = voters.learners.keys().next() {
                let _refused = replica.propose_voters(&Change::Promote { id: *id }, now);
            } else if let Some(id) = missing {
                let admit = Change::Admit {
                    id: *id,
                    address: "n".into(),
                };
                let _refused = replica.propose_voters(&admit, now);
            }
            let _refused = replica.propose(vec![7; 40], now);
        }
    }

    /// Isolates a replica, often the leader, and crashes it soon after it is reachable again, or
    /// compacts its log.
    fn inject_fault(&mut self) {
        let leader = self.nodes.iter().position(|node| node.is_leader(self.now));
        let any = self.rng.random_range(0..REPLICAS);
        let place = leader.filter(|_| self.rng.random()).unwrap_or(any);
        let node = &mut self.nodes[place];
        match self.rng.random_range(0..120) {
            0 => {
                node.isolated_until = self.now + Duration::from_millis(1500);
                let soon = Duration::from_millis(self.rng.random_range(0..600));
                node.crash_at = Some(node.isolated_until + soon);
            }
            1 => node.compact(),
            _ => {}
        }
        for node in &mut self.nodes {
            if node.crash_at.take_if(|at| self.now >= *at).is_some() {
                node.open = None;
                node.start(self.now);
            }
        }
    }

    /// Loses the disk of one replica for good, and the power of all others in the same moment.
    fn lose_a_disk_and_all_power(&mut self) {
        let lost = self.rng.random_range(0..REPLICAS);
        self.packets.clear();
        for (place, node) in self.nodes.iter_mut().enumerate() {
            node.open = None;
            if place == lost {
                node.is_gone = true;
                node.isolated_until = self.now + Duration::from_hours(1);
            } else {
                node.start(self.now);
            }
        }
    }

    fn is_settled(&self) -> bool {
        let has_leader = self.nodes.iter().any(|node| node.is_leader(self.now));
        let kept = self.nodes.iter().filter(|node| !node.is_gone);
        let least = kept.map(|node| node.applied.len()).min();
        has_leader && least.is_some_and(|least| least + 20 > self.committed.len())
    }
}

// Processes crash, are isolated with entries that no other replica has, come back and get snapshots
// from each other, all with small segments. Every folder must open again with everything that its
// replica had acknowledged. An undamaged folder that is refused costs the operator a replica.
#[test]
fn crashing_replicas_open_their_folders_again() {
    for seed in 0..5 {
        println!("seed {seed}");
        let mut group = Group::new(seed);
        for _ in 0..1000 {
            group.step(0.05);
            group.inject_fault();
        }
        let target_length = group.committed.len() + 50;
        let end = group.now + Duration::from_mins(1);
        while group.committed.len() < target_length || !group.is_settled() {
            assert!(group.now < end, "not settled within a minute");
            group.step(0.0);
        }
    }
}

/// Guards against an acknowledged change that is lost when a disk is, and all others lose power in the
/// same moment.
#[test]
fn a_lost_disk_and_a_loss_of_all_power_lose_nothing_acknowledged() {
    for seed in 0..40 {
        let mut group = Group::new(seed);
        let steps = group.rng.random_range(60..200);
        let mut is_complete = false;
        for _ in 0..steps {
            group.step(0.02);
        }
        while !is_complete {
            group.step(0.0);
            let voters = group.nodes.iter().filter_map(|node| node.open.as_ref());
            let mut voters = voters.map(|(_, replica)| replica.status(group.now).voters);
            is_complete =
                voters.all(|voters| voters.learners.is_empty() && voters.voters.len() == REPLICAS);
        }
        // Whatever any replica has applied by now may have been acknowledged.
        let acknowledged = group.committed.clone();
        group.lose_a_disk_and_all_power();
        let end = group.now + Duration::from_mins(1);
        while group.committed.len() < acknowledged.len() + 20 || !group.is_settled() {
            assert!(group.now < end, "seed {seed}: not settled within a minute");
            group.step(0.0);
        }
        for node in group.nodes.iter().filter(|node| !node.is_gone) {
            let known = node.applied.len().min(acknowledged.len());
            assert_eq!(node.applied[..known], acknowledged[..known], "seed {seed}");
        }
    }
}
