//! Measures the cost of a change and of a heartbeat in messages, bytes and processor time, without
//! links and disks.
//!
//! `cargo run --release -p zinniastall-coord --example cost -- [REPLICAS]`
//!
//! Replicas run in one thread. Messages are counted in the encoding that links use; time is the
//! time spent inside the replicas, without encoding.

use std::error::Error;
use std::time::{Duration, Instant};

use zinniastall_coord::election::Timing;
use zinniastall_coord::log::Payload;
use zinniastall_coord::replica::{Message, Replica, Restored};
use zinniastall_coord::voters::Change;
use zinniastall_coord::{Cluster, Id};

const CLUSTER: Cluster = [7; 16];
const COMMAND_BYTES: usize = 512;
const CHANGE_COUNT: u32 = 20_000;
const HEARTBEAT_COUNT: u32 = 2_000;
const HEARTBEAT: Duration = Duration::from_millis(50);
const ELECTION: Duration = Duration::from_millis(500);

/// Messages and bytes sent and time spent by one side of the group.
#[derive(Debug, Default, Clone, Copy)]
struct Cost {
    messages: u64,
    bytes: u64,
    time: Duration,
}

struct Group {
    now: Instant,
    replicas: Vec<Replica>,
    messages: Vec<(Id, Id, Message)>,
    applied: u32,
    /// Cost of the leader, then of all followers together.
    costs: [Cost; 2],
}

impl Group {
    fn new(size: u64) -> Result<Self, Box<dyn Error>> {
        let now = Instant::now();
        let mut replicas = Vec::new();
        for id in 1..=size {
            let mut builder = Replica::builder(id, Timing::new(HEARTBEAT, ELECTION));
            if id == 1 {
                builder = builder.restored(Restored::founding(CLUSTER, id, "1"));
            }
            replicas.push(builder.build(now)?);
        }
        let costs = [Cost::default(); 2];
        let mut group = Self {
            now,
            replicas,
            messages: Vec::new(),
            applied: 0,
            costs,
        };
        for _ in 0..40 {
            group.advance(HEARTBEAT);
        }
        for id in 2..=size {
            let address = id.to_string();
            group.change(&Change::Admit { id, address })?;
            group.change(&Change::Promote { id })?;
        }
        group.costs = [Cost::default(); 2];
        Ok(group)
    }

    fn change(&mut self, change: &Change) -> Result<(), Box<dyn Error>> {
        self.replicas[0].propose_voters(change, self.now)?;
        for _ in 0..10 {
            self.advance(HEARTBEAT);
        }
        Ok(())
    }

    /// Advances the clock and delivers messages until none is left.
    fn advance(&mut self, span: Duration) {
        self.now += span;
        let now = self.now;
        for index in 0..self.replicas.len() {
            self.timed(index, |replica| replica.tick(now));
        }
        while !self.messages.is_empty() {
            for (from, to, message) in std::mem::take(&mut self.messages) {
                let Ok(index) = usize::try_from(to - 1) else {
                    continue;
                };
                self.timed(index, |replica| replica.receive(from, message, now));
            }
        }
    }

    /// Calls a replica, drains it and adds up the cost.
    fn timed<T>(&mut self, index: usize, call: impl FnOnce(&mut Replica) -> T) -> T {
        let began = Instant::now();
        let mut sent = Vec::new();
        let replica = &mut self.replicas[index];
        let result = call(replica);
        while let Some(ready) = replica.ready() {
            sent.extend(ready.messages);
            let commands = ready.committed.iter();
            let commands = commands.filter(|entry| matches!(entry.payload, Payload::Command(_)));
            self.applied += if index == 0 {
                u32::try_from(commands.count()).unwrap_or(0)
            } else {
                0
            };
            replica.synced(ready.batch, self.now);
        }
        let cost = &mut self.costs[usize::from(index != 0)];
        cost.time += began.elapsed();
        let from = replica.id();
        for (to, message) in sent {
            let mut bytes = Vec::new();
            if ciborium::into_writer(&message, &mut bytes).is_ok() {
                cost.messages += 1;
                cost.bytes += bytes.len() as u64;
            }
            self.messages.push((from, to, message));
        }
        result
    }

    fn report(&self, what: &str, count: u32) {
        let followers = u32::try_from(self.replicas.len() - 1).unwrap_or(1).max(1);
        let [leader, all] = self.costs;
        let each = |total: u64| total / u64::from(count) / u64::from(followers);
        println!(
            "{what} count={count} followers={followers} to_follower_messages={} \
             to_follower_bytes={} from_follower_messages={} from_follower_bytes={} \
             leader_time={:?} follower_time={:?}",
            each(leader.messages),
            each(leader.bytes),
            each(all.messages),
            each(all.bytes),
            leader.time / count,
            all.time / count / followers,
        );
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let size = std::env::args().nth(1).map_or(Ok(3), |size| size.parse())?;
    let mut group = Group::new(size)?;
    for _ in 0..HEARTBEAT_COUNT {
        group.advance(HEARTBEAT);
    }
    group.report("heartbeat", HEARTBEAT_COUNT);
    group.costs = [Cost::default(); 2];
    let before = group.applied;
    while group.applied - before < CHANGE_COUNT {
        let now = group.now;
        group.timed(0, |replica| replica.propose(vec![7; COMMAND_BYTES], now))?;
        group.advance(Duration::ZERO);
        let replica = &mut group.replicas[0];
        let snapshot = replica.snapshot(Vec::new());
        replica.compacted(snapshot);
    }
    group.report("change", CHANGE_COUNT);
    Ok(())
}
