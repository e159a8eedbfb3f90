//! Load and caches of the zone's targets, as known to one instance.
//!
//! Reports lag behind. The table therefore counts the instance's own requests exactly, takes from a
//! report only the requests that other instances had in flight, and discounts these by the report's
//! age.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::id;

use crate::{cache::Cache, eject::Detector, limit::Limit};

/// Age of a report at which half of the others' requests count as finished.
const OTHERS_HALF_LIFE_SECS: f64 = 2.0;
/// Weight of the latest sample in the moving averages of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Weight of the latest report in the moving average of the others' requests. Reports are delayed
/// while own requests are counted exactly, so that a single difference of the two is mostly noise.
const REPORT_WEIGHT: f64 = 0.3;
/// Service time assumed before the first response of any target.
const DEFAULT_SERVICE_SECS: f64 = 0.2;
/// Share by which each response of another target moves a target's mean service time towards the
/// overall mean. A target that was slow once, and therefore gets no requests, would otherwise never
/// be tried again.
const DRIFT_WEIGHT: f64 = 0.01;

/// Report announced by a target.
#[derive(Debug, Clone)]
pub struct Report {
    /// Incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of requests that it was running or had queued.
    pub busy: u32,
    /// Price of one busy second.
    pub price: f64,
    /// Digests of cached prefixes.
    pub prefixes: Vec<u64>,
    /// Whether cache events were missed.
    pub gap: bool,
    /// When the report arrived.
    pub received_at: Instant,
}

/// Load and cache of one target.
#[derive(Debug, Clone)]
pub struct Load {
    incarnation: id::Incarnation,
    sequence: u64,
    slots: u32,
    others_in_flight: f64,
    received_at: Instant,
    price: f64,
    cache: Cache,
    in_flight: u32,
    limit: Limit,
    detector: Detector,
    service_secs: f64,
}

/// How a request at a target ended, as far as it concerns the target's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A complete response arrived after this time.
    Answered(Duration),
    /// The target refused it before running it.
    Refused,
    /// The request was lost, the target could not be reached, or the deadline passed.
    Failed,
    /// The caller disconnected, which says nothing about the target.
    Cancelled,
}

/// Load and caches of all targets.
#[derive(Debug, Clone, Default)]
pub struct Table {
    loads: IndexMap<id::Target, Load>,
    /// Mean service time over all targets, in seconds.
    mean_service_secs: Option<f64>,
}

impl Table {
    /// Applies a report; outdated ones are ignored.
    pub fn observe(&mut self, target: &str, report: &Report, now: Instant) {
        let load = match self.loads.get_mut(target) {
            Some(load) if load.incarnation == report.incarnation => load,
            Some(load) if load.incarnation > report.incarnation => return,
            _ => {
                let load = Load::new(
                    report,
                    self.mean_service_secs.unwrap_or(DEFAULT_SERVICE_SECS),
                );
                self.loads.insert(target.to_owned(), load);
                return;
            }
        };
        if load.sequence < report.sequence {
            load.update(report, now);
        }
    }

    /// Removes targets that are not live, unless they have requests in flight.
    pub fn retain(&mut self, live: impl Fn(&str) -> bool) {
        self.loads
            .retain(|target, load| load.in_flight > 0 || live(target));
    }

    /// Returns the load of a target.
    pub fn get(&self, target: &str) -> Option<&Load> {
        self.loads.get(target)
    }

    /// Counts a request with these prefixes at a target and returns the target's incarnation.
    pub fn start(&mut self, target: &str, prefixes: &[u64], now: Instant) -> id::Incarnation {
        let Some(load) = self.loads.get_mut(target) else {
            return 0;
        };
        load.in_flight += 1;
        load.cache.record_sent(prefixes, now);
        load.incarnation
    }

    /// Ends the count of a request at an incarnation of a target.
    pub fn end(&mut self, target: &str, incarnation: id::Incarnation, end: End, now: Instant) {
        let Some(load) = self.loads.get_mut(target) else {
            return;
        };
        // The counts of an earlier incarnation were dropped with it.
        if load.incarnation != incarnation {
            return;
        }
        let before = load.in_flight;
        load.in_flight = before.saturating_sub(1);
        match end {
            End::Answered(elapsed) => {
                load.limit.answered(before);
                load.detector.answered();
                self.record_service_time(target, elapsed);
            }
            End::Refused => load.limit.refused(now),
            End::Failed => load.detector.failed(now),
            End::Cancelled => {}
        }
    }
}

impl Table {
    /// Records a service time; the means of all other targets drift towards the overall mean.
    fn record_service_time(&mut self, target: &str, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        // The first service time of any target is the best estimate for all.
        let mean = *self.mean_service_secs.get_or_insert_with(|| {
            self.loads
                .values_mut()
                .for_each(|load| load.service_secs = elapsed);
            elapsed
        });
        self.mean_service_secs = Some(mean + (elapsed - mean) * SERVICE_TIME_WEIGHT);
        for (name, load) in &mut self.loads {
            if name == target {
                load.service_secs += (elapsed - load.service_secs) * SERVICE_TIME_WEIGHT;
            } else {
                load.service_secs += (mean - load.service_secs) * DRIFT_WEIGHT;
            }
        }
    }
}

impl Load {
    fn new(report: &Report, service_secs: f64) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
            slots: report.slots.max(1),
            others_in_flight: f64::from(report.busy),
            received_at: report.received_at,
            price: report.price,
            cache: Cache::new(&report.prefixes, report.gap),
            in_flight: 0,
            limit: Limit::new(report.slots),
            detector: Detector::default(),
            service_secs,
        }
    }

    fn update(&mut self, report: &Report, now: Instant) {
        self.sequence = report.sequence;
        self.slots = report.slots.max(1);
        let others = f64::from(report.busy.saturating_sub(self.in_flight));
        self.others_in_flight += (others - self.others_in_flight) * REPORT_WEIGHT;
        self.received_at = report.received_at;
        self.price = report.price;
        self.cache.update(&report.prefixes, report.gap);
        self.limit.set_slots(report.slots);
        self.limit.reported(report.busy, now);
    }

    /// Returns the number of requests of this instance in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether this instance may send one more request.
    pub fn has_room(&self) -> bool {
        self.in_flight < self.limit.requests()
    }

    /// Returns the concurrency limit of this instance at the target.
    pub fn limit(&self) -> u32 {
        self.limit.requests()
    }

    /// Returns when the ejection ends; `None` if the target may be used now.
    pub fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.detector.ejected_until(now)
    }

    /// Returns the price of one busy second.
    pub const fn price(&self) -> f64 {
        self.price
    }

    /// Returns the mean service time.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_secs)
    }

    /// Returns the number of requests in flight at the target, with those of others estimated.
    pub fn estimated_in_flight(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.received_at)
            .as_secs_f64();
        f64::from(self.in_flight)
            + self.others_in_flight * 0.5_f64.powf(age / OTHERS_HALF_LIFE_SECS)
    }

    /// Returns the requests in flight at the target divided by its slots.
    pub fn utilization(&self, now: Instant) -> f64 {
        self.estimated_in_flight(now) / f64::from(self.slots)
    }

    /// Returns the expected time until one more request starts to run there.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let slots = f64::from(self.slots);
        let ahead = (self.estimated_in_flight(now) + 1.0 - slots).max(0.0);
        self.service_time().mul_f64(ahead / slots)
    }

    /// Returns how many leading blocks of a prompt are cached; uncertain ones count as a fraction.
    pub fn cached_blocks(&self, chain: &[u64], now: Instant) -> f64 {
        self.cache.leading_blocks(chain, now)
    }
}
