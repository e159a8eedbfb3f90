//! Selection of targets, and forwarding to other zones and regions.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::{SeedableRng, rngs::StdRng};
use zinniastall_model::place::Place;
use zinniastall_route::{
    choose::{Candidate, Chooser},
    load::{End, Report, Table},
    policy::{Choice, Policy},
    prefix,
    spill::{self, Gate, Local, Remote},
};

use super::SEED;

fn report(sequence: u64, busy: u32, prefixes: Vec<u64>, now: Instant) -> Report {
    Report {
        incarnation: 1,
        sequence,
        slots: 8,
        busy,
        price: 1.0,
        prefixes,
        gap: false,
        received_at: now,
    }
}

fn table(targets: &[&str], now: Instant) -> Table {
    let mut table = Table::default();
    for target in targets {
        table.observe(target, &report(1, 0, vec![], now), now);
    }
    table
}

/// Returns how often each target is selected in 200 selections.
fn counts(
    policy: &Policy,
    table: &Table,
    targets: &[&str],
    prefixes: &[u64],
    now: Instant,
) -> IndexMap<String, u32> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut chooser = Chooser::default();
    let mut counts = IndexMap::new();
    let candidates: Vec<_> = targets
        .iter()
        .map(|target| Candidate {
            target,
            load: table.get(target).unwrap(),
        })
        .collect();
    for _ in 0..200 {
        let chosen = chooser.choose(policy, prefixes, &candidates, now, &mut random);
        *counts.entry(chosen.unwrap()).or_insert(0) += 1;
    }
    counts
}

/// Defines a test per strategy: requests without a prompt are spread over idle targets.
macro_rules! spreads {
    ($($name:ident: $choice:expr;)+) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let targets = ["a", "b", "c"];
            let policy = Policy::default().choice($choice);
            let counts = counts(&policy, &table(&targets, now), &targets, &[], now);
            assert!(counts.len() == 3 && counts.values().all(|count| *count > 30), "{counts:?}");
        }
    )+};
}

spreads! {
    random_spreads: Choice::Random;
    round_robin_spreads: Choice::RoundRobin;
    least_in_flight_spreads: Choice::LeastInFlight;
    cost_spreads: Choice::Cost;
}

#[test]
fn cached_prompts_go_where_they_are_cached() {
    let now = Instant::now();
    let targets = ["a", "b", "c"];
    let mut table = table(&targets, now);
    let chain = prefix::chain(&"style guide ".repeat(200));
    table.observe("b", &report(2, 0, chain.clone(), now), now);
    let counts = counts(&Policy::default(), &table, &targets, &chain, now);
    assert_eq!(counts.get("b"), Some(&200), "{counts:?}");
}

// A prefix that all prompts share is cached on one target. If all requests went there, they would
// wait longer for the cached prefix than a prefill on another target takes.
#[test]
fn overloaded_targets_lose_prefix_affinity() {
    let now = Instant::now();
    let targets = ["a", "b", "c"];
    let mut table = table(&targets, now);
    let chain = prefix::chain(&"style guide ".repeat(200));
    for sequence in 2..20 {
        table.observe("b", &report(sequence, 40, chain.clone(), now), now);
    }
    let counts = counts(&Policy::default(), &table, &targets, &chain, now);
    assert_eq!(counts.get("b"), None, "{counts:?}");
}

// A target that responded slowly once, while it started, would never be selected again if its mean
// service time stayed the same.
#[test]
fn slow_response_does_not_exclude_target_for_ever() {
    let now = Instant::now();
    let targets = ["a", "b"];
    let mut table = table(&targets, now);
    let mut answer = |target: &str, millis| {
        let incarnation = table.start(target, &[], now);
        table.end(
            target,
            incarnation,
            End::Answered(Duration::from_millis(millis)),
            now,
        );
    };
    answer("a", 20);
    answer("b", 20_000);
    (0..800).for_each(|_| answer("a", 20));
    let counts = counts(&Policy::default(), &table, &targets, &[], now);
    assert!(
        counts.get("b").is_some_and(|count| *count > 30),
        "{counts:?}"
    );
}

// Over time, every prompt is sent to every target. If it counted as cached there for ever, all
// caches would look the same, and prompts would go to targets that have evicted them.
#[test]
fn sent_prompts_count_as_cached_for_a_while_only() {
    let now = Instant::now();
    let mut table = table(&["a"], now);
    let chain = prefix::chain(&"style guide ".repeat(200));
    table.start("a", &chain, now);
    let cached = |after| table.get("a").unwrap().cached_blocks(&chain, now + after) > 0.0;
    assert!(cached(Duration::from_secs(1)));
    assert!(!cached(Duration::from_secs(3)));
}

#[test]
fn requests_of_earlier_incarnation_are_not_counted() {
    let now = Instant::now();
    let mut table = table(&["a"], now);
    let incarnation = table.start("a", &[], now);
    let mut next = report(1, 0, vec![], now);
    next.incarnation = 2;
    table.observe("a", &next, now);
    table.start("a", &[], now);
    table.end("a", incarnation, End::Failed, now);
    assert_eq!(table.get("a").unwrap().in_flight(), 1);
    // A late report of the earlier incarnation is ignored.
    table.observe("a", &report(9, 8, vec![], now), now);
    assert_eq!(table.get("a").unwrap().in_flight(), 1);
}

fn remote(place: &str, free_slots: u32, wait: u64) -> Remote {
    let (region, zone) = place.split_once('/').unwrap();
    Remote {
        place: Place::new(region, zone),
        free_slots,
        wait: Duration::from_millis(wait),
        price: 1.0,
    }
}

#[test]
fn nearest_permitted_place_with_free_slots_is_chosen() {
    let here = Place::new("patras", "a");
    let remotes = [
        remote("athens/a", 4, 0),
        remote("patras/b", 0, 0),
        remote("patras/c", 4, 0),
        remote("nantes/a", 4, 0),
    ];
    let cheapest = |regions: &[&str]| {
        let regions: Vec<String> = regions.iter().map(|region| (*region).to_owned()).collect();
        let (service, cold) = (Duration::from_millis(100), Duration::ZERO);
        let policy = Policy::default();
        let found = spill::cheapest(&policy, &here, &remotes, &regions, service, cold);
        found.map(|(remote, _)| remote.place.to_string())
    };
    assert_eq!(cheapest(&["patras", "athens"]).as_deref(), Some("patras/c"));
    assert_eq!(cheapest(&["athens"]).as_deref(), Some("athens/a"));
    assert_eq!(cheapest(&[]), None);
}

// A region recovers from overload. If all traffic returned as soon as its wait is shorter than that
// of the other region, it would find cold caches, the wait would rise, and all traffic would leave
// again.
#[test]
fn spilled_share_changes_step_by_step() {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut gate = Gate::default();
    let away = remote("athens/a", 100, 0);
    let mut now = Instant::now();
    let mut share = |here: f64, now| {
        let gone = (0..400).filter(|_| {
            let local = Local::Cost(here);
            gate.decide(local, Some((&away, 100.0)), now, &mut random)
                .is_some()
        });
        gone.count()
    };
    let mut last = 0;
    for _ in 0..10 {
        let gone = share(200.0, now);
        assert!(gone + 60 > last && gone < last + 100, "{gone} after {last}");
        last = gone;
        now += Duration::from_millis(100);
    }
    assert!(last > 360, "{last}");
    // Slightly cheaper locally: nothing is forwarded, but the share stays until the margin is
    // passed.
    assert_eq!(share(95.0, now), 0);
    now += Duration::from_millis(100);
    assert!(share(101.0, now) > 360);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        share(10.0, now);
    }
    now += Duration::from_millis(100);
    assert!(share(101.0, now) < 100);
}

// A zone's targets were killed and have come back. They are idle, so they look cheaper than any
// other place, but their caches are empty: if all requests returned at once, every prompt would
// need a full prefill.
#[test]
fn traffic_returns_step_by_step_to_recovered_targets() {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut gate = Gate::default();
    let away = remote("athens/a", 100, 0);
    let mut now = Instant::now();
    gate.decide(Local::None, Some((&away, 100.0)), now, &mut random);
    for left in (0..10).rev() {
        now += Duration::from_millis(100);
        let decisions = (0..400).map(|_| {
            let local = Local::Cost(10.0);
            gate.decide(local, Some((&away, 100.0)), now, &mut random)
        });
        let gone = decisions.flatten().count();
        assert!(
            gone.abs_diff(left * 40) < 40,
            "{gone} with {left} steps left"
        );
    }
    // A request that all local targets have failed does not raise the share for others.
    gate.decide(Local::Tried, Some((&away, 100.0)), now, &mut random);
    let next = gate.decide(Local::Cost(10.0), Some((&away, 100.0)), now, &mut random);
    assert_eq!(next, None);
}

// The other region is nearly full, so that its last free slot is often taken. If that reset the
// forwarded share, callers would be refused for lack of time although the other region could have
// served half of the requests.
#[test]
fn briefly_full_place_keeps_the_spilled_share() {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut gate = Gate::default();
    let away = remote("athens/a", 100, 0);
    let mut now = Instant::now();
    let mut gone = |remote: bool, now| {
        let decisions = (0..400).map(|_| {
            let remote = remote.then_some((&away, 100.0));
            gate.decide(Local::Cost(200.0), remote, now, &mut random)
        });
        decisions.flatten().count()
    };
    for _ in 0..10 {
        now += Duration::from_millis(100);
        gone(true, now);
    }
    now += Duration::from_millis(100);
    assert_eq!(gone(false, now), 0);
    now += Duration::from_millis(100);
    let again = gone(true, now);
    assert!(again > 360, "{again} of 400 after a moment");
    // After a long time without any usable place, the share rises again step by step.
    now += Duration::from_secs(2);
    assert_eq!(gone(false, now), 0);
    let anew = gone(true, now);
    assert!(anew < 100, "{anew} of 400 at once");
}

#[test]
fn without_targets_all_requests_spill_at_once() {
    let mut random = StdRng::seed_from_u64(SEED);
    let away = remote("athens/a", 4, 0);
    let mut gate = Gate::default();
    let now = Instant::now();
    let place = gate.decide(Local::None, Some((&away, 1e9)), now, &mut random);
    assert_eq!(place, Some(&away.place));
    assert_eq!(gate.decide(Local::None, None, now, &mut random), None);
}
