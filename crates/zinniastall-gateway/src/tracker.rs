//! What one instance tracks of its own requests, by target and by service.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use zinniastall_model::{id, presence::Load};

use crate::{
    decide::{
        capacity::Capacity, concurrency::Limit, memory::Memory, outlier::Record,
        service_time::Estimate,
    },
    neighbours,
    watch::Watch,
};

/// Prompt parts remembered for one target. An engine's cache holds about 250,000 tokens, which is
/// around a hundred parts of the usual size.
const MAX_PARTS_PER_TARGET: usize = 256;
/// Time after its last request for which a route's priority and gap limit count as in use.
const DEMAND_TTL: Duration = Duration::from_secs(10);
/// First and longest time for which another region gets no requests after it refused one. The first
/// covers a moment in which its targets are full, the last a partition there.
const REGION_BACKOFF: (Duration, Duration) = (Duration::from_millis(120), Duration::from_secs(2));
/// Doublings of the time for which a target is left alone that refuses again and again.
const MAX_DOUBLINGS: u32 = 3;
/// Time after its last request at which a target without requests in flight is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// In-flight requests, observed behaviour and demand, as one instance knows them.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Learned speed of engines.
    pub capacity: Capacity,
    /// Tokens at engines.
    pub memory: Memory,
    targets: IndexMap<id::Target, Target>,
    service_times: IndexMap<id::Service, Estimate>,
    blocked_regions: IndexMap<id::Service, IndexMap<id::Region, Block>>,
    demands: IndexMap<id::Service, IndexMap<Demand, Instant>>,
}

/// Time for which another region gets no requests for a service.
#[derive(Debug, Clone, Copy)]
struct Block {
    until: Instant,
    length: Duration,
}

/// What a request's account and route ask of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Demand {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Priority of the route alone, whichever account uses it.
    pub route_priority: u8,
    /// Latency objective of the route, in milliseconds.
    pub objective_ms: u64,
    /// Longest gap between two events of a stream that the route permits, in milliseconds; 0 for no
    /// limit.
    pub gap_ms: u64,
}

/// What is known of one target.
#[derive(Debug)]
pub struct Target {
    /// Service of the target; empty for a request forwarded to another region.
    pub service: id::Service,
    /// Requests in flight.
    pub in_flight: u32,
    /// Expected time to read the prompts of requests whose answers have not begun, in microseconds.
    pub reading_us: u64,
    /// Outcomes of its requests, for outlier detection.
    pub record: Record,
    /// Concurrency limit learned for it, if it is a plain service's target.
    pub concurrency: Limit,
    /// Time until which it gets no request, because it refused a request or a connection.
    pub blocked_until: Option<Instant>,
    /// Times in a row that it refused a request after it had been left alone.
    refusals: u32,
    parts: IndexMap<String, Instant>,
    last_used: Instant,
}

/// Counts a request as in flight at a target until it is dropped.
#[derive(Debug)]
pub struct Guard {
    /// Observes the request, if its engine is to be learned.
    pub watch: Option<Watch>,
    tracker: Rc<RefCell<Tracker>>,
    target: id::Target,
    reading_us: u64,
}

impl Tracker {
    /// Returns what is known of a target, and starts tracking it if necessary.
    pub fn target(&mut self, target: &str, service: &str, now: Instant) -> &mut Target {
        if let Some(at) = self.targets.get_index_of(target) {
            return &mut self.targets[at];
        }
        self.evict_idle(now);
        let entry = self.targets.entry(target.to_owned());
        entry.or_insert_with(|| Target {
            service: service.to_owned(),
            in_flight: 0,
            reading_us: 0,
            record: Record::default(),
            concurrency: Limit::default(),
            blocked_until: None,
            refusals: 0,
            parts: IndexMap::new(),
            last_used: now,
        })
    }

    /// Returns what is known of a target, if it is tracked.
    pub fn find(&mut self, target: &str) -> Option<&mut Target> {
        self.targets.get_mut(target)
    }

    /// Returns the requests of this instance in flight at a target.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.targets
            .get(target)
            .map_or(0, |target| target.in_flight)
    }

    /// Returns the load of this instance at a target.
    pub fn load_at(&self, target: &str) -> neighbours::Load {
        let known = self.targets.get(target);
        known.map_or_else(neighbours::Load::default, |target| neighbours::Load {
            in_flight: target.in_flight,
            reading_us: target.reading_us,
        })
    }

    /// Returns whether a target is ejected because its last requests failed.
    pub fn is_ejected(&self, target: &str, now: Instant) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|target| target.record.is_ejected(now))
    }

    /// Returns the expected service time of a plain service; `assumed` weighs as much as one
    /// observation.
    pub fn service_time(&self, service: &str, assumed: Duration) -> Duration {
        let work = self.service_times.get(service).copied().unwrap_or_default();
        work.expected(assumed)
    }

    /// Records the time that a plain service took for a request that found `ahead` others in flight
    /// at a target with `slots` slots.
    pub fn record_service_time(&mut self, service: &str, took: Duration, ahead: u32, slots: u32) {
        let work = self.service_times.entry(service.to_owned()).or_default();
        work.observe(took, ahead, slots);
    }

    /// Records that a request was made for a service.
    pub fn record_demand(&mut self, service: &str, demand: Demand, now: Instant) {
        let demands = self.demands.entry(service.to_owned()).or_default();
        if demands.insert(demand, now).is_none() {
            // Operators change these limits at any time; unused combinations would accumulate.
            demands.retain(|_, last| now.saturating_duration_since(*last) < DEMAND_TTL);
        }
    }

    /// Returns the number of more urgent priorities that currently have requests for a service.
    ///
    /// Routes without requests don't count: operators keep some in reserve, and those would shorten
    /// everybody's queue.
    pub fn rank(&self, service: &str, priority: u8, now: Instant) -> usize {
        let demands = self.demands_for(service, now);
        more_urgent(demands.map(|demand| demand.priority), priority)
    }

    /// Returns the number of more urgent route priorities that currently have requests for a
    /// service, whichever accounts use them.
    pub fn route_rank(&self, service: &str, priority: u8, now: Instant) -> usize {
        let demands = self.demands_for(service, now);
        more_urgent(demands.map(|demand| demand.route_priority), priority)
    }

    /// Returns the shortest objective among the more urgent requests for a service; `None` if there
    /// are none.
    pub fn urgent_objective(&self, service: &str, priority: u8, now: Instant) -> Option<Duration> {
        let demands = self.demands_for(service, now);
        let urgent = demands.filter(|demand| demand.priority < priority);
        let objectives = urgent.map(|demand| demand.objective_ms);
        objectives.min().map(Duration::from_millis)
    }

    /// Returns the smallest gap limit among the routes that currently have requests for a service;
    /// zero if none has a limit.
    pub fn min_gap(&self, service: &str, now: Instant) -> Duration {
        let bounds = self.demands_for(service, now).map(|demand| demand.gap_ms);
        let shortest = bounds.filter(|gap_ms| *gap_ms > 0).min();
        Duration::from_millis(shortest.unwrap_or(0))
    }

    fn demands_for(&self, service: &str, now: Instant) -> impl Iterator<Item = &Demand> {
        let is_fresh = move |last: &Instant| now.saturating_duration_since(*last) < DEMAND_TTL;
        let demands = self.demands.get(service).into_iter().flatten();
        demands
            .filter(move |(_, last)| is_fresh(last))
            .map(|(demand, _)| demand)
    }

    /// Records that another region refused a request for a service. It gets none for a time that
    /// doubles if it refuses the next one as well.
    pub fn block_region(&mut self, region: &str, service: &str, now: Instant) {
        let regions = self.blocked_regions.entry(service.to_owned()).or_default();
        let is_recent = |block: &&Block| now < block.until + REGION_BACKOFF.1;
        let last = regions.get(region).filter(is_recent);
        let last = last.map(|block| block.length);
        let length = last.map_or(REGION_BACKOFF.0, |last| (last * 2).min(REGION_BACKOFF.1));
        let until = now + length;
        regions.insert(region.to_owned(), Block { until, length });
    }

    /// Records that another region answered a request for a service.
    pub fn unblock_region(&mut self, region: &str, service: &str) {
        if let Some(regions) = self.blocked_regions.get_mut(service) {
            regions.swap_remove(region);
        }
    }

    /// Returns whether another region is known to refuse requests for a service.
    pub fn is_region_blocked(&self, region: &str, service: &str, now: Instant) -> bool {
        let regions = self.blocked_regions.get(service);
        let block = regions.and_then(|regions| regions.get(region));
        block.is_some_and(|block| block.until > now)
    }

    /// Returns the requests in flight by service.
    pub fn load(&self) -> Vec<Load> {
        let mut loads: IndexMap<&str, Load> = IndexMap::new();
        for target in self.targets.values().filter(|target| target.is_busy()) {
            let load = loads.entry(&target.service).or_insert_with(|| Load {
                service: target.service.clone(),
                in_flight: 0,
                reading_us: 0,
            });
            load.in_flight += target.in_flight;
            load.reading_us += target.reading_us;
        }
        loads.into_values().collect()
    }

    /// Returns the requests in flight by target.
    pub fn by_target(&self) -> Vec<(id::Target, neighbours::Load)> {
        let busy = self.targets.iter().filter(|(_, target)| target.is_busy());
        let loads = busy.map(|(name, target)| {
            let load = neighbours::Load {
                in_flight: target.in_flight,
                reading_us: target.reading_us,
            };
            (name.clone(), load)
        });
        loads.collect()
    }

    fn evict_idle(&mut self, now: Instant) {
        self.targets.retain(|_, target| {
            target.in_flight > 0 || now.saturating_duration_since(target.last_used) < IDLE_TIMEOUT
        });
    }
}

fn more_urgent(priorities: impl Iterator<Item = u8>, priority: u8) -> usize {
    let urgent: IndexSet<u8> = priorities.filter(|other| *other < priority).collect();
    urgent.len()
}

impl Target {
    /// Returns whether requests of this instance are in flight at the target.
    ///
    /// Requests forwarded to another region count as that region's load and have no service here.
    fn is_busy(&self) -> bool {
        self.in_flight > 0 && !self.service.is_empty()
    }

    /// Records that the target refused a request; it is left alone for longer each time in a row.
    ///
    /// Refusals of requests that were sent together count once.
    pub fn refused(&mut self, backoff: Duration, now: Instant) {
        if self.is_blocked(now) {
            return;
        }
        let doublings = self.refusals.min(MAX_DOUBLINGS);
        self.blocked_until = Some(now + backoff * (1 << doublings));
        self.refusals = self.refusals.saturating_add(1);
    }

    /// Records that the target answered a request, however, or that its path was at fault.
    pub const fn accepted(&mut self) {
        self.refusals = 0;
    }

    /// Returns whether the target is known to refuse requests now.
    pub fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    /// Returns whether a prompt part was sent to this target since a time.
    pub fn has_part(&self, part: &str, since: Instant) -> bool {
        self.parts.get(part).is_some_and(|sent| *sent >= since)
    }

    /// Records prompt parts that were sent to this target.
    pub fn record_parts<'a>(&mut self, parts: impl Iterator<Item = &'a str>, now: Instant) {
        for part in parts {
            // Reinserting moves a part to the end, so that the least recently sent parts are
            // evicted first.
            self.parts.shift_remove(part);
            self.parts.insert(part.to_owned(), now);
        }
        let surplus = self.parts.len().saturating_sub(MAX_PARTS_PER_TARGET);
        self.parts.drain(..surplus);
    }
}

impl Guard {
    /// Starts counting a request as in flight at a target.
    pub fn start(
        tracker: &Rc<RefCell<Tracker>>,
        target: &str,
        service: &str,
        reading_us: u64,
        now: Instant,
    ) -> Self {
        let mut open = tracker.borrow_mut();
        let entry = open.target(target, service, now);
        entry.in_flight += 1;
        entry.reading_us += reading_us;
        entry.last_used = now;
        drop(open);
        Self {
            watch: None,
            tracker: Rc::clone(tracker),
            target: target.to_owned(),
            reading_us,
        }
    }

    /// Records that the answer has begun, which means that the prompt has been read.
    pub fn answer_started(&mut self) {
        let reading_us = std::mem::take(&mut self.reading_us);
        if let Some(target) = self.tracker.borrow_mut().find(&self.target) {
            target.reading_us = target.reading_us.saturating_sub(reading_us);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.answer_started();
        if let Some(target) = self.tracker.borrow_mut().find(&self.target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
