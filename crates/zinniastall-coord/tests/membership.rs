//! Membership under loss, delay, duplication, reordering, freezes and one-way cuts.

use std::time::{Duration, Instant};

use proptest::{
    prelude::*,
    test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use zinniastall_coord::membership::{Bounds, Config, Heard, Heartbeat, Roster};

const SEED: [u8; 32] = *b"zinniastall membership seed 0001";
const NODES: usize = 4;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Faults of the links; delays in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Conditions {
    loss: f64,
    duplication: f64,
    delay: (u64, u64),
}

const RELIABLE: Conditions = Conditions {
    loss: 0.0,
    duplication: 0.0,
    delay: (0, 5),
};

/// Heartbeat interval in periods, and the bounds that fit it.
#[derive(Debug, Clone, Copy)]
struct Pace {
    periods: u64,
    bounds: Bounds,
}

const SAME_REGION: Pace = Pace {
    periods: 1,
    bounds: Bounds {
        floor: millis(1_500),
        ceiling: millis(6_000),
    },
};

/// Between regions.
const OTHER_REGION: Pace = Pace {
    periods: 3,
    bounds: Bounds {
        floor: millis(4_500),
        ceiling: millis(10_000),
    },
};

/// Rosters and the heartbeats in flight between them.
struct Net {
    random: StdRng,
    start: Instant,
    now: Duration,
    rosters: Vec<Roster<usize>>,
    in_flight: Vec<(Duration, usize, usize, Heartbeat)>,
    conditions: Conditions,
    pace: Pace,
    ticks: [u64; NODES],
    cut: Vec<(usize, usize)>,
    frozen: Vec<usize>,
    changes: u32,
    seen: Vec<Vec<bool>>,
}

impl Net {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let start = Instant::now();
        let roster = |own| Roster::new(own, 1, Config::default(), start);
        Self {
            random: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            rosters: (0..NODES).map(roster).collect(),
            in_flight: Vec::new(),
            conditions,
            pace: SAME_REGION,
            ticks: [0; NODES],
            cut: Vec::new(),
            frozen: Vec::new(),
            changes: 0,
            seen: vec![vec![false; NODES]; NODES],
        }
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += millis(50);
            self.deliver();
            for node in 0..NODES {
                // The nodes' periods have different phases.
                let phase = (self.now.as_millis() + 130 * node as u128) % 500;
                if phase < 50 && !self.frozen.contains(&node) {
                    let now = self.at();
                    self.rosters[node].tick(now);
                    self.ticks[node] += 1;
                    if self.ticks[node].is_multiple_of(self.pace.periods) {
                        self.send(node);
                    }
                }
            }
            self.count_changes();
        }
    }

    fn send(&mut self, from: usize) {
        for to in (0..NODES).filter(|to| *to != from) {
            if self.cut.contains(&(from, to)) || self.random.random_bool(self.conditions.loss) {
                continue;
            }
            let copies = 1 + u32::from(self.random.random_bool(self.conditions.duplication));
            for _ in 0..copies {
                let (low, high) = self.conditions.delay;
                let due = self.now + millis(self.random.random_range(low..=high));
                let beat = self.rosters[from].heartbeat(&to);
                self.in_flight.push((due, from, to, beat));
            }
        }
    }

    /// Delivers what is due; a frozen node's heartbeats wait in its socket.
    fn deliver(&mut self) {
        let now = self.now;
        let frozen = self.frozen.clone();
        let due = |flight: &(Duration, usize, usize, Heartbeat)| {
            flight.0 <= now && !frozen.contains(&flight.2)
        };
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(due);
        self.in_flight = rest;
        let now = self.at();
        for (_, from, to, beat) in due {
            self.rosters[to].hear_within(&from, beat, self.pace.bounds, now);
        }
    }

    fn count_changes(&mut self) {
        for a in 0..NODES {
            for b in 0..NODES {
                let alive = self.alive(a, b);
                if self.seen[a][b] != alive {
                    self.changes += 1;
                    self.seen[a][b] = alive;
                }
            }
        }
    }

    /// Returns whether `a` counts `b` as alive.
    fn alive(&self, a: usize, b: usize) -> bool {
        self.rosters[a].is_alive(&b, self.at())
    }

    /// Cuts both directions between two nodes and returns how long both take to detect it.
    fn time_to_detect_cut(&mut self) -> Duration {
        let cut_at = self.now;
        self.cut.extend([(0, 1), (1, 0)]);
        while self.alive(0, 1) || self.alive(1, 0) {
            self.run(millis(50));
        }
        self.now.saturating_sub(cut_at)
    }

    fn all_alive(&self) -> bool {
        let pairs = (0..NODES).flat_map(|a| (0..NODES).map(move |b| (a, b)));
        pairs.filter(|(a, b)| a != b).all(|(a, b)| self.alive(a, b))
    }
}

macro_rules! steady {
    ($($name:ident: $conditions:expr, $pace:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut net = Net::new($conditions, 11);
            net.pace = $pace;
            net.run(Duration::from_secs(20));
            assert!(net.all_alive());
            net.changes = 0;
            net.run(Duration::from_mins(10));
            let changes = net.changes;
            let found = net.time_to_detect_cut();
            let name = stringify!($name);
            println!("{name}: {changes} changes of 12 pairs in 600 s, cut found in {found:?}");
            assert_eq!(changes, 0);
            assert!(found <= $pace.bounds.ceiling + millis(1_000));
        }
    )*};
}

// A link that is slow, loses or reorders messages isn't a dead peer. If it were taken for one,
// callers would be sent to and fro and every change would be flooded to all instances.
steady! {
    calm_link_does_not_flap: RELIABLE, SAME_REGION;
    slow_link_does_not_flap: Conditions { delay: (300, 700), ..RELIABLE }, SAME_REGION;
    very_slow_link_does_not_flap: Conditions { delay: (600, 1_200), ..RELIABLE }, SAME_REGION;
    lossy_link_does_not_flap: Conditions { loss: 0.1, ..RELIABLE }, SAME_REGION;
    doubling_and_reordering_link_does_not_flap: Conditions { duplication: 0.5, delay: (0, 900), ..RELIABLE }, SAME_REGION;
    calm_link_between_regions_does_not_flap: RELIABLE, OTHER_REGION;
    slow_link_between_regions_does_not_flap: Conditions { delay: (300, 700), ..RELIABLE }, OTHER_REGION;
    very_slow_link_between_regions_does_not_flap: Conditions { delay: (600, 1_200), ..RELIABLE }, OTHER_REGION;
    lossy_link_between_regions_does_not_flap: Conditions { loss: 0.1, ..RELIABLE }, OTHER_REGION;
    doubling_and_reordering_link_between_regions_does_not_flap: Conditions { duplication: 0.5, delay: (0, 900), ..RELIABLE }, OTHER_REGION;
}

// One direction of a link is cut. The instance that still hears its peer would continue to send it
// requests that never arrive; callers would see them time out.
#[test]
fn one_way_cut_is_seen_at_both_ends() {
    let mut net = Net::new(RELIABLE, 1);
    net.run(Duration::from_secs(20));
    net.cut.push((0, 1));
    net.run(Duration::from_secs(4));
    assert!(!net.alive(1, 0), "the deaf end still believes");
    assert!(
        !net.alive(0, 1),
        "the end that hears but isn't heard still believes"
    );
    assert!(net.alive(0, 2) && net.alive(1, 2));
    net.cut.clear();
    net.run(Duration::from_secs(4));
    assert!(net.all_alive());
}

// An instance is frozen for a minute and resumes. All heartbeats of that minute wait in its
// sockets, so every peer looks alive to it, even one that has died meanwhile.
#[test]
fn resumed_instance_discards_old_evidence() {
    let mut net = Net::new(RELIABLE, 2);
    net.run(Duration::from_secs(20));
    net.frozen.push(0);
    net.run(Duration::from_secs(30));
    assert!(!net.alive(1, 0), "a frozen instance counts as alive");
    net.frozen.push(3);
    net.run(Duration::from_secs(30));
    net.frozen.retain(|node| *node == 3);
    let now = net.at();
    assert!(net.rosters[0].tick(now), "the freeze went unnoticed");
    net.deliver();
    assert!(
        (1..NODES).all(|peer| !net.alive(0, peer)),
        "held-back heartbeats were believed"
    );
    net.run(Duration::from_secs(4));
    assert!(net.alive(0, 1) && net.alive(0, 2) && net.alive(1, 0));
    assert!(
        !net.alive(0, 3),
        "a peer that froze meanwhile counts as alive"
    );
}

// An instance restarts with its clock set back, so its incarnation is lower than the one that its
// peers remember. They would drop all its messages, and it would never serve again.
#[test]
fn restarted_instance_with_earlier_clock_comes_back() {
    let start = Instant::now();
    let mut peer = Roster::new("peer", 5, Config::default(), start);
    let mut former = Roster::new("entry", 100, Config::default(), start);
    former.tick(start);
    peer.hear(&"entry", former.heartbeat(&"peer"), start);
    let mut restarted = Roster::new("entry", 40, Config::default(), start);
    restarted.tick(start);
    assert_eq!(
        peer.hear(&"entry", restarted.heartbeat(&"peer"), start),
        Heard::Stale(100)
    );
    restarted.raise_incarnation(100);
    assert_eq!(
        peer.hear(&"entry", restarted.heartbeat(&"peer"), start),
        Heard::NewRun
    );
    assert_eq!(peer.run(&"entry"), Some(101));
}

// A late frame of a former run arrives after the new run was seen, or after the instance was
// forgotten. If it were accepted, a dead process and its address would come back.
#[test]
fn late_frame_of_a_former_run_is_refused() {
    let start = Instant::now();
    let mut roster = Roster::new(0, 1, Config::default(), start);
    let beat = |incarnation, sequence| Heartbeat {
        incarnation,
        sequence,
        echo: None,
    };
    assert_eq!(roster.hear(&1, beat(7, 1), start), Heard::NewRun);
    assert_eq!(roster.hear(&1, beat(8, 1), start), Heard::NewRun);
    assert_eq!(roster.hear(&1, beat(7, 99), start), Heard::Stale(8));
    roster.forget(&1, start);
    assert_eq!(roster.hear(&1, beat(7, 100), start), Heard::Stale(8));
    assert_eq!(roster.hear(&1, beat(8, 2), start), Heard::NewRun);
}

// At the target size 3,700 instances a day are restarted or replaced. If each left state behind,
// every process would grow forever.
#[test]
fn replaced_instances_leave_no_residue() {
    let start = Instant::now();
    let mut roster = Roster::new(0, 1, Config::default(), start);
    for name in 1..=3_700_u64 {
        let now = start + Duration::from_secs(name * 23);
        roster.tick(now);
        let beat = Heartbeat {
            incarnation: name,
            sequence: 1,
            echo: None,
        };
        roster.hear(&usize::try_from(name).unwrap(), beat, now);
        roster.sweep(now);
    }
    let (members, departed) = roster.held();
    println!("after 3700 replacements: {members} members, {departed} departed held");
    assert!(
        members <= 4 && departed <= 4,
        "{members} members, {departed} departed"
    );
}

#[derive(Debug, Clone)]
enum Fault {
    Cut(usize, usize),
    Heal,
    Freeze(usize),
    Thaw,
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..NODES, 0..NODES).prop_map(|(a, b)| Fault::Cut(a, b)),
        Just(Fault::Heal),
        (0..NODES).prop_map(Fault::Freeze),
        Just(Fault::Thaw),
        (1..10_000_u64).prop_map(Fault::Wait),
    ]
}

// Cuts, freezes and bad links occur in any order and overlap. A cut or a freeze that lasts must be
// detected at both ends, and once all is well every node must see every other one again.
#[test]
fn random_faults_are_seen_and_healed() {
    let config = RunnerConfig {
        cases: 40,
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    println!("seed {:?}", std::str::from_utf8(&SEED));
    let mut runner = TestRunner::new_with_rng(config, random);
    let schedule = (
        prop::collection::vec(fault(), 1..20),
        0.0..0.1,
        1..400_u64,
        any::<u64>(),
    );
    let outcome = runner.run(&schedule, |(faults, loss, delay, seed)| {
        let mut net = Net::new(
            Conditions {
                loss,
                duplication: 0.1,
                delay: (0, delay),
            },
            seed,
        );
        net.run(Duration::from_secs(10));
        for fault in faults {
            match fault {
                Fault::Cut(a, b) => net.cut.push((a, b)),
                Fault::Heal => net.cut.clear(),
                Fault::Freeze(node) => net.frozen.push(node),
                Fault::Thaw => net.frozen.clear(),
                Fault::Wait(time) => net.run(millis(time)),
            }
        }
        let bound = Config::default().ceiling + millis(1_000 + delay);
        net.run(bound);
        for (a, b) in net.cut.clone() {
            prop_assert!(a == b || net.frozen.contains(&a) || !net.alive(a, b));
            prop_assert!(a == b || net.frozen.contains(&b) || !net.alive(b, a));
        }
        for node in net.frozen.clone() {
            let running = |peer: &usize| !net.frozen.contains(peer);
            prop_assert!(
                (0..NODES)
                    .filter(running)
                    .all(|peer| !net.alive(peer, node))
            );
        }
        net.cut.clear();
        net.frozen.clear();
        net.run(Duration::from_secs(30));
        prop_assert!(net.all_alive(), "not everybody is seen again");
        Ok(())
    });
    outcome.unwrap();
}
