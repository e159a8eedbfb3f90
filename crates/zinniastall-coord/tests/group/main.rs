//! Groups of replicas under lost, late, doubled and reordered messages, restarts, partitions and
//! lost disks, with the promises checked after every step.
//!
//! `ZINNIASTALL_RUNS` sets the number of random schedules, `ZINNIASTALL_SEED` their seed.

mod failures;
mod net;
mod node;
mod operators;
mod watch;

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use zinniastall_coord::Replica;

use net::{CALM, Net, Weather};

const RUNS: u32 = 48;
const SEED: u64 = 20_261_202;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Crash(usize, u64),
    Freeze(usize, u64),
    Wipe(usize),
    Cut(usize, usize),
    Isolate(usize),
    Mute(usize),
    SlowLink(usize, usize, u64),
    SlowDisk(usize, u64),
    Blackout(u64),
    Heal,
    Compact(usize),
    Transfer,
}

fn fault() -> impl Strategy<Value = Fault> {
    let place = 0..5_usize;
    prop_oneof![
        (place.clone(), 0..2000_u64).prop_map(|(place, span)| Fault::Crash(place, span)),
        (place.clone(), 0..2000_u64).prop_map(|(place, span)| Fault::Freeze(place, span)),
        place.clone().prop_map(Fault::Wipe),
        (place.clone(), 0..5_usize).prop_map(|(from, to)| Fault::Cut(from, to)),
        place.clone().prop_map(Fault::Isolate),
        place.clone().prop_map(Fault::Mute),
        (place.clone(), 0..5_usize, 0..800_u64)
            .prop_map(|(from, to, span)| Fault::SlowLink(from, to, span)),
        (place.clone(), 0..800_u64).prop_map(|(place, span)| Fault::SlowDisk(place, span)),
        (0..2000_u64).prop_map(Fault::Blackout),
        Just(Fault::Heal),
        Just(Fault::Heal),
        place.prop_map(Fault::Compact),
        Just(Fault::Transfer),
    ]
}

fn weather() -> impl Strategy<Value = Weather> {
    (0.0..0.2, 0.0..0.1, 1..60_u64, 0..30_u64).prop_map(|(loss, doubled, delay, sync)| Weather {
        loss,
        doubled,
        delay,
        sync,
    })
}

fn bring_about(net: &mut Net, fault: Fault) {
    let size = net.nodes.len();
    match fault {
        Fault::Crash(place, away) => net.crash(place % size, Duration::from_millis(away)),
        Fault::Freeze(place, away) => net.freeze(place % size, Duration::from_millis(away)),
        Fault::Wipe(place) => {
            net.wipe(place % size);
        }
        Fault::Cut(from, to) => {
            net.cuts.insert((from % size, to % size));
        }
        Fault::Isolate(place) => net.isolate(place % size),
        Fault::Mute(place) => net
            .cuts
            .extend((0..size).map(|other| (place % size, other))),
        Fault::SlowLink(from, to, span) => {
            let span = Duration::from_millis(span);
            net.slow.insert((from % size, to % size), span);
        }
        Fault::SlowDisk(place, span) => {
            net.slow_disks
                .insert(place % size, Duration::from_millis(span));
        }
        Fault::Blackout(away) => net.blackout(Duration::from_millis(away)),
        Fault::Heal => net.mend(),
        Fault::Compact(place) => net.nodes[place % size].compact(),
        Fault::Transfer => {
            if let Some(place) = net.leader() {
                let _refused = net.call(place, Replica::transfer);
            }
        }
    }
}

fn heal(net: &mut Net) {
    net.mend();
    net.weather = CALM;
    net.until("the group is whole", Net::is_whole);
    let goal = net.committed.len();
    net.until("all have caught up", |net| {
        net.nodes.iter().all(|node| node.applied.len() >= goal)
    });
    net.check_logs();
}

fn from_environment<T: std::str::FromStr>(name: &str, otherwise: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(otherwise)
}

// Any of the faults may come at any moment, together or twice. If one schedule of them could make
// the group lose, replace or reorder a committed entry, elect two leaders, or let two answer at
// once, an operator would see a change that was accepted revert.
#[test]
fn no_schedule_of_faults_breaks_a_promise() {
    let seed = from_environment("ZINNIASTALL_SEED", SEED);
    let cases = from_environment("ZINNIASTALL_RUNS", RUNS);
    println!("ZINNIASTALL_SEED={seed} ZINNIASTALL_RUNS={cases}");
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let schedule = vec((0..600_u64, fault()), 0..30);
    let cases = (
        prop_oneof![Just(3_usize), Just(5)],
        weather(),
        any::<u64>(),
        schedule,
    );
    let run = TestRunner::new(config).run(&cases, |(size, weather, seed, schedule)| {
        let mut net = Net::whole(size, seed);
        net.weather = weather;
        for (gap, fault) in schedule {
            net.run(Duration::from_millis(gap));
            bring_about(&mut net, fault);
        }
        heal(&mut net);
        Ok(())
    });
    if let Err(failure) = run {
        panic!("{failure}");
    }
}
