//! The load that the component answers: three regions that peak at different times, at 2.8 times
//! their mean and then at 0.17 of it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_coord::overflow::{
    Amount, Borrower, Bucket, GRANT_LIFE, Lender, Need, ROUND, Record,
    room::{self, Target},
};

use super::ms;

const ENGINES: [u32; 3] = [28, 20, 14];
const SLOTS: u32 = 64;
const INSTANCES: u64 = 20;
/// Mean demand, as a share of the region's own capacity.
const MEAN: f64 = 0.45;
const PEAK: f64 = 2.8;
const TROUGH: f64 = 0.17;
/// Length of a region's peak; the next region's begins when it ends.
const PEAK_SECONDS: u64 = 10;
const SECONDS: u64 = 3 * PEAK_SECONDS;
const TICK_MS: u64 = 10;
/// Wait at an engine beyond which a request is rejected.
const BOUND: Duration = Duration::from_millis(180);
const LATENCY_MS: u64 = 55;
/// Age of load reports, and of the need that instances report.
const REPORT_MS: u64 = 150;
const NEED_MS: u64 = 400;

/// A kind of request: prefill and decode time in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Kind {
    prefill: u64,
    decode: u64,
}

/// Engines of a region as one queue, its callers, and what it knows of the others.
struct Region {
    engines: u32,
    /// Prefill time that is queued, in microseconds.
    queued: u64,
    /// When requests in flight end, in milliseconds.
    ends: VecDeque<u64>,
    states: VecDeque<(u32, u64)>,
    need: Need,
    needs: VecDeque<Amount>,
    lender: Lender<usize>,
    borrower: Borrower<usize, Amount>,
    buckets: Vec<Vec<Bucket>>,
    records: Vec<Vec<Record>>,
    admitted: u64,
    due: f64,
    /// Requests that found no room at home.
    needy: u64,
    /// Requests asked for and served while each region was at its peak.
    asked: [u32; 3],
    served: [u32; 3],
}

impl Region {
    fn new(engines: u32, start: Instant) -> Self {
        let instances = || 0..INSTANCES;
        Self {
            engines,
            queued: 0,
            ends: VecDeque::new(),
            states: VecDeque::new(),
            need: Need::default(),
            needs: VecDeque::new(),
            lender: Lender::default(),
            borrower: Borrower::default(),
            buckets: ENGINES
                .map(|_| instances().map(|_| Bucket::new(start)).collect())
                .into(),
            records: ENGINES
                .map(|_| instances().map(|_| Record::default()).collect())
                .into(),
            admitted: 0,
            due: 0.0,
            needy: 0,
            asked: [0; 3],
            served: [0; 3],
        }
    }

    /// Serves a request if an engine has a slot and a short queue.
    fn admit(&mut self, kind: Kind, now: u64) -> bool {
        let wait_us = self.queued / u64::from(self.engines);
        let in_flight = u32::try_from(self.ends.len()).unwrap();
        if wait_us > u64::try_from(BOUND.as_micros()).unwrap() || in_flight >= self.engines * SLOTS
        {
            return false;
        }
        self.queued += kind.prefill * 1_000;
        // Lengths of answers differ, or all slots would come free at once.
        self.admitted += 1;
        let decode = kind.decode * (50 + self.admitted * 37 % 101) / 100;
        let end = now + wait_us / 1_000 + kind.prefill + decode;
        let at = self.ends.partition_point(|other| *other <= end);
        self.ends.insert(at, end);
        true
    }

    fn tick(&mut self, now: u64) {
        let done = u64::from(self.engines) * TICK_MS * 1_000;
        self.queued = self.queued.saturating_sub(done);
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        self.states
            .push_back((u32::try_from(self.ends.len()).unwrap(), self.queued));
        if self.states.len() > usize::try_from(REPORT_MS / TICK_MS).unwrap() {
            self.states.pop_front();
        }
    }

    fn room(&self) -> Amount {
        let (in_flight, queued) = self.states[0];
        let target = Target {
            slots: SLOTS,
            in_flight: in_flight / self.engines,
            reading: Duration::from_micros(queued / u64::from(self.engines)),
        };
        let own = self.needs.front().copied().unwrap_or_default();
        room::engines((0..self.engines).map(|_| target), BOUND).minus(own)
    }
}

/// Plays the load; returns the share of its requests that each region's callers got served, while the
/// first region was at its peak, the second and the third.
fn play(kind: Kind, capacity: f64, lends: bool, loses: impl Fn(u64) -> bool) -> [[f64; 3]; 3] {
    let start = Instant::now();
    let mut regions = ENGINES.map(|engines| Region::new(engines, start));
    let mut arriving: VecDeque<(u64, usize, usize, usize)> = VecDeque::new();
    let mut grants: VecDeque<(u64, u32, usize, usize, Amount)> = VecDeque::new();
    for now in (0..SECONDS * 1_000).step_by(usize::try_from(TICK_MS).unwrap()) {
        let at = start + ms(now);
        let phase = usize::try_from(now / 1_000 / PEAK_SECONDS).unwrap();
        for region in &mut regions {
            region.tick(now);
        }
        while arriving.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, from, to, instance) = arriving.pop_front().unwrap();
            let is_served = regions[to].admit(kind, now);
            regions[from].served[phase] += u32::from(is_served);
            regions[from].records[to][instance].observe(!is_served, at);
        }
        for (from, region) in regions.iter_mut().enumerate() {
            let level = if phase == from { PEAK } else { TROUGH };
            region.due += f64::from(region.engines) * capacity * MEAN * level * 0.01;
            while region.due >= 1.0 {
                region.due -= 1.0;
                region.asked[phase] += 1;
                if region.admit(kind, now) {
                    region.served[phase] += 1;
                    continue;
                }
                let work = kind.prefill * 1_000;
                region.needy += 1;
                region.need.record(work, at);
                let instance = usize::try_from(region.needy % INSTANCES).unwrap();
                let open =
                    (0..3).filter(|to| *to != from && !region.records[*to][instance].is_paused(at));
                let mut open: Vec<usize> = open.collect();
                open.sort_by(|one, other| {
                    let mut level = |to: &usize| region.buckets[*to][instance].level(at);
                    level(other).total_cmp(&level(one))
                });
                let mut open = open.into_iter();
                if let Some(to) = open.find(|to| region.buckets[*to][instance].take(work, at)) {
                    arriving.push_back((now + LATENCY_MS, from, to, instance));
                }
            }
            if now % NEED_MS == 0 {
                let sum = region.need.sum(at);
                region.needs = VecDeque::from([sum]);
            }
        }
        if lends && now % u64::try_from(ROUND.as_millis()).unwrap() == 0 {
            for lender in 0..3 {
                let needs = (0..3).filter(|other| *other != lender);
                let needs = needs.map(|other| {
                    (
                        other,
                        regions[other].needs.front().copied().unwrap_or_default(),
                    )
                });
                let needs: IndexMap<usize, Amount> = needs.collect();
                let room = regions[lender].room();
                let round = u32::try_from(now / 200).unwrap();
                let divided = regions[lender].lender.divide(room, &needs, at);
                let kept = divided.into_iter().filter(|_| !loses(now / 200));
                grants.extend(
                    kept.map(|(to, grant)| (now + 2 * LATENCY_MS, round, lender, to, grant)),
                );
            }
        }
        while grants.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, round, lender, to, grant) = grants.pop_front().unwrap();
            let region = &mut regions[to];
            if region
                .borrower
                .receive(lender, round, grant, GRANT_LIFE, at)
                .is_ok()
            {
                for bucket in &mut region.buckets[lender] {
                    bucket.set(grant.part(1, INSTANCES), at + GRANT_LIFE, at);
                }
            }
        }
    }
    let share = |phase: usize| {
        let share =
            |region: &Region| f64::from(region.served[phase]) / f64::from(region.asked[phase]);
        regions.each_ref().map(share)
    };
    [0, 1, 2].map(share)
}

/// Returns the share of the worst region against that of the best, in the worst phase.
fn fairness(served: [[f64; 3]; 3]) -> f64 {
    let phases = served.into_iter().map(|served| {
        let best = served.into_iter().fold(0.0, f64::max);
        served.into_iter().fold(1.0, f64::min) / best
    });
    phases.fold(1.0, f64::min)
}

/// Drafts: prefill time is scarce. An engine prefills ten in a second.
const DRAFTS: (Kind, f64) = (
    Kind {
        prefill: 100,
        decode: 600,
    },
    10.0,
);
/// Questions: decode slots are scarce. An engine has slots for sixteen in a second.
const QUESTIONS: (Kind, f64) = (
    Kind {
        prefill: 12,
        decode: 4_000,
    },
    16.0,
);

/// Guards against a region at its peak that rejects requests while the other regions are idle.
#[test]
fn a_region_at_its_peak_is_served_by_the_others() {
    for (kind, capacity) in [DRAFTS, QUESTIONS] {
        let alone = play(kind, capacity, false, |_| false);
        let lent = play(kind, capacity, true, |_| false);
        println!(
            "{kind:?}: alone {:.3}, lent {:.3}",
            fairness(alone),
            fairness(lent)
        );
        assert!(fairness(alone) < 0.85, "{alone:?}");
        assert!(fairness(lent) >= 0.85, "{lent:?}");
    }
}

/// Guards against lending that works only while no datagram is lost.
#[test]
fn every_third_round_may_be_lost() {
    let lent = play(DRAFTS.0, DRAFTS.1, true, |round| round % 3 == 0);
    println!("lossy {:.3}", fairness(lent));
    assert!(fairness(lent) >= 0.85, "{lent:?}");
}

/// Regions are cut off from each other in the middle of the first peak: each serves what it can.
#[test]
fn regions_that_are_cut_off_serve_their_own_requests() {
    let alone = play(DRAFTS.0, DRAFTS.1, false, |_| false);
    let cut = play(DRAFTS.0, DRAFTS.1, true, |round| round > 20);
    println!("alone {alone:.3?}, cut {cut:.3?}");
    let pairs = alone.as_flattened().iter().zip(cut.as_flattened());
    for (alone, cut) in pairs {
        assert!(cut > &(alone - 0.01), "{alone} {cut}");
    }
}
