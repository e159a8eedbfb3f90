//! A replica with a simulated disk that loses what wasn't synced; its state is the list of all
//! applied entries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use zinniastall_coord::Id;
use zinniastall_coord::election::Timing;
use zinniastall_coord::log::Entry;
use zinniastall_coord::replica::{Limits, Message, Ready, Replica, Restored};

pub(crate) const HEARTBEAT: Duration = Duration::from_millis(50);
pub(crate) const ELECTION: Duration = Duration::from_millis(500);

/// Small limits, so that a few entries already exercise windows, chunks and compaction.
const LIMITS: Limits = Limits {
    message: 300,
    window: 900,
    command: 200,
    uncommitted: 4000,
    retain: 3,
    lag: 8,
};

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) id: Id,
    pub(crate) replica: Option<Replica>,
    pub(crate) disk: Restored,
    pub(crate) applied: Vec<Entry>,
    /// What was known when it started, to check what it learns without a leader.
    pub(crate) start: Start,
    /// Until when the node is down or frozen, in simulated time.
    pub(crate) away_until: Duration,
    /// Rate of its clock relative to simulated time.
    rate: f64,
    epoch: Instant,
    unsynced: VecDeque<(Duration, Ready)>,
}

/// What was known when a replica started.
#[derive(Debug, Default)]
pub(crate) struct Start {
    /// Entries that were committed by then.
    pub(crate) committed: usize,
    /// Last index that the replica itself knew to be committed.
    pub(crate) known: u64,
    /// Whether it has known a leader since.
    pub(crate) led: bool,
}

impl Node {
    pub(crate) fn new(id: Id, rate: f64, disk: Restored) -> Self {
        Self {
            id,
            replica: None,
            disk,
            applied: Vec::new(),
            start: Start::default(),
            away_until: Duration::ZERO,
            rate,
            epoch: Instant::now(),
            unsynced: VecDeque::new(),
        }
    }

    /// Returns the node's clock at a simulated time.
    pub(crate) fn clock(&self, time: Duration) -> Instant {
        self.epoch + time.mul_f64(self.rate)
    }

    /// Changes the rate of the clock from now on, without a jump.
    pub(crate) fn set_rate(&mut self, time: Duration, rate: f64) {
        self.epoch = self
            .clock(time)
            .checked_sub(time.mul_f64(rate))
            .expect("a clock after its start");
        self.rate = rate;
    }

    pub(crate) fn is_up(&self, time: Duration) -> bool {
        self.replica.is_some() && time >= self.away_until
    }

    /// Stops the replica and loses what wasn't synced.
    pub(crate) fn crash(&mut self, until: Duration) {
        self.replica = None;
        self.unsynced.clear();
        self.away_until = until;
    }

    pub(crate) fn start(&mut self, time: Duration, committed: usize) {
        let snapshot = self.disk.snapshot.as_ref();
        self.start = Start {
            committed,
            known: snapshot.map_or(0, |held| held.last.index),
            led: false,
        };
        self.applied = self
            .disk
            .snapshot
            .as_ref()
            .map_or(Vec::new(), |held| parse(&held.data));
        let builder = Replica::builder(self.id, Timing::new(HEARTBEAT, ELECTION));
        let builder = builder.limits(LIMITS).restored(self.disk.clone());
        let seed = self.id ^ u64::try_from(time.as_millis()).unwrap_or(0);
        self.replica = builder.seed(seed).build(self.clock(time)).ok();
    }

    /// Drains the replica; what it stores is synced `delay` later.
    pub(crate) fn drain(&mut self, time: Duration, delay: Duration) -> Vec<(Id, Message)> {
        let mut messages = Vec::new();
        let Some(replica) = &mut self.replica else {
            return messages;
        };
        while let Some(mut ready) = replica.ready() {
            messages.append(&mut ready.messages);
            if let Some(snapshot) = &ready.install {
                self.applied = parse(&snapshot.data);
            }
            self.applied.append(&mut ready.committed);
            let due = self
                .unsynced
                .back()
                .map_or(time, |(due, _)| *due)
                .max(time + delay);
            self.unsynced.push_back((due, ready));
        }
        messages
    }

    /// Syncs the batches that are due.
    pub(crate) fn sync(&mut self, time: Duration) {
        while let Some((_, ready)) = self.unsynced.pop_front_if(|(due, _)| *due <= time) {
            store(&mut self.disk, &ready);
            let now = self.clock(time);
            if let Some(replica) = &mut self.replica {
                replica.synced(ready.batch, now);
            }
        }
    }

    /// Stores a snapshot of the applied entries.
    pub(crate) fn compact(&mut self) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let snapshot = replica.snapshot(format(&self.applied, self.id));
        let newer = self
            .disk
            .snapshot
            .as_ref()
            .is_none_or(|held| held.last.index < snapshot.last.index);
        if newer
            && self
                .disk
                .entries
                .iter()
                .any(|entry| entry.position() == snapshot.last)
        {
            self.disk
                .entries
                .retain(|entry| entry.index > snapshot.last.index);
            self.disk.snapshot = Some(snapshot.clone());
            replica.compacted(snapshot);
        }
    }
}

/// Encodes the same state in different bytes for each replica, as embedders may whose hash order is
/// random.
fn format(applied: &[Entry], id: Id) -> Vec<u8> {
    let mask = id.to_le_bytes()[0];
    let mut data = vec![mask];
    ciborium::into_writer(applied, &mut data).expect("memory can be written");
    data[1..].iter_mut().for_each(|byte| *byte ^= mask);
    data
}

fn parse(data: &[u8]) -> Vec<Entry> {
    let (mask, masked) = data.split_first().expect("a snapshot has a mask");
    let data: Vec<u8> = masked.iter().map(|byte| byte ^ mask).collect();
    ciborium::from_reader(data.as_slice()).expect("a snapshot holds what was put in")
}

fn store(disk: &mut Restored, ready: &Ready) {
    disk.cluster = ready.cluster.or(disk.cluster);
    disk.hard = ready.hard.unwrap_or(disk.hard);
    if let Some(snapshot) = &ready.install {
        disk.snapshot = Some(snapshot.as_ref().clone());
        disk.entries.clear();
    }
    for entry in &ready.append {
        disk.entries.retain(|held| held.index < entry.index);
        disk.entries.push(entry.clone());
    }
}
