//! Load reports that the instances of a region exchange, in small regions and in large ones.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_gateway::{
    neighbours::{
        Load, Loads, Neighbours, Outgoing, REPORT_INTERVAL,
        collector::Roster,
        datagram::{Datagram, MAX_DATAGRAM_BYTES, Part, key, parts},
    },
    view::View,
};
use zinniastall_model::{id, place::Place, presence::Presence};

fn loads(loads: &[(&str, u32)]) -> Loads {
    let loads = loads.iter().map(|(target, flights)| {
        let load = Load {
            in_flight: *flights,
            reading_us: 100_000,
        };
        (key(target), load)
    });
    loads.collect()
}

fn part(round: u32, held: &[(&str, u32)]) -> Part {
    parts(round, &loads(held)).remove(0)
}

fn report(instance: &str, round: u32, held: &[(&str, u32)]) -> Datagram {
    Datagram::Report {
        instance: instance.to_owned(),
        part: part(round, held),
    }
}

fn presence(instance: &str, zone: &str, ready: bool) -> Presence {
    Presence {
        instance: instance.to_owned(),
        incarnation: 1,
        place: Place::new("patras", zone),
        callers: String::new(),
        forward: String::new(),
        ready,
        checks_origins: true,
        capacity: 0,
        load: Vec::new(),
    }
}

/// Instances of one region in two zones, which exchange datagrams round by round.
struct Region {
    members: IndexMap<id::Instance, (View, Neighbours)>,
    now: Instant,
    sent: usize,
    cross_zone: usize,
}

impl Region {
    fn new(instances: usize) -> Self {
        let zones = ["patras-a", "patras-b"];
        let names = (0..instances).map(|number| (format!("edge-{number}"), zones[number % 2]));
        let present = names.map(|(name, zone)| (name.clone(), presence(&name, zone, true)));
        let present: Vec<(id::Instance, Presence)> = present.collect();
        let mut region = Self {
            members: IndexMap::new(),
            now: Instant::now(),
            sent: 0,
            cross_zone: 0,
        };
        for (name, held) in &present {
            let view = View::new(name.clone(), held.place.clone());
            region
                .members
                .insert(name.clone(), (view, Neighbours::default()));
        }
        region.set_present(&present);
        region
    }

    fn set_present(&mut self, present: &[(id::Instance, Presence)]) {
        let instances = Arc::new(present.iter().cloned().collect());
        for (view, _) in self.members.values_mut() {
            view.instances = Arc::clone(&instances);
        }
    }

    /// Runs one round in which each instance has `flights` requests in flight at target "t".
    /// Instances that `is_dead` neither send nor receive.
    fn round(&mut self, flights: u32, is_dead: impl Fn(&str) -> bool) {
        self.now += REPORT_INTERVAL;
        let mut all: Vec<(String, Outgoing)> = Vec::new();
        for (name, (view, neighbours)) in &mut self.members {
            if is_dead(name) {
                continue;
            }
            let held: &[(&str, u32)] = if flights > 0 { &[("t", flights)] } else { &[] };
            let sends = neighbours.round(&Roster::new(view), loads(held), self.now);
            all.extend(sends.into_iter().map(|send| (name.clone(), send)));
        }
        for (from, send) in all {
            let bytes = send.datagram.encode().expect("fits into a datagram");
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            for to in send.to {
                self.sent += 1;
                let zone = |name: &str| self.members[name].0.place.zone.clone();
                if zone(&from) != zone(&to) {
                    self.cross_zone += 1;
                }
                if !is_dead(&to) {
                    let datagram = Datagram::decode(&bytes).expect("is a datagram");
                    self.members[&to].1.receive(datagram, self.now);
                }
            }
        }
    }

    fn known(&self, name: &str) -> u32 {
        self.members[name].1.load_at("t", self.now).in_flight
    }

    fn first_collector(&self) -> String {
        let is_first = |(view, _): &&(View, Neighbours)| Roster::new(view).is_first_collector();
        let first = self.members.values().find(is_first).expect("a collector");
        first.0.instance.clone()
    }
}

/// An instance dies with requests in flight. Its last report must not weigh on its targets for
/// long.
#[test]
fn the_last_report_of_a_neighbour_expires() {
    let now = Instant::now();
    let mut neighbours = Neighbours::default();
    neighbours.receive(report("a", 1, &[("t", 3)]), now);
    neighbours.receive(report("b", 1, &[("t", 4)]), now);
    assert_eq!(neighbours.load_at("t", now).in_flight, 7);
    neighbours.receive(
        report("b", 2, &[("t", 1)]),
        now + Duration::from_millis(500),
    );
    assert_eq!(
        neighbours
            .load_at("t", now + Duration::from_millis(700))
            .in_flight,
        1
    );
    assert_eq!(
        neighbours.load_at("t", now + Duration::from_secs(2)),
        Load::default()
    );
    assert_eq!(neighbours.load_at("other", now), Load::default());
}

/// A region has more targets than one datagram holds. The parts of a report add up, and the next
/// report replaces all of them: a target that it doesn't name has no requests in flight any more.
#[test]
fn parts_of_a_report_add_up() {
    let now = Instant::now();
    let mut neighbours = Neighbours::default();
    neighbours.receive(report("a", 7, &[("t1", 3)]), now);
    neighbours.receive(report("a", 7, &[("t2", 4)]), now);
    let at = |neighbours: &Neighbours, target| neighbours.load_at(target, now).in_flight;
    assert_eq!((at(&neighbours, "t1"), at(&neighbours, "t2")), (3, 4));
    neighbours.receive(report("a", 8, &[("t2", 5)]), now);
    assert_eq!((at(&neighbours, "t1"), at(&neighbours, "t2")), (0, 5));
}

/// Four hundred targets are the size of region that the datagrams are designed for.
#[test]
fn loads_at_four_hundred_targets_fit_into_datagrams() {
    let names: Vec<String> = (0..400).map(|number| format!("target-{number}")).collect();
    let held: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 60_000)).collect();
    let mut neighbours = Neighbours::default();
    let now = Instant::now();
    for part in parts(9, &loads(&held)) {
        let datagram = Datagram::Region { included: 0, part };
        let bytes = datagram.encode().expect("fits into a datagram");
        neighbours.receive(Datagram::decode(&bytes).expect("is a datagram"), now);
    }
    let known = names
        .iter()
        .map(|name| neighbours.load_at(name, now).in_flight);
    assert!(known.min() == Some(60_000));
}

macro_rules! known_within {
    ($($name:ident: $instances:expr, $rounds:expr;)*) => {$(
        /// Every instance of a region has a request at the same target. Each learns of all others'
        /// within a few rounds; until then it takes the target for idle and sends more.
        #[test]
        fn $name() {
            let mut region = Region::new($instances);
            for _ in 0..$rounds {
                region.round(1, |_| false);
            }
            let others = u32::try_from($instances - 1).expect("fits into u32");
            for name in region.members.keys() {
                assert_eq!(region.known(name), others, "{name}");
            }
            region.round(0, |_| false);
            region.round(0, |_| false);
            region.round(0, |_| false);
            for name in region.members.keys() {
                assert_eq!(region.known(name), 0, "{name}");
            }
        }
    )*};
}

known_within! {
    nine_instances_know_of_each_other_within_a_round: 9, 1;
    thirty_instances_know_of_each_other_within_three_rounds: 30, 3;
    a_hundred_instances_know_of_each_other_within_three_rounds: 100, 3;
}

/// Ten times the instances send ten times the datagrams, not a hundred times. Hardly any of them
/// cross zones, where traffic is expensive.
#[test]
fn datagrams_grow_no_faster_than_the_region() {
    let simulate = |instances: usize| {
        let mut region = Region::new(instances);
        for _ in 0..10 {
            region.round(1, |_| false);
        }
        (region.sent, region.cross_zone)
    };
    let (small, large) = (simulate(20), simulate(200));
    assert!(large.0 <= small.0 * 11, "{small:?} {large:?}");
    assert_eq!(small.1, large.1);
    assert!(large.0 <= 10 * 200 * 4, "{large:?}");
}

/// The collector of a zone crashes. Until all membership lists say so, its zone would route by
/// outdated loads; the second collector takes over after a few rounds.
#[test]
fn the_second_collector_takes_over() {
    let mut region = Region::new(40);
    for _ in 0..5 {
        region.round(1, |_| false);
    }
    let dead = region.first_collector();
    for _ in 0..8 {
        region.round(3, |name| name == dead);
    }
    for name in region.members.keys().filter(|name| **name != dead) {
        let known = region.known(name);
        assert!(
            (3 * 38..=3 * 38 + 1).contains(&known),
            "{name} knows of {known}"
        );
    }
}

/// Membership lists differ for a moment: some don't contain the first collector yet. Two instances
/// collect, and the sum of each is right.
#[test]
fn two_collectors_count_nothing_twice() {
    let mut region = Region::new(40);
    let first = region.first_collector();
    let without = region.members.iter().filter(|(name, _)| **name != first);
    let without: Vec<(id::Instance, Presence)> = without
        .map(|(name, (view, _))| (name.clone(), presence(name, &view.place.zone, true)))
        .collect();
    let instances = Arc::new(without.into_iter().collect());
    for (number, (view, _)) in region.members.values_mut().enumerate() {
        if number % 3 == 0 && view.instance != first {
            view.instances = Arc::clone(&instances);
        }
    }
    for _ in 0..6 {
        region.round(1, |_| false);
    }
    for name in region.members.keys() {
        assert!(
            region.known(name) <= 39,
            "{name} knows of {}",
            region.known(name)
        );
    }
}
