//! Suspected requests over many instances: how soon all learn of a crash, and what an instance
//! learns that missed it.

#![expect(
    clippy::unwrap_used,
    reason = "a failing helper fails its test, as the test's own lines do"
)]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use zinniastall_coord::quarantine::CRASH_LIMIT;
use zinniastall_gateway::{
    neighbours::{
        Outgoing,
        collector::Roster,
        datagram::Datagram,
        suspicions::{self, Exchange},
    },
    suspects::{Sent, Suspects},
    view::View,
};
use zinniastall_model::{
    fingerprint::{Fingerprint, Subjects},
    place::Place,
    presence::Presence,
};

/// Time between two rounds, and the time for which news is batched.
const ROUND_MS: u64 = 100;
const GATHER_MS: u64 = 10;
/// One-way latencies within a region and between regions.
const LATENCIES_MS: (u64, u64) = (1, 55);
/// Share of the datagrams that is lost.
const LOSS_RATE: f64 = 0.02;
/// Requests that run on a target.
const BATCH: u8 = 64;

struct Node {
    place: Place,
    roster: Roster,
    exchange: Exchange,
    suspects: Suspects,
    phase: u64,
    news_due: Option<u64>,
}

/// Instances that exchange datagrams, with a clock in milliseconds.
struct Simulation {
    nodes: Vec<Node>,
    random: StdRng,
    start: Instant,
    at: u64,
    sent: BTreeMap<(u64, u64), (usize, usize, Datagram)>,
    datagrams: u64,
    bytes: usize,
    /// Region that is partitioned from all others.
    partitioned: Option<String>,
}

fn request(number: u8) -> Fingerprint {
    Fingerprint::from([number; 16])
}

impl Simulation {
    fn new(seed: u64, instances: usize, regions: usize, zones_each: usize) -> Self {
        println!("seed {seed}, {instances} instances");
        let mut random = StdRng::seed_from_u64(seed);
        let place = |at: usize| {
            let region = at % regions;
            let zone = at / regions % zones_each;
            Place::new(format!("r{region}"), format!("r{region}-{zone}"))
        };
        let presence = |at: usize| {
            let presence = Presence {
                instance: format!("edge-{at}"),
                incarnation: 1,
                place: place(at),
                callers: String::new(),
                forward: String::new(),
                ready: true,
                checks_origins: true,
                capacity: 0,
                load: Vec::new(),
            };
            (presence.instance.clone(), presence)
        };
        let all = std::sync::Arc::new((0..instances).map(presence).collect());
        let node = |at: usize| {
            let mut view = View::new(format!("edge-{at}"), place(at));
            view.instances = std::sync::Arc::clone(&all);
            Node {
                place: place(at),
                roster: Roster::new(&view),
                exchange: Exchange::default(),
                suspects: Suspects::default(),
                phase: random.random_range(0..ROUND_MS),
                news_due: None,
            }
        };
        Self {
            nodes: (0..instances).map(node).collect(),
            random,
            start: Instant::now(),
            at: 0,
            sent: BTreeMap::new(),
            datagrams: 0,
            bytes: 0,
            partitioned: None,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.at)
    }

    /// Crashes a target that ran requests of one instance.
    fn crash(&mut self, node: usize, requests: impl Iterator<Item = u8>, run: u64) {
        let sent = self.send_requests(node, requests, run);
        self.lose(sent);
    }

    /// Sends requests from an instance to a run of a target.
    fn send_requests(
        &self,
        node: usize,
        requests: impl Iterator<Item = u8>,
        run: u64,
    ) -> Vec<(usize, u8, Sent)> {
        let suspects = &self.nodes[node].suspects;
        let subjects = |number| Subjects::from(request(number));
        let send = |number| (node, number, suspects.sent(|| subjects(number), run));
        requests.map(send).collect()
    }

    /// Crashes the targets to which requests were sent.
    fn lose(&mut self, requests: Vec<(usize, u8, Sent)>) {
        let now = self.now();
        for (node, number, sent) in requests {
            let suspects = &mut self.nodes[node].suspects;
            suspects.record_crash(&request(number).into(), &sent, now);
        }
    }

    fn step(&mut self) {
        self.at += 1;
        while let Some(entry) = self
            .sent
            .first_entry()
            .filter(|sent| sent.key().0 <= self.at)
        {
            let (from, to, datagram) = entry.remove();
            self.deliver(from, to, datagram);
        }
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            if node.suspects.has_news() && node.news_due.is_none() {
                node.news_due = Some(self.at + GATHER_MS);
            }
            let mut sends = Vec::new();
            let is_round = self.at % ROUND_MS == node.phase;
            if is_round {
                sends.extend(node.exchange.round(&node.roster, &node.suspects));
            }
            if is_round || node.news_due.is_some_and(|due| due <= self.at) {
                sends.extend(suspicions::news(&node.roster, &mut node.suspects));
                node.news_due = None;
            }
            self.send(at, sends);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: Datagram) {
        let now = self.now();
        let node = &mut self.nodes[to];
        match datagram {
            Datagram::Suspects { for_all, part } => {
                suspicions::receive(&node.roster, &mut node.suspects, &part, for_all, now);
            }
            Datagram::SuspectSum {
                digest: sum,
                is_answer,
            } => {
                let answers = suspicions::answers(&node.roster, &node.suspects, sum, is_answer);
                let sends = answers.into_iter().map(|datagram| Outgoing {
                    to: vec![format!("edge-{from}")],
                    datagram,
                });
                self.send(to, sends.collect());
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, sends: Vec<Outgoing>) {
        for sent in sends {
            let length = sent.datagram.encode().unwrap().len();
            for name in &sent.to {
                let to: usize = name["edge-".len()..].parse().unwrap();
                let (near, far) = (&self.nodes[from].place.region, &self.nodes[to].place.region);
                let is_far = near != far;
                let is_partitioned = |region: &String| self.partitioned.as_ref() == Some(region);
                self.datagrams += 1;
                self.bytes += length;
                if is_far && (is_partitioned(near) || is_partitioned(far))
                    || self.random.random_bool(LOSS_RATE)
                {
                    continue;
                }
                let trip = if is_far {
                    LATENCIES_MS.1
                } else {
                    LATENCIES_MS.0
                };
                let key = (self.at + trip, self.datagrams);
                self.sent.insert(key, (from, to, sent.datagram.clone()));
            }
        }
    }

    /// Runs until a condition holds at all instances. Returns the milliseconds that it took.
    fn run_until(&mut self, timeout: u64, condition: impl Fn(&Suspects) -> bool) -> u64 {
        let since = self.at;
        while !self.nodes.iter().all(|node| condition(&node.suspects)) {
            assert!(self.at < since + timeout, "not within {timeout} ms");
            self.step();
        }
        self.at - since
    }

    fn run_for(&mut self, time: u64) {
        let end = self.at + time;
        while self.at < end {
            self.step();
        }
    }
}

fn knows_all(suspects: &Suspects) -> bool {
    (0..BATCH).all(|number| suspects.crashes(request(number)) > 0)
}

/// Crashes a target with a full batch, whose requests came through several instances.
fn check_crash_propagation(instances: usize, regions: usize, zones: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed, instances, regions, zones);
        simulation.run_for(3 * ROUND_MS);
        let (datagrams, bytes) = (simulation.datagrams, simulation.bytes);
        let senders = simulation.nodes.len().min(8);
        let each = BATCH / u8::try_from(senders).unwrap();
        let mut sent = Vec::new();
        for sender in 0..senders {
            // Instances of one region, which is the crashed target's.
            let node = sender * regions % instances;
            let from = each * u8::try_from(sender).unwrap();
            sent.extend(simulation.send_requests(node, from..from + each, 1));
        }
        let rest = each * u8::try_from(senders).unwrap();
        sent.extend(simulation.send_requests(0, rest..BATCH, 1));
        simulation.lose(sent);
        let took = simulation.run_until(1_000, knows_all);
        simulation.run_for(2 * ROUND_MS);
        let each = |sum: u64| sum / u64::try_from(instances).unwrap();
        println!(
            "all instances know after {took} ms; {} datagrams and {} bytes per instance",
            each(simulation.datagrams - datagrams),
            each(u64::try_from(simulation.bytes - bytes).unwrap())
        );
    }
}

macro_rules! sizes {
    ($($name:ident: $instances:expr, $regions:expr, $zones:expr, $seeds:expr;)*) => {
        $(
            /// Guards against a request that crashes targets and is retried where no instance has
            /// heard of it.
            #[test]
            fn $name() {
                check_crash_propagation($instances, $regions, $zones, $seeds);
            }
        )*
    };
}

sizes! {
    nine_instances_hear_of_a_crash_within_a_second: 9, 3, 1, 20;
    instances_of_one_zone_hear_of_a_crash_within_a_second: 12, 1, 1, 20;
    eighty_three_instances_hear_of_a_crash_within_a_second: 83, 3, 2, 5;
    three_hundred_instances_hear_of_a_crash_within_a_second: 300, 3, 2, 2;
    seventeen_hundred_instances_hear_of_a_crash_within_a_second: 1_700, 23, 3, 1;
}

/// Guards against an instance that has just started, or was suspended, and runs what all others
/// have quarantined.
#[test]
fn a_restarted_instance_learns_what_is_quarantined() {
    let mut simulation = Simulation::new(7, 83, 3, 2);
    for run in 0..3 {
        simulation.crash(0, 0..1, run);
    }
    simulation.run_until(1_000, |suspects| {
        suspects.crashes(request(0)) >= CRASH_LIMIT
    });
    simulation.run_for(1_000);
    for node in [40, 41, 42] {
        simulation.nodes[node].suspects = Suspects::default();
        simulation.nodes[node].exchange = Exchange::default();
    }
    // One round, a response, and another one of each in case a datagram is lost.
    simulation.run_until(1_500, |suspects| {
        suspects.crashes(request(0)) >= CRASH_LIMIT
    });
}

/// Each side of a partition learns what the other one has found out meanwhile, and both are counted
/// together.
#[test]
fn regions_that_were_partitioned_add_up_their_crashes() {
    let mut simulation = Simulation::new(8, 83, 3, 2);
    simulation.crash(0, 0..1, 1);
    simulation.run_until(1_000, |suspects| suspects.crashes(request(0)) == 1);
    simulation.partitioned = Some("r0".to_owned());
    simulation.crash(0, 0..1, 2);
    simulation.crash(1, 0..1, 3);
    simulation.run_for(2_000);
    let crashes = simulation
        .nodes
        .iter()
        .map(|node| node.suspects.crashes(request(0)));
    assert!(crashes.into_iter().all(|crashes| crashes == 2));
    simulation.partitioned = None;
    simulation.run_until(5_000, |suspects| {
        suspects.crashes(request(0)) >= CRASH_LIMIT
    });
}

/// Guards against a cleared request that stays suspected where the news was lost.
#[test]
fn a_cleared_request_is_cleared_everywhere() {
    let mut simulation = Simulation::new(9, 83, 3, 2);
    for run in 0..3 {
        simulation.crash(0, 0..1, run);
    }
    simulation.run_until(1_000, |suspects| {
        suspects.crashes(request(0)) >= CRASH_LIMIT
    });
    simulation.partitioned = Some("r2".to_owned());
    let now = simulation.now();
    let cleared = simulation.nodes[0]
        .suspects
        .record_finish(&request(0).into(), now);
    assert_eq!(cleared, [request(0)]);
    simulation.run_for(1_000);
    simulation.partitioned = None;
    simulation.run_until(5_000, |suspects| suspects.crashes(request(0)) == 0);
}

/// Only checksums are exchanged while no target crashes.
#[test]
fn idle_instances_compare_once_a_second() {
    let mut simulation = Simulation::new(10, 83, 3, 2);
    simulation.run_for(10_000);
    assert!(simulation.datagrams <= 83 * 11, "{}", simulation.datagrams);
    assert!(simulation.bytes / 83 <= 10 * 60, "{}", simulation.bytes);
}
