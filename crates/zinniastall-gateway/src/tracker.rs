//! What one instance counts about its own requests: at targets, of services, in prompts.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use zinniastall_model::{id, presence::Load};

use crate::{
    decide::{
        budget::{Bound, Budget},
        concurrency::Limit,
        outlier::Record,
        service_time::Estimate,
        slow_start::Pacer,
    },
    neighbours,
};

/// Prompt parts remembered for one target. An engine holds about 250,000 tokens, which are some
/// hundred parts of the usual size.
const MAX_PARTS_PER_TARGET: usize = 256;
/// Time after its last request for which a route's priority and bound on pauses count as in use.
const DEMAND_TTL: Duration = Duration::from_secs(10);
/// Time after which a target's books are closed when nothing was sent to it.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Books of one instance.
#[derive(Debug)]
pub struct Tracker {
    retry_bound: Bound,
    targets: IndexMap<id::Target, Target>,
    budgets: IndexMap<id::Service, Budget>,
    service_times: IndexMap<id::Service, Estimate>,
    blocked_regions: IndexMap<id::Service, IndexMap<id::Region, Instant>>,
    demands: IndexMap<id::Service, IndexMap<Demand, Instant>>,
}

/// What requests ask of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Demand {
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Rank of the route, whoever asks.
    pub route_priority: u8,
    /// Longest pause between two events that is still in time, in milliseconds; 0 for no bound.
    pub gap_ms: u64,
}

/// What is known of one target.
#[derive(Debug)]
pub struct Target {
    /// Service that it belongs to.
    pub service: id::Service,
    /// Requests at it.
    pub in_flight: u32,
    /// Expected time to read the prompts of those whose answers have not begun, in microseconds.
    pub reading_us: u64,
    /// How its requests ended.
    pub record: Record,
    /// Pace while it is cold.
    pub pace: Pacer,
    /// How many requests it takes at once, if it is a plain one.
    pub concurrency: Limit,
    /// Until when it is known to take no request, because it refused one or a connection.
    pub blocked_until: Option<Instant>,
    parts: IndexMap<String, Instant>,
    last_used: Instant,
}

/// Takes a request out of the books when it ends, however it ends.
#[derive(Debug)]
pub struct Guard {
    tracker: Rc<RefCell<Tracker>>,
    target: id::Target,
    reading_us: u64,
}

impl Tracker {
    /// Creates empty books.
    pub fn new(retry_bound: Bound) -> Self {
        Self {
            retry_bound,
            targets: IndexMap::new(),
            budgets: IndexMap::new(),
            service_times: IndexMap::new(),
            blocked_regions: IndexMap::new(),
            demands: IndexMap::new(),
        }
    }

    /// Returns the account of a target, opened if need be.
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
            pace: Pacer::default(),
            concurrency: Limit::default(),
            blocked_until: None,
            parts: IndexMap::new(),
            last_used: now,
        })
    }

    /// Returns the account of a target, if it has one.
    pub fn find(&mut self, target: &str) -> Option<&mut Target> {
        self.targets.get_mut(target)
    }

    /// Returns the account for repeats of a service.
    pub fn budget(&mut self, service: &str) -> &mut Budget {
        let retry_bound = self.retry_bound;
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(retry_bound))
    }

    /// Returns how long a plain service is expected to work on a request.
    pub fn service_time(&self, service: &str, assumed: Duration) -> Duration {
        let work = self.service_times.get(service).copied().unwrap_or_default();
        work.expected(assumed)
    }

    /// Notes an answer of a plain service; see [`Work::note`].
    pub fn record_service_time(&mut self, service: &str, took: Duration, ahead: u32, slots: u32) {
        let work = self.service_times.entry(service.to_owned()).or_default();
        work.observe(took, ahead, slots);
    }

    /// Notes that a request was made for a service.
    pub fn record_demand(&mut self, service: &str, demand: Demand, now: Instant) {
        let demands = self.demands.entry(service.to_owned()).or_default();
        if demands.insert(demand, now).is_none() {
            // Operators change bounds all day; those that nobody asks for any more would pile up.
            demands.retain(|_, last| now.saturating_duration_since(*last) < DEMAND_TTL);
        }
    }

    /// Returns how many more urgent priorities have requests for a service at present.
    ///
    /// Routes without requests don't count: operators keep some for the day when they are needed, and
    /// those would hold everybody's queue short.
    pub fn rank(&self, service: &str, priority: u8, now: Instant) -> usize {
        let demands = self.demands_for(service, now);
        more_urgent(demands.map(|demand| demand.priority), priority)
    }

    /// Returns how many more urgent routes' priorities have requests for a service at present, whoever asks.
    pub fn route_rank(&self, service: &str, priority: u8, now: Instant) -> usize {
        let demands = self.demands_for(service, now);
        more_urgent(demands.map(|demand| demand.route_priority), priority)
    }

    /// Returns the shortest pause within streams that a route with requests for a service bears at most;
    /// zero where none has a bound.
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

    /// Notes that another region took no request for a service.
    pub fn block_region(&mut self, region: &str, service: &str, until: Instant) {
        let regions = self.blocked_regions.entry(service.to_owned()).or_default();
        regions.insert(region.to_owned(), until);
    }

    /// Tells whether another region is known to take no request for a service now.
    pub fn is_region_blocked(&self, region: &str, service: &str, now: Instant) -> bool {
        let regions = self.blocked_regions.get(service);
        let until = regions.and_then(|regions| regions.get(region));
        until.is_some_and(|until| *until > now)
    }

    /// Returns the requests at targets, by service.
    pub fn load(&self) -> Vec<Load> {
        let mut loads: IndexMap<&str, Load> = IndexMap::new();
        for target in self.targets.values().filter(|target| target.is_busy()) {
            let load = loads.entry(&target.service).or_insert_with(|| Load {
                service: target.service.clone(),
                flights: 0,
                reading_us: 0,
            });
            load.flights += target.in_flight;
            load.reading_us += target.reading_us;
        }
        loads.into_values().collect()
    }

    /// Returns the requests at targets, by target.
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
    /// Tells whether requests of this instance are at the target. What runs in another region is that
    /// region's load, and stands under no service here.
    fn is_busy(&self) -> bool {
        self.in_flight > 0 && !self.service.is_empty()
    }

    /// Tells whether the target is known to take no request now.
    pub fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    /// Tells whether a prompt part was sent to this target since a time.
    pub fn has_part(&self, part: &str, since: Instant) -> bool {
        self.parts.get(part).is_some_and(|sent| *sent >= since)
    }

    /// Notes prompt parts that were sent to this target.
    pub fn record_parts<'a>(&mut self, parts: impl Iterator<Item = &'a str>, now: Instant) {
        for part in parts {
            // The newest stand last, so that the oldest are the first to go.
            self.parts.shift_remove(part);
            self.parts.insert(part.to_owned(), now);
        }
        let surplus = self.parts.len().saturating_sub(MAX_PARTS_PER_TARGET);
        self.parts.drain(..surplus);
    }
}

impl Guard {
    /// Books a request at a target.
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
            tracker: Rc::clone(tracker),
            target: target.to_owned(),
            reading_us,
        }
    }

    /// Notes that the answer has begun, so that the prompt is read.
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
