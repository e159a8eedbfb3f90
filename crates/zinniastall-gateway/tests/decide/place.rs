//! Which target or region requests are sent to, under simulated loads.

use std::{collections::VecDeque, time::Duration};

use zinniastall_gateway::decide::{
    fetch::{Holder, Link, source},
    place::{Candidate, Choice, Constraints, Region, choose},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn candidate(wait: u64, read: u64) -> Candidate {
    Candidate {
        wait: ms(wait),
        permit_wait: Duration::ZERO,
        prefill_ahead: ms(wait),
        occupancy: 0.0,
        prefill: ms(read),
        is_ejected: false,
        tie_breaker: 0,
    }
}

const CONSTRAINTS: Constraints = Constraints {
    left: ms(10_000),
    objective: ms(1_000),
    rank: 0,
    route_rank: 0,
    gap: Duration::ZERO,
    opens_soon: false,
    urgent_objective: None,
};

/// A target that holds a prompt's prefix is worth a queue of up to twice the time that the prefill
/// takes elsewhere, and not a longer one.
#[test]
fn a_held_prompt_is_worth_a_short_queue() {
    let held = |wait| [candidate(wait, 30), candidate(0, 200)];
    assert_eq!(choose(&held(330), &[], CONSTRAINTS), Choice::Local(0));
    assert_eq!(choose(&held(350), &[], CONSTRAINTS), Choice::Local(1));
}

/// At its peak, a region exceeds its own capacity while another one is idle.
#[test]
fn a_queue_longer_than_the_trip_spills_to_another_region() {
    let far = [Region {
        wait: ms(10),
        round_trip: ms(120),
    }];
    assert_eq!(
        choose(&[candidate(100, 0)], &far, CONSTRAINTS),
        Choice::Local(0)
    );
    assert_eq!(
        choose(&[candidate(400, 0)], &far, CONSTRAINTS),
        Choice::Remote(0)
    );
}

#[test]
fn a_failing_target_is_the_last_resort() {
    let mut failing = candidate(0, 0);
    failing.is_ejected = true;
    assert_eq!(
        choose(&[failing, candidate(500, 0)], &[], CONSTRAINTS),
        Choice::Local(1)
    );
    assert_eq!(choose(&[failing], &[], CONSTRAINTS), Choice::Local(0));
    let far = [Region {
        wait: ms(0),
        round_trip: ms(120),
    }];
    assert_eq!(choose(&[failing], &far, CONSTRAINTS), Choice::Remote(0));
}

/// Most of many targets fail their requests, and two are healthy. Only a few candidates are
/// compared, and the healthy ones must be among them: otherwise most requests would go to targets
/// that are known to fail.
#[test]
fn failing_targets_of_many_are_the_last_resort() {
    let mut many = [candidate(0, 100); 20];
    for (at, one) in many.iter_mut().enumerate() {
        one.is_ejected = at != 7 && at != 12;
        one.tie_breaker = u64::try_from(at).unwrap() * 7 % 20;
    }
    many[12].wait = ms(50);
    assert_eq!(choose(&many, &[], CONSTRAINTS), Choice::Local(7));
    many[7].is_ejected = true;
    assert_eq!(choose(&many, &[], CONSTRAINTS), Choice::Local(12));
    many[12].is_ejected = true;
    assert!(matches!(choose(&many, &[], CONSTRAINTS), Choice::Local(_)));
}

/// No target takes a request now, and one is about to: the request is held for part of its
/// objective and refused with a retry delay after that. If no target is about to, it is refused at
/// once.
#[test]
fn a_request_waits_only_if_a_target_opens_soon() {
    let soon = Constraints {
        opens_soon: true,
        ..CONSTRAINTS
    };
    assert!(matches!(choose(&[], &[], soon), Choice::Wait(_)));
    let late = Constraints {
        objective: ms(10),
        ..soon
    };
    assert!(matches!(choose(&[], &[], late), Choice::Refuse(_)));
    assert!(matches!(choose(&[], &[], CONSTRAINTS), Choice::Refuse(_)));
}

/// A refusal carries a retry delay that grows with the queue, up to two seconds.
#[test]
fn a_refusal_carries_a_retry_delay() {
    let after = |wait| match choose(&[candidate(wait, 0)], &[], CONSTRAINTS) {
        Choice::Refuse(after) => after,
        other => panic!("{other:?}"),
    };
    assert!(after(1_500) < after(2_200));
    assert!(after(60_000) <= ms(2_000));
}

/// The queue of a target that takes `service_ms` for each request.
struct Queue {
    finish_times: VecDeque<u64>,
    service_ms: u64,
}

impl Queue {
    fn wait(&mut self, now: u64) -> u64 {
        while self.finish_times.front().is_some_and(|end| *end <= now) {
            self.finish_times.pop_front();
        }
        self.finish_times
            .back()
            .map_or(0, |end| end.saturating_sub(now))
    }

    /// Adds a request and returns its latency.
    fn add(&mut self, now: u64) -> u64 {
        let took = self.wait(now) + self.service_ms;
        self.finish_times.push_back(now + took);
        took
    }
}

/// Simulates ten seconds of arrivals at four targets that finish 25 requests a second each. Returns
/// how many were answered within the objective, and how many late. Refused requests are retried
/// once.
fn simulate(per_second: u64, decide: impl Fn(&[Candidate]) -> Choice) -> (u32, u32) {
    let mut queues: Vec<Queue> = (0..4)
        .map(|_| Queue {
            finish_times: VecDeque::new(),
            service_ms: 40,
        })
        .collect();
    let gap = 1_000_000 / per_second;
    let mut arrivals: VecDeque<(u64, u64)> = (0..per_second * 10)
        .map(|at| (at * gap / 1_000, 0))
        .collect();
    let (mut in_time, mut late) = (0, 0);
    while let Some((now, before)) = arrivals.pop_front() {
        let candidates: Vec<Candidate> = queues
            .iter_mut()
            .map(|queue| candidate(queue.wait(now), 0))
            .collect();
        match decide(&candidates) {
            Choice::Local(at) if queues[at].add(now) + before <= 1_000 => in_time += 1,
            Choice::Local(_) => late += 1,
            Choice::Refuse(after) if before == 0 => {
                let after = u64::try_from(after.as_millis()).unwrap();
                let at = arrivals.partition_point(|(other, _)| *other <= now + after);
                arrivals.insert(at, (now + after, after));
            }
            _ => {}
        }
    }
    (in_time, late)
}

/// Requests arrive at twice the targets' capacity. Without a bound on the queue, nearly all
/// responses are late; with it, as many are in time as the capacity allows.
#[test]
fn overload_is_refused_so_that_the_rest_is_in_time() {
    let least = |candidates: &[Candidate]| {
        let places = candidates.iter().enumerate();
        let best = places.min_by_key(|(_, candidate)| candidate.wait);
        Choice::Local(best.map_or(0, |(at, _)| at))
    };
    let (before, _) = simulate(200, least);
    let (after, late) = simulate(200, |candidates| choose(candidates, &[], CONSTRAINTS));
    println!("in time of 2,000, capacity 1,000: {before} unbounded, {after} bounded, {late} late");
    assert!(before < 250, "{before}");
    assert!(after > 850, "{after}");
    assert!(late < 100, "{late}");
}

/// Below capacity nothing is refused.
#[test]
fn nothing_is_refused_below_capacity() {
    let (in_time, late) = simulate(95, |candidates| choose(candidates, &[], CONSTRAINTS));
    assert_eq!((in_time, late), (950, 0));
}

/// An engine and the prompt prefixes that it holds.
#[derive(Debug, Default)]
struct Engine {
    free_at: u64,
    held: VecDeque<u64>,
}

/// Prefill times of a prefix that many prompts share, and of a prompt's own suffix.
const PREFIX_MS: u64 = 170;
const SUFFIX_MS: u64 = 90;
/// Time to copy a prefix from another engine, including the set-up.
const COPY_MS: u64 = 8;
/// Prefixes that an engine holds.
const PREFIXES_HELD: usize = 25;
/// Distinct prefixes that prompts share.
const PREFIXES: u64 = 80;

/// Links of engines that copy at a thousandth of the prefill time, and of engines that don't copy.
/// A token takes a millisecond to prefill here.
const LINK: Link = Link {
    token_bytes: 125,
    mbps: 1_000,
};
const NO_LINK: Link = Link { mbps: 0, ..LINK };

impl Engine {
    fn holder(&self, prefix: u64) -> Holder {
        let known = if self.held.contains(&prefix) {
            1_000
        } else {
            0
        };
        Holder {
            known,
            expected: known,
        }
    }

    fn candidate(&self, prefix: u64, now: u64, count: u64) -> Candidate {
        let is_held = self.held.contains(&prefix);
        let read = SUFFIX_MS + if is_held { 0 } else { PREFIX_MS };
        candidate(self.free_at.saturating_sub(now), read * count / 2)
    }

    /// Prefills a prompt, or copies its prefix if `copies`. Returns when the prefill ends, and
    /// whether the prefix was recomputed.
    fn read(&mut self, prefix: u64, now: u64, copies: bool) -> (u64, bool) {
        let position = self.held.iter().position(|held| *held == prefix);
        if let Some(at) = position {
            self.held.remove(at);
        }
        self.held.push_back(prefix);
        self.held
            .drain(..self.held.len().saturating_sub(PREFIXES_HELD));
        let prefix_ms = match position {
            Some(_) => 0,
            None if copies => COPY_MS,
            None => PREFIX_MS,
        };
        self.free_at = self.free_at.max(now) + SUFFIX_MS + prefix_ms;
        (self.free_at, prefix_ms == PREFIX_MS)
    }
}

/// Simulates thirty seconds of prompts at four engines, one every `interval` milliseconds. `count`
/// is how many times the prefill time counts where engines are compared: the decision doubles it,
/// so candidates get `count` halves of it. With `link`, an engine copies a prefix from the first
/// engine that holds it. Returns how many prompts were answered in time, and how many prefixes were
/// prefilled.
fn simulate_prefixes(interval: u64, count: u64, link: Link) -> (usize, usize) {
    let mut engines: Vec<Engine> = (0..4).map(|_| Engine::default()).collect();
    let (mut in_time, mut read) = (0, 0);
    for at in 0..30_000 / interval {
        // A fixed order in which every prefix comes about as often.
        let (now, prefix) = (at * interval, at * at * 31 % 7_919 % PREFIXES);
        let candidates = engines.iter();
        let candidates: Vec<Candidate> = candidates
            .map(|engine| engine.candidate(prefix, now, count))
            .collect();
        if let Choice::Local(at) = choose(&candidates, &[], CONSTRAINTS) {
            let holders: Vec<Holder> = engines.iter().map(|engine| engine.holder(prefix)).collect();
            let copies = source(&holders, at, link, Duration::from_millis).is_some();
            let (end, recomputed) = engines[at].read(prefix, now, copies);
            in_time += usize::from(end <= now + 1_000);
            read += usize::from(recomputed);
        }
    }
    (in_time, read)
}

/// Prompts share prefixes, and engines have little spare time. A prompt that leaves the engine
/// which holds its prefix for a shorter queue is prefilled there in full, which makes that queue
/// grow too, until every engine prefills every prefix and some prompts are refused.
#[test]
fn prompts_stay_with_targets_that_hold_their_prefixes() {
    let (before, read_before) = simulate_prefixes(28, 1, NO_LINK);
    let (after, read_after) = simulate_prefixes(28, 2, NO_LINK);
    println!(
        "counted once: {before} in time, {read_before} prefilled; twice: {after}, {read_after}"
    );
    assert!(after > before, "{before}, {after}");
    assert!(
        read_after * 3 < read_before * 2,
        "{read_before}, {read_after}"
    );
}

/// More prompts arrive than engines can prefill if a prefix is computed wherever its prompt is
/// sent. With prefixes copied from an engine that holds them, more prompts are answered in time,
/// and engines spend their time on new tokens.
#[test]
fn prefixes_are_copied_rather_than_recomputed() {
    let (before, read_before) = simulate_prefixes(21, 2, NO_LINK);
    let (after, read_after) = simulate_prefixes(21, 2, LINK);
    println!(
        "recomputed: {before} in time, {read_before} prefilled; copied: {after}, {read_after}"
    );
    assert!(after > before, "{before}, {after}");
    let recomputed = |read: usize| read - usize::try_from(PREFIXES).unwrap();
    assert!(recomputed(read_after) * 2 < recomputed(read_before));
}

/// Requests of one rank: all of them, and those answered within the objective.
#[derive(Debug, Default, Clone, Copy)]
struct Share {
    asked: u32,
    in_time: u32,
}

/// Objectives of urgent and of less urgent requests.
const OBJECTIVES_MS: [u64; 2] = [800, 1_000];

/// Simulates twenty seconds in which urgent requests of 10 ms and less urgent ones of 100 ms arrive
/// at four targets. `rank` is the rank of the less urgent ones.
fn simulate_ranks(urgent: u64, others: u64, rank: usize) -> [Share; 2] {
    let mut queues: Vec<Queue> = (0..4)
        .map(|_| Queue {
            finish_times: VecDeque::new(),
            service_ms: 0,
        })
        .collect();
    let times = |per_second: u64, kind: usize| {
        (0..per_second * 20).map(move |at| (at * 1_000 / per_second, kind))
    };
    let mut arrivals: Vec<(u64, usize)> = times(urgent, 0).chain(times(others, 1)).collect();
    arrivals.sort_unstable();
    let mut shares = [Share::default(); 2];
    for (now, kind) in arrivals {
        shares[kind].asked += 1;
        let constraints = Constraints {
            rank: kind * rank,
            route_rank: kind * rank,
            objective: ms(OBJECTIVES_MS[kind]),
            ..CONSTRAINTS
        };
        let waits = queues.iter_mut().map(|queue| candidate(queue.wait(now), 0));
        if let Choice::Local(at) = choose(&waits.collect::<Vec<_>>(), &[], constraints) {
            queues[at].service_ms = [10, 100][kind];
            shares[kind].in_time += u32::from(queues[at].add(now) <= OBJECTIVES_MS[kind]);
        }
    }
    shares
}

/// Twice as much work arrives as the targets can do, most of it from less urgent requests with a
/// longer objective. With equal ranks, those fill the queue up to their own objective, which is too
/// long for the urgent ones. With a shorter queue for the less urgent, nearly all urgent requests
/// are served, and the others get the remaining capacity.
#[test]
fn urgent_requests_are_served_before_others_in_an_overload() {
    let percent = |share: Share| share.in_time * 100 / share.asked;
    let [urgent, others] = simulate_ranks(100, 70, 0).map(percent);
    let [urgent_first, others_first] = simulate_ranks(100, 70, 1).map(percent);
    println!("percent in time: {urgent}, {others} alike; {urgent_first}, {others_first} by rank");
    assert!(urgent < 80, "{urgent}");
    assert!(urgent_first > 97, "{urgent_first}");
    assert!(others_first > 30, "{others_first}");
}

/// Two routes share engines: urgent requests that have to begin within 0.8 s, and twice as many less
/// urgent ones that may begin within 3 s. Together they ask for twice the capacity of the queue.
/// Returns the urgent and the less urgent requests that were admitted.
fn admitted_of_two_routes(limits_less_urgent: bool) -> (u32, u32) {
    let urgent = Constraints {
        objective: ms(800),
        ..CONSTRAINTS
    };
    let less_urgent = Constraints {
        objective: ms(3_000),
        rank: 1,
        urgent_objective: limits_less_urgent.then_some(ms(800)),
        ..CONSTRAINTS
    };
    let (mut queued_ms, mut admitted) = (0_u64, (0, 0));
    for step in 0..3_000_u64 {
        // Each step takes 10 ms of the queue away and asks for 20 ms of work.
        queued_ms = queued_ms.saturating_sub(10);
        let is_urgent = step % 3 == 0;
        let constraints = if is_urgent { urgent } else { less_urgent };
        if choose(&[candidate(queued_ms, 0)], &[], constraints) == Choice::Local(0) {
            queued_ms += 20;
            let count = if is_urgent {
                &mut admitted.0
            } else {
                &mut admitted.1
            };
            *count += 1;
        }
    }
    admitted
}

/// Guards against a peak of less urgent requests with a long objective that fills the queue, so that
/// urgent requests with a short one are refused.
#[test]
fn less_urgent_requests_leave_room_for_urgent_ones() {
    let (urgent, less_urgent) = admitted_of_two_routes(true);
    assert_eq!(urgent, 1_000, "all urgent requests are served");
    assert!(
        less_urgent >= 450,
        "the rest of the room is used: {less_urgent}"
    );
    let (urgent, _) = admitted_of_two_routes(false);
    assert!(
        urgent < 100,
        "without the limit the queue is full: {urgent}"
    );
}

/// The limit never lets a request wait longer than its own objective permits.
#[test]
fn the_limit_for_urgent_requests_raises_no_bound() {
    let own = Constraints {
        objective: ms(500),
        rank: 1,
        ..CONSTRAINTS
    };
    let limited = Constraints {
        urgent_objective: Some(ms(5_000)),
        ..own
    };
    for wait in (0..1_000).step_by(10) {
        let target = [candidate(wait, 0)];
        assert_eq!(choose(&target, &[], limited), choose(&target, &[], own));
    }
}
