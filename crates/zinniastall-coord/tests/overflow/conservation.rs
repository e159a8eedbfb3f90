//! What the borrowers of a lender spend, under loss, repetition, reordering and takeover.

use std::time::{Duration, Instant};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use zinniastall_coord::overflow::{
    Amount, Borrower, Bucket, GRANT_LIFE, HOLD, Lender, ROUND, Round, TAKEOVER,
};

use super::{amount, ms};

const SEED: u64 = 23;
const TICK_MS: u64 = 20;
const BORROWERS: usize = 3;
const INSTANCES: usize = 4;
/// Prefill time of each request, in microseconds.
const WORK: u64 = 30_000;
/// Longest time from a lender to a borrowing region, and from there to an instance.
const MAX_DELAYS_MS: (u64, u64) = (330, 60);

/// Messages to a borrowing region below the first number are lost, and those from the second on are
/// repeated.
const LOST: u8 = 4;
const REPEATED: u8 = 8;

/// What happens in one round.
#[derive(Debug, Clone)]
struct Step {
    room: u64,
    needs: [u64; BORROWERS],
    /// For each message, the last to the other leader: whether it arrives, and its delays.
    fates: Vec<(u8, u64, u64)>,
    is_frozen: bool,
    /// Whether instances save their tokens in this round.
    saves: bool,
}

/// A message under way: when it arrives, at which region, and what it holds.
struct Message {
    due: u64,
    region: usize,
    round: Round,
    grant: Amount,
    relay_ms: u64,
}

#[derive(Default)]
struct Leader {
    lender: Lender<usize>,
    round: Round,
    heard: Option<u64>,
}

/// A borrowing region.
#[derive(Default)]
struct Region {
    borrower: Borrower<(), Amount>,
    instances: Vec<(Borrower<(), ()>, Bucket)>,
}

/// Two leaders of one lending region, and the regions that borrow.
struct World {
    start: Instant,
    leaders: [Leader; 2],
    regions: Vec<Region>,
    /// Messages to leaders, and from these to instances.
    messages: [Vec<Message>; 2],
    /// Requests that were sent in each tick.
    sent: Vec<u64>,
    acted: usize,
    /// When the acting leader changed.
    changes: Vec<u64>,
}

impl World {
    fn new() -> Self {
        let start = Instant::now();
        let instance = || (Borrower::default(), Bucket::new(start));
        let region = || Region {
            borrower: Borrower::default(),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
        };
        Self {
            start,
            leaders: Default::default(),
            regions: (0..BORROWERS).map(|_| region()).collect(),
            messages: Default::default(),
            sent: Vec::new(),
            acted: 0,
            changes: Vec::new(),
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + ms(millis)
    }

    /// Returns whether a leader acts in a round.
    fn acts(&self, leader: usize, step: &Step, now: u64) -> bool {
        let takeover = u64::try_from(TAKEOVER.as_millis()).unwrap();
        let heard = self.leaders[1].heard.unwrap_or(0);
        if leader == 0 {
            !step.is_frozen
        } else {
            now >= heard + takeover
        }
    }

    fn act(&mut self, acting: usize, step: &Step, now: u64) {
        if acting != self.acted {
            self.changes.push(now);
            self.acted = acting;
        }
        let at = self.at(now);
        let needs = step.needs.iter().map(|need| whole(*need)).enumerate();
        let leader = &mut self.leaders[acting];
        leader.round += 1;
        let round = leader.round;
        let grants = leader.lender.divide(whole(step.room), &needs.collect(), at);
        for (region, grant) in &grants {
            let (kind, delay, relay_ms) = step.fates[*region];
            for copy in 0..u64::from(kind >= LOST) + u64::from(kind >= REPEATED) {
                self.messages[0].push(Message {
                    due: now + (delay + copy * 110) % (MAX_DELAYS_MS.0 + 1),
                    region: *region,
                    round,
                    grant: *grant,
                    relay_ms,
                });
            }
        }
        let other = &mut self.leaders[1 - acting];
        if step.fates[BORROWERS].0 > 0 {
            other.heard = Some(now);
            other.round = other.round.max(round);
            other.lender.observe(&grants, at);
        }
    }

    fn deliver(&mut self, now: u64) {
        let is_due = |message: &mut Message| message.due <= now;
        let due: Vec<Message> = self.messages[0].extract_if(.., is_due).collect();
        for message in due {
            let at = self.at(message.due);
            let borrower = &mut self.regions[message.region].borrower;
            let received = borrower.receive((), message.round, message.grant, GRANT_LIFE, at);
            if received.is_ok() {
                let due = message.due + message.relay_ms;
                self.messages[1].push(Message { due, ..message });
            }
        }
        let due: Vec<Message> = self.messages[1].extract_if(.., is_due).collect();
        for message in due {
            let at = self.at(message.due);
            let part = message.grant.part(1, INSTANCES as u64);
            for (rounds, bucket) in &mut self.regions[message.region].instances {
                let received = rounds.receive((), message.round, (), GRANT_LIFE, at);
                if received.is_ok() {
                    bucket.set(part, at + GRANT_LIFE, at);
                }
            }
        }
    }

    /// Has each instance send as many requests as there are tokens for, up to `most`.
    fn spend(&mut self, most: u32, now: u64) {
        let at = self.at(now);
        let instances = self
            .regions
            .iter_mut()
            .flat_map(|region| &mut region.instances);
        let taken = instances.map(|(_, bucket)| {
            let taken = (0..most).take_while(|_| bucket.take(WORK, at));
            taken.count() as u64
        });
        let taken = taken.sum();
        self.sent.push(taken);
    }
}

/// Returns the amount of some requests, in thousandths per second.
const fn whole(requests: u64) -> Amount {
    amount(requests * WORK / 1_000, requests)
}

/// Phases of some rounds each, in which room and needs stay the same.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let needs = prop::array::uniform3(prop_oneof![Just(0), 0_u64..900_000]);
    let fate = (0_u8..10, 0..=MAX_DELAYS_MS.0, 0..=MAX_DELAYS_MS.1);
    let fates = prop::collection::vec(fate, BORROWERS + 1);
    let rounds = prop::collection::vec((fates, prop::bool::weighted(0.05)), 3..12);
    let room = prop_oneof![1 => Just(0), 4 => Just(600_000), 1 => 100_000_u64..900_000];
    let saves = prop::bool::weighted(0.3);
    let phase = (room, needs, rounds, saves).prop_map(|(room, needs, rounds, saves)| {
        let step = |(fates, is_frozen)| Step {
            room,
            needs,
            fates,
            is_frozen,
            saves,
        };
        rounds.into_iter().map(step).collect::<Vec<Step>>()
    });
    let phases = prop::collection::vec(phase, 2..8);
    phases.prop_map(|phases| phases.concat())
}

fn play(steps: &[Step]) -> World {
    let mut world = World::new();
    let round_ms = u64::try_from(ROUND.as_millis()).unwrap();
    for (number, step) in steps.iter().enumerate() {
        let begin = number as u64 * round_ms;
        for leader in 0..2 {
            if world.acts(leader, step, begin) {
                world.act(leader, step, begin);
            }
        }
        for now in (begin..begin + round_ms).step_by(usize::try_from(TICK_MS).unwrap()) {
            world.deliver(now);
            world.spend(if step.saves { 0 } else { 50 }, now);
        }
    }
    world
}

/// Checks every window that begins with a round.
///
/// At any time the room in use is at most the largest of the last [`HOLD`], and twice that while the
/// grants of two lenders may be in use.
fn check(steps: &[Step]) -> Result<u64, TestCaseError> {
    let World { sent, changes, .. } = play(steps);
    let rooms: Vec<u64> = steps.iter().map(|step| step.room).collect();
    let round_ms = u64::try_from(ROUND.as_millis()).unwrap();
    let hold_ms = u64::try_from(HOLD.as_millis()).unwrap();
    let most_at = |tick: usize| {
        let now = tick as u64 * TICK_MS;
        let since = now.saturating_sub(hold_ms);
        let first = usize::try_from(since / round_ms).unwrap();
        let last = usize::try_from(now / round_ms).unwrap();
        let room = rooms[first..=last].iter().max().copied().unwrap_or(0);
        let is_doubled = changes.iter().any(|at| (since..=now).contains(at));
        Duration::from_millis(room).as_secs_f64() * if is_doubled { 2.0 } else { 1.0 }
    };
    let most: Vec<f64> = (0..sent.len()).map(most_at).collect();
    let ticks_per_round = usize::try_from(round_ms / TICK_MS).unwrap();
    for from in (0..sent.len()).step_by(ticks_per_round) {
        let instances = u32::try_from(BORROWERS * INSTANCES).unwrap();
        let mut allowed = f64::from(instances);
        let has_saved = from > 0 && steps[from / ticks_per_round - 1].saves;
        if has_saved {
            allowed += most[from] * 0.5;
        }
        let mut sum = 0.0;
        for to in from..sent.len() {
            allowed += most[to] * ms(TICK_MS).as_secs_f64();
            sum += f64::from(u32::try_from(sent[to]).unwrap());
            prop_assert!(
                sum <= allowed + 1e-6,
                "{sum} of {allowed} from {from} to {to}"
            );
        }
    }
    Ok(sent.iter().sum())
}

#[test]
fn borrowers_never_spend_more_than_the_room() {
    let config = Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    runner
        .run(&steps(), |steps| check(&steps).map(|_| ()))
        .unwrap();
}

/// Guards against a bound that holds only because nothing is lent.
#[test]
fn a_steady_room_is_lent_in_full() {
    let step = Step {
        room: 400_000,
        needs: [400_000; BORROWERS],
        fates: vec![(5, 50, 20); BORROWERS + 1],
        is_frozen: false,
        saves: false,
    };
    let sent = check(&vec![step; 50]).unwrap();
    assert!(sent > 3_300, "{sent} of 4000 in ten seconds");
}
