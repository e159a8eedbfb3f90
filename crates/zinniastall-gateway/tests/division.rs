//! Decisions on the division of engines, as the instances of a region exchange and use them.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "a failing helper fails its test, as the test's own lines do"
)]

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::origin::Requirement;
use zinniastall_gateway::{
    decide::{division::Work, prefill::Rates},
    headers::Names,
    metrics::Metrics,
    neighbours::{
        collector::Roster,
        datagram::{Datagram, MAX_DATAGRAM_BYTES, key},
        division::{Divisions, Inputs, Part, Stated},
    },
    path::{
        Proxy,
        attempt::Place as Destination,
        job::{Match, Trusts},
        placement::{Claimed, Placement, Tried},
    },
    policy::Policy,
    tracker::{Demand, Guard},
    view::{Shared, Target, View},
};
use zinniastall_http::head::{Parse, Request};
use zinniastall_model::{
    id,
    place::Place,
    presence::Presence,
    routing::{Engine, Kind, Route, Service, Share, Table},
    target::{Report, State},
};
use zinniastall_wire::hub::Configuration;

const GAP: Duration = Duration::from_millis(400);
const ROUND: Duration = Duration::from_millis(100);
/// Name of the only service.
const SERVICE: &str = "api";

struct Known;

impl Inputs for Known {
    fn gap(&self, _service: &str) -> Duration {
        GAP
    }

    fn is_limited(&self, _target: &Target) -> bool {
        false
    }

    fn is_slow(&self, _target: &Target) -> bool {
        false
    }
}

fn presence(instance: &str, zone: &str) -> Presence {
    Presence {
        instance: instance.to_owned(),
        incarnation: 1,
        place: Place::new("patras", zone),
        callers: String::new(),
        forward: String::new(),
        ready: true,
        checks_origins: true,
        capacity: 0,
        load: Vec::new(),
    }
}

fn target(name: &str) -> Target {
    Target {
        report: Report {
            target: name.to_owned(),
            incarnation: 1,
            sequence: 1,
            service: SERVICE.to_owned(),
            address: "127.0.0.1:1".to_owned(),
            place: Place::new("patras", "patras-a"),
            version: None,
            slots: 48,
            state: State::Ready,
            cold_ms: 0,
            left_ms: None,
            age_ms: 0,
            run_age_ms: 0,
            sign_off: None,
        },
        heard_at: Instant::now() + Duration::from_mins(10),
        cold_until: None,
        gone_at: None,
    }
}

fn view(instance: &str, zone: &str, targets: usize) -> View {
    let mut service = Service::new(SERVICE);
    service.engine = Some(Engine {
        slots: 48,
        tokens: 300_000,
        stride: 7,
        ..Engine::default()
    });
    let mut route = Route::new("r", "maps.example", "/", Kind::Idempotent).to(Share {
        service: SERVICE.to_owned(),
        weight: 1,
    });
    route.objective_ms = 1_000;
    let mut view = View::new(instance.to_owned(), Place::new("patras", zone));
    view.configuration = Some(Arc::new(Configuration {
        revision: 1,
        table: Some(Table::new(1, vec![route], vec![service])),
        evacuated: Vec::new(),
        versions: None,
    }));
    view.targets = Arc::new(targets_named(targets));
    view.load_control.division = true;
    view
}

fn targets_named<T: FromIterator<(id::Target, Target)>>(targets: usize) -> T {
    let names = (0..targets).map(|at| format!("target-{at}"));
    names.map(|name| (name.clone(), target(&name))).collect()
}

struct Member {
    view: View,
    divisions: Divisions,
    metrics: Metrics,
}

impl Member {
    fn long(&self, now: Instant) -> Option<IndexSet<id::Target>> {
        let sides = self.divisions.sides(SERVICE, now)?;
        Some(sides.long().clone())
    }

    fn counts(&self, event: &str) -> bool {
        let line = format!("division_decisions_total{{event=\"{event}\"}}");
        self.metrics.text().contains(&line)
    }
}

/// Instances of one region in three zones.
struct Region {
    members: IndexMap<id::Instance, Member>,
    now: Instant,
    sent: usize,
    bytes: usize,
}

impl Region {
    fn new(instances: usize) -> Self {
        let zones = ["patras-a", "patras-b", "patras-c"];
        let named = (0..instances).map(|at| (format!("edge-{at}"), zones[at % 3]));
        let named: Vec<(String, &str)> = named.collect();
        let present = named
            .iter()
            .map(|(name, zone)| (name.clone(), presence(name, zone)));
        let present = Arc::new(present.collect());
        let members = named.iter().map(|(name, zone)| {
            let mut view = view(name, zone, 12);
            view.instances = Arc::clone(&present);
            let metrics = Metrics::new();
            let divisions = Divisions::new(Rates::default(), metrics.clone());
            let member = Member {
                view,
                divisions,
                metrics,
            };
            (name.clone(), member)
        });
        Self {
            members: members.collect(),
            now: Instant::now(),
            sent: 0,
            bytes: 0,
        }
    }

    /// Runs rounds in which a datagram from one instance to another passes if `passes` says so.
    fn run(&mut self, time: Duration, passes: impl Fn(&str, &str) -> bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += ROUND;
            let mut all = Vec::new();
            for (name, member) in &mut self.members {
                for millis in [200, 15] {
                    let work = Work::new(Duration::from_millis(millis), 300, 48);
                    member.divisions.record(SERVICE, work, GAP, self.now);
                }
                let roster = Roster::new(&member.view);
                let sent = member
                    .divisions
                    .round(&roster, &member.view, &Known, self.now);
                all.extend(sent.into_iter().map(|sent| (name.clone(), sent)));
            }
            for (from, sent) in all {
                let bytes = sent.datagram.encode().expect("fits into a datagram");
                assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                for to in sent.to.iter().filter(|to| passes(&from, to)) {
                    (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len());
                    let datagram = Datagram::decode(&bytes).expect("is a datagram");
                    let Datagram::Division(part) = datagram else {
                        panic!("another datagram");
                    };
                    self.receive(to, &part);
                }
            }
        }
    }

    fn receive(&mut self, to: &str, part: &Part) {
        let member = &mut self.members[to];
        let roster = Roster::new(&member.view);
        member
            .divisions
            .receive(&roster, &member.view, part, self.now);
    }

    /// Returns the long side if all instances know the same one.
    fn agreed(&self) -> Option<IndexSet<id::Target>> {
        let mut known = self.members.values().map(|member| member.long(self.now));
        let first = known.next()??;
        let is_same = |long: Option<IndexSet<id::Target>>| long.is_some_and(|long| long == first);
        known.all(is_same).then_some(first)
    }

    fn divided(&self) -> usize {
        let members = self.members.values();
        members
            .filter(|member| member.long(self.now).is_some())
            .count()
    }

    fn set_targets(&mut self, targets: usize) {
        let targets = Arc::new(targets_named(targets));
        for member in self.members.values_mut() {
            member.view.targets = Arc::clone(&targets);
        }
    }

    /// Returns the instances that may decide, the first one first.
    fn deciders(&self) -> Vec<id::Instance> {
        let is_decider = |member: &&Member| {
            let roster = Roster::new(&member.view);
            roster.is_collector() && roster.is_in_first_zone()
        };
        let deciders = self.members.values().filter(is_decider);
        let mut deciders: Vec<&Member> = deciders.collect();
        deciders.sort_by_key(|member| !Roster::new(&member.view).is_first_collector());
        deciders
            .iter()
            .map(|member| member.view.instance.clone())
            .collect()
    }
}

const fn all(_from: &str, _to: &str) -> bool {
    true
}

#[test]
fn all_instances_of_a_region_agree() {
    let mut region = Region::new(20);
    region.run(Duration::from_secs(2), all);
    let long = region.agreed().expect("all divide alike");
    assert!((7..=10).contains(&long.len()), "{long:?}");
    (region.sent, region.bytes) = (0, 0);
    region.run(Duration::from_secs(10), all);
    println!(
        "10 s, 20 instances: {} datagrams, {} bytes",
        region.sent, region.bytes
    );
    // One from the decider to each collector and to its zone, two to each other instance.
    assert!(region.sent <= 10 * 2 * 20, "{}", region.sent);
}

/// Guards against engines that stay divided by what nobody decides any more, and against a gap in
/// the division while the second collector takes over.
#[test]
fn the_second_collector_takes_over_from_a_killed_decider() {
    let mut region = Region::new(20);
    region.run(Duration::from_secs(2), all);
    let long = region.agreed().expect("all divide alike");
    let deciders = region.deciders();
    let first = deciders[0].clone();
    let lives = |from: &str, to: &str| from != first && to != first;
    for _ in 0..50 {
        region.run(ROUND, lives);
        assert!(region.divided() >= 19);
    }
    let after = region.members[&deciders[1]].long(region.now).unwrap();
    assert!(after.len().abs_diff(long.len()) <= 1);
    // The first one is back, and goes on where the second one is.
    region.run(Duration::from_secs(3), all);
    assert!(region.agreed().is_some());
    let both = |from: &str, _: &str| !deciders.iter().any(|decider| decider == from);
    region.run(Duration::from_secs(4), both);
    assert_eq!(region.divided(), 2, "only the deciders themselves");
}

/// Guards against instances that disagree for good after a cut between the two deciders.
#[test]
fn of_two_deciders_one_wins() {
    let mut region = Region::new(20);
    let deciders = region.deciders();
    let is_cut = |from: &str, to: &str| {
        let either = |name: &str| deciders.iter().any(|decider| decider == name);
        !(either(from) && either(to))
    };
    region.run(Duration::from_secs(4), is_cut);
    assert_eq!(region.divided(), 20);
    region.run(Duration::from_secs(2), all);
    assert!(region.agreed().is_some());
    let held = &region.members["edge-19"];
    assert!(held.counts("accepted") && held.counts("repeated") && !held.counts("invalid"));
}

/// Guards against a view that misses an engine and moves more than one to the other side.
#[test]
fn views_that_differ_differ_in_one_engine() {
    let mut region = Region::new(20);
    region.run(Duration::from_secs(2), all);
    let long = region.agreed().expect("all divide alike");
    region.members["edge-19"].view.targets = Arc::new(targets_named(11));
    region.run(ROUND, all);
    let other = region.members["edge-19"].long(region.now).unwrap();
    assert_eq!(other.len(), long.len());
    assert!(other.difference(&long).count() <= 1);
}

/// Guards against a division that ends with single lost datagrams.
#[test]
fn one_datagram_of_three_is_enough() {
    let mut region = Region::new(20);
    region.run(Duration::from_secs(2), all);
    for second in 0..9 {
        let passes = |_: &str, _: &str| second % 3 == 2;
        region.run(Duration::from_secs(1), passes);
        assert_eq!(region.divided(), 20, "second {second}");
    }
}

/// Guards against requests of one kind that find no engine after most of their side was lost.
#[test]
fn engines_that_are_lost_end_the_division_until_the_next_round() {
    let mut region = Region::new(20);
    region.run(Duration::from_millis(2_100), all);
    region.agreed().expect("all divide alike");
    region.set_targets(7);
    region.run(ROUND, |_, _| false);
    assert!(
        region.divided() <= 1,
        "only the decider may have decided anew"
    );
    region.run(Duration::from_millis(1_500), all);
    let long = region.agreed().expect("the rest is divided");
    assert!((1..7).contains(&long.len()));
    region.set_targets(3);
    region.run(ROUND, all);
    assert_eq!(region.divided(), 0, "too few to be divided");
}

/// Guards against a faulty instance that divides the engines of all others.
#[test]
fn invalid_and_superseded_decisions_are_dropped_and_counted() {
    let mut region = Region::new(20);
    region.run(Duration::from_secs(2), all);
    let long = region.agreed().unwrap();
    let valid = Stated(key(SERVICE), 2, 12, 400);
    let part = |decider: &str, round, stated| Part {
        decider: decider.to_owned(),
        round,
        plans: vec![stated],
    };
    let invalid = [
        part("edge-99", 1_000, valid),
        part("edge-1", u32::MAX, valid),
        part("edge-1", 1_000, Stated(key("other"), 2, 12, 400)),
        part("edge-1", 1_000, Stated(key(SERVICE), 0, 12, 400)),
        part("edge-1", 1_000, Stated(key(SERVICE), 12, 12, 400)),
        part("edge-1", 1_000, Stated(key(SERVICE), 13, 12, 400)),
        part("edge-1", 1_000, Stated(key(SERVICE), 1, 3, 400)),
        part("edge-1", 1_000, Stated(key(SERVICE), 2, 1_000_000, 400)),
        part("edge-1", 1_000, Stated(key(SERVICE), 2, 12, 0)),
        part("edge-1", 1_000, Stated(key(SERVICE), 2, 12, 90_000)),
    ];
    for part in &invalid {
        region.receive("edge-19", part);
    }
    let stale = part("edge-1", 0, valid);
    region.receive("edge-19", &stale);
    region.run(ROUND, |_, _| false);
    let member = &region.members["edge-19"];
    assert_eq!(member.long(region.now), Some(long));
    let text = member.metrics.text();
    let line =
        |event, count: usize| format!("division_decisions_total{{event=\"{event}\"}} {count}\n");
    assert!(text.contains(&line("invalid", invalid.len())), "{text}");
    assert!(text.contains(&line("stale", 1)), "{text}");
}

/// Guards against a part of load control that acts while it is off.
#[test]
fn nothing_is_sent_or_divided_while_it_is_off() {
    let mut region = Region::new(20);
    region.run(Duration::from_secs(2), all);
    for member in region.members.values_mut() {
        member.view.load_control.division = false;
    }
    region.sent = 0;
    region.run(Duration::from_secs(2), all);
    assert_eq!((region.sent, region.divided()), (0, 0));
}

/// Guards against datagrams that are not sent since they are too long.
#[test]
fn many_services_fit_into_one_datagram() {
    for services in [1, 4, 28, 40] {
        let stated = |at| Stated(key(&format!("service-{at}")), 100, 300, 400);
        let part = Part {
            decider: "edge-marseille-salle-a-12".to_owned(),
            round: 1_000_000,
            plans: (0..services).map(stated).collect(),
        };
        let bytes = Datagram::Division(part).encode().unwrap();
        println!("{services} services: {} bytes", bytes.len());
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    }
}

/// A request path that knows five engines; the long prompt's side is the busiest one.
struct Path {
    proxy: Proxy,
    shared: Shared,
    _busy: Vec<Guard>,
}

impl Path {
    fn new() -> Self {
        let mut view = view("edge-0", "patras-a", 5);
        view.instances = Arc::new(
            [("edge-0".to_owned(), presence("edge-0", "patras-a"))]
                .into_iter()
                .collect(),
        );
        let shared = Shared::new(view);
        let proxy = Proxy::new(
            shared.clone(),
            Names::default(),
            Policy::default(),
            Metrics::new(),
        );
        let now = Instant::now();
        let long = Self::divide(&proxy, &shared.view(), now);
        let busy = long.iter().flat_map(|target| [target; 4]);
        let busy = busy.map(|target| Guard::start(&proxy.tracker, target, SERVICE, 0, now));
        Self {
            _busy: busy.collect(),
            proxy,
            shared,
        }
    }

    /// Decides on a division by a demand of equal parts; returns its long side.
    fn divide(proxy: &Proxy, view: &View, now: Instant) -> IndexSet<id::Target> {
        let mut divisions = proxy.divisions.borrow_mut();
        let since = now.checked_sub(Duration::from_secs(2)).unwrap();
        for millis in [200, 15] {
            let work = Work::new(Duration::from_millis(millis), 300, 48);
            divisions.record(SERVICE, work, GAP, since);
        }
        divisions.round(&Roster::new(view), view, &Known, now);
        divisions.sides(SERVICE, now).unwrap().long().clone()
    }

    fn set_on(&self, is_on: bool) {
        let mut view = View::clone(&self.shared.view());
        view.load_control.division = is_on;
        self.shared.publish(view);
    }

    /// Returns the target of a request with a prompt of some tokens, and the side in its log line.
    fn place(&self, tokens: u64) -> (id::Target, Option<&'static str>) {
        let head = format!(
            "POST / HTTP/1.1\r\nhost: maps.example\r\nrequest-id: r1\r\n\
             prompt-parts: own:{tokens}\r\n\r\n"
        );
        let mut input = BytesMut::from(head.as_str());
        let head = Request::parse(&mut input, 4_096).unwrap().unwrap();
        let matched = Match::of_caller(&self.shared.view(), Trusts::FRESH, &head).unwrap();
        let job = matched.job(&Names::default(), head, Bytes::new(), Instant::now());
        let job = job.unwrap();
        let demand = Demand {
            objective_ms: 800,
            priority: 0,
            route_priority: 0,
            gap_ms: 400,
        };
        let mut tracker = self.proxy.tracker.borrow_mut();
        tracker.record_demand(SERVICE, demand, job.arrived);
        drop(tracker);
        let (tried, any) = (Tried::default(), Requirement::Any);
        let placed = self.proxy.choose(&job, &tried, &any, &Claimed::new());
        let Placement::Send(Destination::Target { target, .. }, _, basis, _) = placed else {
            panic!("{placed:?}");
        };
        (target, basis.side)
    }
}

/// Guards against a flag that changes choices while it is off, and against a side that is ignored.
#[test]
fn choices_differ_only_while_it_is_on() {
    let path = Path::new();
    let long = path.proxy.divisions.borrow();
    let long = long.sides(SERVICE, Instant::now()).unwrap().long().clone();
    for _ in 0..20 {
        path.set_on(true);
        let (target, side) = path.place(9_200);
        assert!(long.contains(&target), "the busier engines are of its side");
        assert_eq!(side, Some("long"));
        let (target, side) = path.place(800);
        assert!(!long.contains(&target));
        assert_eq!(side, Some("short"));
        path.set_on(false);
        for tokens in [9_200, 800] {
            let (target, side) = path.place(tokens);
            assert!(!long.contains(&target), "the least busy engine");
            assert_eq!(side, None);
        }
    }
}

/// Guards against a request that is refused by its own side while engines of the other are idle.
#[test]
fn a_request_falls_back_to_idle_engines_of_the_other_side() {
    let path = Path::new();
    let now = Instant::now();
    let long = path.proxy.divisions.borrow();
    let long = long.sides(SERVICE, now).unwrap().long().clone();
    let read = Duration::from_secs(2).as_micros().try_into().unwrap();
    let fill = |target: &String| Guard::start(&path.proxy.tracker, target, SERVICE, read, now);
    let _reading: Vec<Guard> = long.iter().map(fill).collect();
    let (target, side) = path.place(9_200);
    assert!(!long.contains(&target));
    assert_eq!(side, Some("other"));
}
