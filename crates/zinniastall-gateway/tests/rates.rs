//! One target's rate over many instances, which exchange lossy and late datagrams: how soon all know
//! of it, how many requests arrive in any span of time, and how much of the rate is used.

#![expect(
    clippy::unwrap_used,
    reason = "a failing helper fails its test, as the test's own lines do"
)]

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use zinniastall_coord::{
    rate::{Demand, Issued, Issuer, Limits, PERMIT_TTL, Permits, Rate, Said, Verdict},
    rendezvous,
};
use zinniastall_gateway::{
    neighbours::{
        Outgoing,
        collector::Roster,
        datagram::Datagram,
        limits::{self, Exchange},
    },
    view::View,
};
use zinniastall_model::{place::Place, presence::Presence};
use zinniastall_wire::rates as wire;

const TARGET: &str = "i-7";
/// Time between two rounds, the time for which news is batched and the timeout of a question.
const ROUND_MS: u64 = 100;
const BATCH_MS: u64 = 10;
const TIMEOUT_MS: u64 = 12;
/// One-way latencies within a region and between regions.
const LATENCIES_MS: (u64, u64) = (1, 55);
/// Share of the datagrams that is lost.
const LOSS_RATE: f64 = 0.02;
/// Length of the spans in which arrivals are counted.
const SPAN_MS: u64 = 4_000;
/// Time after which all instances of the target's region know of its rate.
const KNOWN_MS: u64 = 300;
/// Time after which arrivals count.
const SETTLED_MS: u64 = 500;
/// Questions that are asked for one request.
const MAX_QUESTIONS: u32 = 4;
/// Longest time for which a request waits for a permit.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Time for which a restart, freeze or cut of an instance excuses it.
const EXCUSED_MS: u64 = 8_000;

/// What one instance knows.
#[derive(Default)]
struct Knowledge {
    limits: Limits,
    exchange: Exchange,
    permits: Permits,
    issuer: Issuer,
    issued: Issued<(usize, u32)>,
    news_due: Option<u64>,
}

struct Node {
    place: Place,
    name: String,
    roster: Roster,
    knowledge: Knowledge,
    phase: u64,
    /// Instances of its region that it takes for ready.
    members: BTreeSet<usize>,
    /// Time until which it handles nothing.
    frozen_until: u64,
    drains: bool,
    /// Whether its list of targets holds the target.
    knows_target: bool,
}

enum Event {
    Datagram {
        to: usize,
        from: usize,
        datagram: Datagram,
    },
    Timeout {
        number: u32,
    },
    Send {
        node: usize,
        due: u64,
    },
    Arrival {
        node: usize,
        sent: u64,
    },
    Answer {
        node: usize,
        sent: u64,
    },
    View {
        node: usize,
        member: usize,
        is_ready: bool,
    },
    Thaw {
        node: usize,
    },
}

/// A question that awaits its answer.
struct Question {
    node: usize,
    coordinator: usize,
    datagram: Datagram,
    is_repeated: bool,
    /// Questions that were asked for the request before.
    asked: u32,
}

struct Simulation {
    nodes: Vec<Node>,
    random: StdRng,
    start: Instant,
    at: u64,
    events: BTreeMap<(u64, u64), Event>,
    numbers: u64,
    questions: BTreeMap<u32, Question>,
    rate: f64,
    /// Demand at the target, in requests per second.
    demand: f64,
    /// When requests arrived, and from which instances.
    arrivals: Vec<(u64, usize)>,
    /// Instances with a fault, and the time in which they are excused.
    excused: Vec<(usize, Range<u64>)>,
    datagrams: u64,
    bytes: usize,
}

impl Simulation {
    fn new(seed: u64, instances: usize, regions: usize, zones_each: usize, rate: f64) -> Self {
        println!("seed {seed}, {instances} instances, {rate} a second");
        let mut random = StdRng::seed_from_u64(seed);
        let place = |at: usize| {
            let zone = at / regions % zones_each;
            Place::new(
                format!("r{}", at % regions),
                format!("r{}-{zone}", at % regions),
            )
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
        let all = Arc::new((0..instances).map(presence).collect());
        let node = |at: usize| {
            let mut view = View::new(format!("edge-{at}"), place(at));
            view.instances = Arc::clone(&all);
            Node {
                place: place(at),
                name: format!("edge-{at}"),
                roster: Roster::new(&view),
                knowledge: Knowledge::default(),
                phase: random.random_range(0..ROUND_MS),
                members: (0..instances)
                    .filter(|other| other % regions == at % regions)
                    .collect(),
                frozen_until: 0,
                drains: false,
                knows_target: true,
            }
        };
        Self {
            nodes: (0..instances).map(node).collect(),
            random,
            start: Instant::now(),
            at: 0,
            events: BTreeMap::new(),
            numbers: 0,
            questions: BTreeMap::new(),
            rate,
            demand: 0.0,
            arrivals: Vec::new(),
            excused: Vec::new(),
            datagrams: 0,
            bytes: 0,
        }
    }

    fn time(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at)
    }

    fn now(&self) -> Instant {
        self.time(self.at)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.numbers += 1;
        self.events.insert((at.max(self.at), self.numbers), event);
    }

    /// Returns the instances of the target's region.
    fn region(&self) -> Vec<usize> {
        let region = &self.nodes[0].place.region;
        let near = |at: &usize| self.nodes[*at].place.region == *region;
        (0..self.nodes.len()).filter(near).collect()
    }

    fn coordinator(&self, node: usize) -> Option<usize> {
        let own = &self.nodes[node];
        let members = own
            .members
            .iter()
            .filter(|member| **member != node || !own.drains);
        let names: Vec<&String> = members.map(|member| &self.nodes[*member].name).collect();
        let chosen = rendezvous::choose(TARGET, names.into_iter())?;
        chosen["edge-".len()..].parse().ok()
    }

    fn step(&mut self) {
        self.at += 1;
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= self.at)
        {
            let event = entry.remove();
            self.handle(event);
        }
        for at in 0..self.nodes.len() {
            self.exchange(at);
        }
        let requests = self.demand / 1_000.0;
        if self.random.random_bool(requests.min(1.0)) {
            let region = self.region();
            let node = region[self.random.random_range(0..region.len())];
            self.request(node);
        }
    }

    fn exchange(&mut self, at: usize) {
        let now = self.now();
        let time = self.at;
        let node = &mut self.nodes[at];
        if node.frozen_until > time {
            return;
        }
        let knowledge = &mut node.knowledge;
        if knowledge.limits.has_news() && knowledge.news_due.is_none() {
            knowledge.news_due = Some(time + BATCH_MS);
        }
        let mut sends = Vec::new();
        let is_round = time % ROUND_MS == node.phase;
        if is_round {
            sends.extend(knowledge.exchange.round(&node.roster, &knowledge.limits));
            knowledge.permits.expire(now);
            let knows_target = node.knows_target;
            knowledge.limits.retain(|_| knows_target, now);
        }
        if is_round || knowledge.news_due.is_some_and(|due| due <= time) {
            sends.extend(limits::news(&node.roster, &mut knowledge.limits));
            knowledge.news_due = None;
        }
        if is_round {
            let is_coordinator = self.coordinator(at) == Some(at);
            self.nodes[at]
                .knowledge
                .issuer
                .retain(|_| is_coordinator, now);
        }
        for sent in sends {
            for name in &sent.to {
                let to = name["edge-".len()..].parse().unwrap();
                self.send(at, to, sent.datagram.clone());
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        self.datagrams += 1;
        self.bytes += datagram.encode().unwrap().len();
        if self.random.random_bool(LOSS_RATE) {
            return;
        }
        let is_far = self.nodes[from].place.region != self.nodes[to].place.region;
        let trip = if is_far {
            LATENCIES_MS.1
        } else {
            LATENCIES_MS.0
        };
        let late = if self.random.random_bool(LOSS_RATE) {
            40
        } else {
            0
        };
        self.schedule(
            self.at + trip + late,
            Event::Datagram { to, from, datagram },
        );
    }

    /// Handles a request that this instance would send to the target.
    fn request(&mut self, node: usize) {
        let now = self.now();
        if self.nodes[node].frozen_until > self.at {
            return;
        }
        let knowledge = &self.nodes[node].knowledge;
        if knowledge.limits.rate(TARGET, 1, now).is_none() {
            self.dispatch(node);
        } else {
            self.ask_if_near(node, 0);
        }
    }

    /// Asks for a permit, unless it is expected too late.
    fn ask_if_near(&mut self, node: usize, asked: u32) {
        let permits = &self.nodes[node].knowledge.permits;
        if asked < MAX_QUESTIONS && permits.wait(TARGET, self.now()) <= MAX_WAIT {
            self.ask(node, asked);
        }
    }

    fn demand(&self, node: usize) -> Option<Demand> {
        let (knowledge, now) = (&self.nodes[node].knowledge, self.now());
        let wait = knowledge.permits.wait(TARGET, now);
        Some(Demand {
            rate: knowledge.limits.rate(TARGET, 1, now)?,
            patience: Permits::patience(wait),
        })
    }

    fn ask(&mut self, node: usize, asked: u32) {
        let Some(demand) = self.demand(node) else {
            return;
        };
        let Some(coordinator) = self.coordinator(node) else {
            return;
        };
        let now = self.now();
        if coordinator == node {
            let verdict = self.nodes[node]
                .knowledge
                .issuer
                .acquire(TARGET, demand, now);
            self.decide(node, Some(verdict), asked);
            return;
        }
        self.numbers += 1;
        let number = u32::try_from(self.numbers).unwrap();
        let datagram = Datagram::Demand(wire::Demand::new(number, TARGET, demand));
        self.send(node, coordinator, datagram.clone());
        let question = Question {
            node,
            coordinator,
            datagram,
            is_repeated: false,
            asked,
        };
        self.questions.insert(number, question);
        self.schedule(self.at + TIMEOUT_MS, Event::Timeout { number });
    }

    /// Asks a question again, or gives it up.
    fn time_out(&mut self, number: u32) {
        let Some(question) = self.questions.get_mut(&number) else {
            return;
        };
        if question.is_repeated {
            let (node, asked) = (question.node, question.asked);
            self.questions.remove(&number);
            self.decide(node, None, asked);
            return;
        }
        question.is_repeated = true;
        let (node, coordinator) = (question.node, question.coordinator);
        let datagram = question.datagram.clone();
        self.send(node, coordinator, datagram);
        self.schedule(self.at + TIMEOUT_MS, Event::Timeout { number });
    }

    fn decide(&mut self, node: usize, verdict: Option<Verdict>, asked: u32) {
        let now = self.now();
        self.nodes[node]
            .knowledge
            .permits
            .record(TARGET, verdict, now);
        if let Some(Verdict::Granted { wait, .. }) = verdict {
            let due = self.at + u64::try_from(wait.as_millis()).unwrap();
            self.schedule(due, Event::Send { node, due });
        } else {
            self.ask_if_near(node, asked + 1);
        }
    }

    fn dispatch(&mut self, node: usize) {
        let trip = LATENCIES_MS.0 + self.random.random_range(0..3);
        self.schedule(
            self.at + trip,
            Event::Arrival {
                node,
                sent: self.at,
            },
        );
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Datagram { to, from, datagram } => {
                let frozen_until = self.nodes[to].frozen_until;
                if frozen_until > self.at {
                    self.schedule(frozen_until, Event::Datagram { to, from, datagram });
                } else {
                    self.receive(to, from, datagram);
                }
            }
            Event::Timeout { number } => self.time_out(number),
            Event::Send { node, due } => {
                let is_void = self.time(due) + PERMIT_TTL < now;
                if self.nodes[node].frozen_until > self.at {
                    let thaw = self.nodes[node].frozen_until;
                    self.schedule(thaw, Event::Send { node, due });
                } else if !is_void {
                    self.dispatch(node);
                }
            }
            Event::Arrival { node, sent } => {
                self.arrivals.push((self.at, node));
                let took = 20 + self.random.random_range(0..10);
                self.schedule(self.at + took, Event::Answer { node, sent });
            }
            Event::Answer { node, sent } => {
                let said = Said {
                    incarnation: 1,
                    rate: Some(Rate::per_second(self.rate)),
                    sent_at: Some(self.time(sent)),
                };
                self.nodes[node].knowledge.limits.observe(TARGET, said, now);
            }
            Event::View {
                node,
                member,
                is_ready,
            } => {
                let members = &mut self.nodes[node].members;
                if is_ready {
                    members.insert(member);
                } else {
                    members.remove(&member);
                }
            }
            // A process that was suspended starts anew as a coordinator.
            Event::Thaw { node } => self.nodes[node].knowledge.issuer.clear(),
        }
    }

    fn receive(&mut self, to: usize, from: usize, datagram: Datagram) {
        let now = self.now();
        let is_coordinator = self.coordinator(to) == Some(to);
        let knows_target = self.nodes[to].knows_target;
        let Node {
            roster, knowledge, ..
        } = &mut self.nodes[to];
        match datagram {
            Datagram::Limits { for_all, part } => {
                let news = (&part, for_all);
                limits::receive(roster, &mut knowledge.limits, news, |_| knows_target, now);
            }
            Datagram::LimitSum { digest, is_answer } => {
                for answer in limits::answers(roster, &knowledge.limits, digest, is_answer) {
                    self.send(to, from, answer);
                }
            }
            Datagram::Demand(demand) => {
                let question = (from, demand.number);
                let issued = knowledge.issued.repeat(&question, now);
                let verdict = if let Some(issued) = issued {
                    issued
                } else if is_coordinator {
                    knowledge.issuer.acquire(TARGET, (&demand).into(), now)
                } else {
                    Verdict::NOT_COORDINATOR
                };
                knowledge.issued.record(question, verdict, now);
                let answer = wire::Verdict::new(demand.number, verdict);
                self.send(to, from, Datagram::Verdict(answer));
            }
            Datagram::Verdict(verdict) => {
                if let Some(question) = self.questions.remove(&verdict.number) {
                    self.decide(question.node, Some((&verdict).into()), question.asked);
                }
            }
            _ => {}
        }
    }

    fn run_for(&mut self, time: u64) {
        let end = self.at + time;
        while self.at < end {
            self.step();
        }
    }

    /// Has all others of the region see an instance as ready or not, each after a time of its own.
    fn announce(&mut self, member: usize, is_ready: bool, delay: Range<u64>) {
        for node in self.region() {
            let at = self.at + self.random.random_range(delay.clone());
            if node != member {
                self.schedule(
                    at,
                    Event::View {
                        node,
                        member,
                        is_ready,
                    },
                );
            }
        }
    }

    /// Returns the largest number of arrivals in any span since a time, without those from excused
    /// instances.
    fn most_in_span(&self, since: u64) -> f64 {
        let counts = |(at, node): &&(u64, usize)| {
            let mut excused = self.excused.iter();
            *at >= since && !excused.any(|(other, span)| other == node && span.contains(at))
        };
        let times: Vec<u64> = self
            .arrivals
            .iter()
            .filter(counts)
            .map(|(at, _)| *at)
            .collect();
        let within = |(at, first): (usize, &u64)| {
            let later = times[at..].iter();
            later.take_while(|later| **later < first + SPAN_MS).count()
        };
        let most = times.iter().enumerate().map(within).max().unwrap_or(0);
        f64::from(u32::try_from(most).unwrap())
    }

    /// Runs until the target has named its rate and all instances of the region know; returns when
    /// it named it.
    fn learn(&mut self) -> u64 {
        self.demand = (3.0 * self.rate).max(5.0);
        let region = self.region();
        while self.arrivals.is_empty() {
            self.step();
        }
        let named = self.arrivals[0].0;
        let knows =
            |simulation: &Self, node: &usize| !simulation.nodes[*node].knowledge.limits.is_empty();
        while !region.iter().all(|node| knows(self, node)) {
            self.step();
            assert!(self.at <= named + KNOWN_MS, "not known after {KNOWN_MS} ms");
        }
        println!("known in the region after {} ms", self.at - named);
        named
    }
}

/// Guards one target of a system without faults.
fn check_whole(instances: usize, regions: usize, zones: usize, rate: f64, seconds: u64) {
    let mut simulation = Simulation::new(7, instances, regions, zones, rate);
    simulation.run_for(3 * ROUND_MS);
    let named = simulation.learn();
    simulation.run_for(seconds * 1_000);
    let most = simulation.most_in_span(named + SETTLED_MS);
    let permitted = rate * 4.0 + 2.0;
    assert!(most <= permitted, "{most}, permitted {permitted}");
    // The first permit comes after the time that an issuer waits when it takes over.
    let first = named + 1_000 + 4_000 * u64::from(rate < 1.0);
    let used = simulation
        .arrivals
        .iter()
        .filter(|(at, _)| *at >= first)
        .count();
    let span = f64::from(u32::try_from(simulation.at - first).unwrap()) / 1_000.0;
    let used = f64::from(u32::try_from(used).unwrap());
    assert!(used >= 0.9 * rate * span - 1.0, "{used} in {span} s");
    let each = |sum: u64| sum / u64::try_from(instances).unwrap();
    println!(
        "{used} in {span} s; {most} in 4 s of {permitted}; {} datagrams and {} bytes per instance",
        each(simulation.datagrams),
        each(u64::try_from(simulation.bytes).unwrap())
    );
}

macro_rules! whole {
    ($($name:ident: $instances:expr, $regions:expr, $zones:expr, $rate:expr, $seconds:expr;)*) => {$(
        /// Guards against instances that together exceed a rate, or leave it unused.
        #[test]
        fn $name() {
            check_whole($instances, $regions, $zones, $rate, $seconds);
        }
    )*};
}

whole! {
    nine_instances_keep_to_three_in_ten_seconds: 9, 3, 1, 0.3, 60;
    nine_instances_keep_to_one_a_second: 9, 3, 1, 1.0, 40;
    nine_instances_keep_to_twenty_a_second: 9, 3, 1, 20.0, 20;
    nine_instances_keep_to_three_hundred_a_second: 9, 3, 1, 300.0, 10;
    eighty_three_instances_keep_to_three_in_ten_seconds: 83, 3, 2, 0.3, 60;
    eighty_three_instances_keep_to_twenty_a_second: 83, 3, 2, 20.0, 20;
    three_hundred_instances_keep_to_three_in_ten_seconds: 300, 3, 2, 0.3, 40;
    three_hundred_instances_keep_to_twenty_a_second: 300, 3, 2, 20.0, 10;
    seventeen_hundred_instances_keep_to_one_a_second: 1_700, 23, 3, 1.0, 10;
}

/// Faults of instances of the target's region.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The process ends and starts again; it forgets everything.
    Restart,
    /// The process stops for some seconds.
    Freeze,
    /// The process drains and then ends.
    Drain,
    /// Others see it as gone for some seconds, and it sees itself as ready.
    Cut,
}

impl Simulation {
    /// Brings about a fault at an instance, mostly at the coordinator.
    fn fail(&mut self, fault: Fault) {
        let region = self.region();
        let any = region[self.random.random_range(0..region.len())];
        let is_coordinator = self.random.random_bool(0.7);
        let node = self
            .coordinator(any)
            .filter(|_| is_coordinator)
            .unwrap_or(any);
        if !matches!(fault, Fault::Drain) {
            self.excused.push((node, self.at..self.at + EXCUSED_MS));
        }
        match fault {
            Fault::Restart => {
                self.nodes[node].knowledge = Knowledge::default();
                self.nodes[node].frozen_until = self.at + 300;
                self.announce(node, false, 50..400);
                self.announce(node, true, 800..1_800);
            }
            Fault::Freeze => {
                let length = self.random.random_range(600..3_000);
                self.nodes[node].frozen_until = self.at + length;
                self.schedule(self.at + length, Event::Thaw { node });
            }
            Fault::Drain => {
                self.nodes[node].drains = true;
                self.announce(node, false, 10..600);
            }
            Fault::Cut => {
                self.announce(node, false, 10..600);
                self.announce(node, true, 1_600..2_600);
            }
        }
    }
}

/// Guards against more than one and a half times the rate and five requests in a span while
/// instances come and go, most of them the coordinator.
fn check_faults(fault: Fault) {
    for seed in 0..50 {
        for rate in [0.3, 1.0, 20.0] {
            let mut simulation = Simulation::new(seed, 9, 1, 1, rate);
            simulation.run_for(3 * ROUND_MS);
            let named = simulation.learn();
            simulation.run_for(3_000);
            for _ in 0..3 {
                simulation.fail(fault);
                simulation.run_for(2_000);
            }
            simulation.run_for(6_000);
            let most = simulation.most_in_span(named + SETTLED_MS);
            let permitted = rate * 4.0 * 1.5 + 5.0;
            assert!(
                most <= permitted,
                "{most}, permitted {permitted}, seed {seed}, {fault:?}"
            );
        }
    }
}

macro_rules! faults {
    ($($name:ident: $fault:expr;)*) => {$(
        /// Guards against permits from two coordinators that together exceed the users' bound.
        #[test]
        fn $name() {
            check_faults($fault);
        }
    )*};
}

faults! {
    restarted_instances_stay_under_the_bound: Fault::Restart;
    frozen_instances_stay_under_the_bound: Fault::Freeze;
    draining_instances_stay_under_the_bound: Fault::Drain;
    instances_with_other_views_stay_under_the_bound: Fault::Cut;
}

/// Guards against an instance that starts while a rate is in force and sends before it knows.
#[test]
fn a_new_instance_learns_the_rate_within_a_round() {
    let mut simulation = Simulation::new(3, 9, 3, 1, 1.0);
    simulation.run_for(3 * ROUND_MS);
    simulation.learn();
    simulation.run_for(2_000);
    simulation.nodes[3].knowledge = Knowledge::default();
    simulation.nodes[3].knowledge.limits = Limits::default();
    simulation.demand = 0.0;
    let since = simulation.at;
    while simulation.nodes[3].knowledge.limits.is_empty() {
        simulation.step();
        assert!(
            simulation.at < since + KNOWN_MS,
            "not known after {KNOWN_MS} ms"
        );
    }
}

/// Guards against datagrams without end while no target names a rate.
#[test]
fn nothing_but_digests_is_sent_without_a_rate() {
    let mut simulation = Simulation::new(4, 83, 3, 2, 1.0);
    simulation.demand = 0.0;
    simulation.run_for(10_000);
    assert!(simulation.datagrams <= 83 * 11, "{}", simulation.datagrams);
    assert!(simulation.bytes / 83 <= 10 * 60, "{}", simulation.bytes);
    let unsent = |node: &mut Node| limits::news(&node.roster, &mut node.knowledge.limits);
    let unsent: Vec<Outgoing> = simulation.nodes.iter_mut().flat_map(unsent).collect();
    assert!(unsent.is_empty());
}

/// Guards against instances that forget a target at different times and tell each other of its rate
/// without end.
#[test]
fn the_rate_of_a_target_that_is_gone_is_forgotten() {
    let mut simulation = Simulation::new(5, 9, 3, 1, 1.0);
    simulation.run_for(3 * ROUND_MS);
    simulation.learn();
    simulation.demand = 0.0;
    simulation.run_for(20_000);
    simulation.nodes[3].knowledge = Knowledge::default();
    simulation.run_for(3_000);
    for node in &mut simulation.nodes {
        node.knows_target = false;
    }
    simulation.run_for(120_000);
    let holds = |node: &Node| !node.knowledge.limits.is_empty();
    assert_eq!(
        simulation.nodes.iter().filter(|node| holds(node)).count(),
        0
    );
}
