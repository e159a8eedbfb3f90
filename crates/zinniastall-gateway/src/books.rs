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
const PARTS: usize = 256;
/// Time after its last request for which a route's priority and bound on pauses count as in use.
const USED: Duration = Duration::from_secs(10);
/// Time after which a target's books are closed when nothing was sent to it.
const IDLE: Duration = Duration::from_mins(1);

/// Books of one instance.
#[derive(Debug)]
pub struct Books {
    bound: Bound,
    targets: IndexMap<id::Target, Account>,
    services: IndexMap<id::Service, Budget>,
    works: IndexMap<id::Service, Estimate>,
    shut_regions: IndexMap<id::Service, IndexMap<id::Region, Instant>>,
    uses: IndexMap<id::Service, IndexMap<Use, Instant>>,
}

/// What requests ask of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Use {
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Rank of the route, whoever asks.
    pub route: u8,
    /// Longest pause between two events that is still in time, in milliseconds; 0 for no bound.
    pub gap_ms: u64,
}

/// What is known of one target.
#[derive(Debug)]
pub struct Account {
    /// Service that it belongs to.
    pub service: id::Service,
    /// Requests at it.
    pub flights: u32,
    /// Expected time to read the prompts of those whose answers have not begun, in microseconds.
    pub reading_us: u64,
    /// How its requests ended.
    pub record: Record,
    /// Pace while it is cold.
    pub pace: Pacer,
    /// How many requests it takes at once, if it is a plain one.
    pub room: Limit,
    /// Until when it is known to take no request, because it refused one or a connection.
    pub shut_until: Option<Instant>,
    parts: IndexMap<String, Instant>,
    used: Instant,
}

/// Takes a request out of the books when it ends, however it ends.
#[derive(Debug)]
pub struct Flight {
    books: Rc<RefCell<Books>>,
    target: id::Target,
    reading_us: u64,
}

impl Books {
    /// Creates empty books.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            targets: IndexMap::new(),
            services: IndexMap::new(),
            works: IndexMap::new(),
            shut_regions: IndexMap::new(),
            uses: IndexMap::new(),
        }
    }

    /// Returns the account of a target, opened if need be.
    pub fn target(&mut self, target: &str, service: &str, now: Instant) -> &mut Account {
        if let Some(at) = self.targets.get_index_of(target) {
            return &mut self.targets[at];
        }
        self.close_idle(now);
        let account = self.targets.entry(target.to_owned());
        account.or_insert_with(|| Account {
            service: service.to_owned(),
            flights: 0,
            reading_us: 0,
            record: Record::default(),
            pace: Pacer::default(),
            room: Limit::default(),
            shut_until: None,
            parts: IndexMap::new(),
            used: now,
        })
    }

    /// Returns the account of a target, if it has one.
    pub fn known(&mut self, target: &str) -> Option<&mut Account> {
        self.targets.get_mut(target)
    }

    /// Returns the account for repeats of a service.
    pub fn budget(&mut self, service: &str) -> &mut Budget {
        let bound = self.bound;
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(bound))
    }

    /// Returns how long a plain service is expected to work on a request.
    pub fn work(&self, service: &str, assumed: Duration) -> Duration {
        let work = self.works.get(service).copied().unwrap_or_default();
        work.expected(assumed)
    }

    /// Notes an answer of a plain service; see [`Work::note`].
    pub fn note_work(&mut self, service: &str, took: Duration, ahead: u32, slots: u32) {
        let work = self.works.entry(service.to_owned()).or_default();
        work.observe(took, ahead, slots);
    }

    /// Notes that a request was made for a service.
    pub fn note_use(&mut self, service: &str, asked: Use, now: Instant) {
        let uses = self.uses.entry(service.to_owned()).or_default();
        if uses.insert(asked, now).is_none() {
            // Operators change bounds all day; those that nobody asks for any more would pile up.
            uses.retain(|_, last| now.saturating_duration_since(*last) < USED);
        }
    }

    /// Returns how many more urgent priorities have requests for a service at present.
    ///
    /// Routes without requests don't count: operators keep some for the day when they are needed, and
    /// those would hold everybody's queue short.
    pub fn rank(&self, service: &str, priority: u8, now: Instant) -> usize {
        let uses = self.uses_of(service, now);
        more_urgent(uses.map(|asked| asked.priority), priority)
    }

    /// Returns how many more urgent routes' priorities have requests for a service at present, whoever asks.
    pub fn route_rank(&self, service: &str, priority: u8, now: Instant) -> usize {
        let uses = self.uses_of(service, now);
        more_urgent(uses.map(|asked| asked.route), priority)
    }

    /// Returns the shortest pause within streams that a route with requests for a service bears at most;
    /// zero where none has a bound.
    pub fn gap(&self, service: &str, now: Instant) -> Duration {
        let bounds = self.uses_of(service, now).map(|asked| asked.gap_ms);
        let shortest = bounds.filter(|gap_ms| *gap_ms > 0).min();
        Duration::from_millis(shortest.unwrap_or(0))
    }

    fn uses_of(&self, service: &str, now: Instant) -> impl Iterator<Item = &Use> {
        let is_fresh = move |last: &Instant| now.saturating_duration_since(*last) < USED;
        let uses = self.uses.get(service).into_iter().flatten();
        uses.filter(move |(_, last)| is_fresh(last))
            .map(|(asked, _)| asked)
    }

    /// Notes that another region took no request for a service.
    pub fn shut_region(&mut self, region: &str, service: &str, until: Instant) {
        let regions = self.shut_regions.entry(service.to_owned()).or_default();
        regions.insert(region.to_owned(), until);
    }

    /// Tells whether another region is known to take no request for a service now.
    pub fn is_region_shut(&self, region: &str, service: &str, now: Instant) -> bool {
        let regions = self.shut_regions.get(service);
        let until = regions.and_then(|regions| regions.get(region));
        until.is_some_and(|until| *until > now)
    }

    /// Returns the requests at targets, by service.
    pub fn load(&self) -> Vec<Load> {
        let mut loads: IndexMap<&str, Load> = IndexMap::new();
        for account in self.targets.values().filter(|account| account.is_busy()) {
            let load = loads.entry(&account.service).or_insert_with(|| Load {
                service: account.service.clone(),
                flights: 0,
                reading_us: 0,
            });
            load.flights += account.flights;
            load.reading_us += account.reading_us;
        }
        loads.into_values().collect()
    }

    /// Returns the requests at targets, by target.
    pub fn by_target(&self) -> Vec<(id::Target, neighbours::Load)> {
        let busy = self.targets.iter().filter(|(_, account)| account.is_busy());
        let loads = busy.map(|(target, account)| {
            let load = neighbours::Load {
                flights: account.flights,
                reading_us: account.reading_us,
            };
            (target.clone(), load)
        });
        loads.collect()
    }

    fn close_idle(&mut self, now: Instant) {
        self.targets.retain(|_, account| {
            account.flights > 0 || now.saturating_duration_since(account.used) < IDLE
        });
    }
}

fn more_urgent(priorities: impl Iterator<Item = u8>, priority: u8) -> usize {
    let urgent: IndexSet<u8> = priorities.filter(|other| *other < priority).collect();
    urgent.len()
}

impl Account {
    /// Tells whether requests of this instance are at the target. What runs in another region is that
    /// region's load, and stands under no service here.
    fn is_busy(&self) -> bool {
        self.flights > 0 && !self.service.is_empty()
    }

    /// Tells whether the target is known to take no request now.
    pub fn is_shut(&self, now: Instant) -> bool {
        self.shut_until.is_some_and(|until| until > now)
    }

    /// Tells whether a prompt part was sent to this target since a time.
    pub fn holds(&self, part: &str, since: Instant) -> bool {
        self.parts.get(part).is_some_and(|sent| *sent >= since)
    }

    /// Notes prompt parts that were sent to this target.
    pub fn send_parts<'a>(&mut self, parts: impl Iterator<Item = &'a str>, now: Instant) {
        for part in parts {
            // The newest stand last, so that the oldest are the first to go.
            self.parts.shift_remove(part);
            self.parts.insert(part.to_owned(), now);
        }
        let surplus = self.parts.len().saturating_sub(PARTS);
        self.parts.drain(..surplus);
    }
}

impl Flight {
    /// Books a request at a target.
    pub fn start(
        books: &Rc<RefCell<Books>>,
        target: &str,
        service: &str,
        reading_us: u64,
        now: Instant,
    ) -> Self {
        let mut open = books.borrow_mut();
        let account = open.target(target, service, now);
        account.flights += 1;
        account.reading_us += reading_us;
        account.used = now;
        drop(open);
        Self {
            books: Rc::clone(books),
            target: target.to_owned(),
            reading_us,
        }
    }

    /// Notes that the answer has begun, so that the prompt is read.
    pub fn begun(&mut self) {
        let reading_us = std::mem::take(&mut self.reading_us);
        if let Some(account) = self.books.borrow_mut().known(&self.target) {
            account.reading_us = account.reading_us.saturating_sub(reading_us);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.begun();
        if let Some(account) = self.books.borrow_mut().known(&self.target) {
            account.flights = account.flights.saturating_sub(1);
        }
    }
}
