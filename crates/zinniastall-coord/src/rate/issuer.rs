//! Issue of permits by a server's coordinator.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Rate;

/// Longest time for which a permit is issued in advance.
pub const MAX_PATIENCE: Duration = Duration::from_millis(500);
/// Time in which an issuer that takes over issues nothing: the permits that the former one issued in
/// advance are used in it.
pub const TAKEOVER_DELAY: Duration = MAX_PATIENCE;
/// Share of a rate that is issued. Requests that are issued evenly arrive in small groups, and the
/// server counts arrivals.
const ISSUED_SHARE: f64 = 0.95;
/// Unused permits are kept for this time. Requests that come together needn't wait for each other
/// at a rate of dozens per second.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time after the last permit after which a server is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time after which an instance asks again that asked one which is not the coordinator.
const NOT_COORDINATOR_RETRY: Duration = Duration::from_millis(100);
/// Maximum number of servers; an instance coordinates a part of its region's.
const MAX_SERVERS: usize = 4_096;

/// Request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Rate of the server.
    pub rate: Rate,
    /// Longest time for which the request would wait for its permit.
    pub patience: Duration,
}

impl Demand {
    /// Returns the demand at no more than the rate that a server named, as far as it is known.
    #[must_use]
    pub fn at_most(self, named: Option<Rate>) -> Self {
        let rate = named.map_or(self.rate, |named| named.min(self.rate));
        Self { rate, ..self }
    }
}

/// Answer to a [`Demand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// One request may be sent after the given time.
    Granted {
        /// Time until the request may be sent.
        wait: Duration,
        /// Time until the next permit after this one.
        next: Duration,
    },
    /// No permit is available within the patience of the demand.
    Denied {
        /// Time until a permit is available.
        next: Duration,
    },
}

impl Verdict {
    /// Answer of an instance that is not the server's coordinator, by its own view.
    pub const NOT_COORDINATOR: Self = Self::Denied {
        next: NOT_COORDINATOR_RETRY,
    };
}

/// Permits issued for the servers that one instance coordinates.
#[derive(Debug, Default)]
pub struct Issuer {
    buckets: IndexMap<String, Bucket>,
}

/// Permits of one server, by the generic cell rate algorithm.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// When the last permit was due at an even pace.
    last: Instant,
}

impl Bucket {
    fn new(interval: Duration, now: Instant) -> Self {
        let first = now + TAKEOVER_DELAY.max(interval) + BURST_TIME;
        Self {
            last: first.checked_sub(interval).unwrap_or(now),
        }
    }

    fn acquire(&mut self, interval: Duration, patience: Duration, now: Instant) -> Verdict {
        let due = self.last + interval;
        let wait = wait_for(due, now);
        if wait > patience.min(MAX_PATIENCE) {
            return Verdict::Denied { next: wait };
        }
        self.last = due.max(now);
        Verdict::Granted {
            wait,
            next: wait_for(self.last + interval, now),
        }
    }
}

/// Returns the time until a permit that is due at a time may be used.
fn wait_for(due: Instant, now: Instant) -> Duration {
    due.saturating_duration_since(now)
        .saturating_sub(BURST_TIME)
}

impl Issuer {
    /// Issues a permit for a request to a server, or denies it.
    pub fn acquire(&mut self, server: &str, demand: Demand, now: Instant) -> Verdict {
        let interval = demand.rate.mul_f64(ISSUED_SHARE).interval();
        if let Some(bucket) = self.buckets.get_mut(server) {
            return bucket.acquire(interval, demand.patience, now);
        }
        if self.buckets.len() >= MAX_SERVERS {
            return Verdict::Denied { next: interval };
        }
        let mut bucket = Bucket::new(interval, now);
        let verdict = bucket.acquire(interval, demand.patience, now);
        self.buckets.insert(server.to_owned(), bucket);
        verdict
    }

    /// Forgets the servers that this instance no longer coordinates, and those that are idle.
    ///
    /// Whoever coordinated a server meanwhile may have issued permits, so this instance starts anew
    /// if it coordinates the server again.
    pub fn retain(&mut self, coordinates: impl Fn(&str) -> bool, now: Instant) {
        self.buckets.retain(|server, bucket| {
            let idle = now.saturating_duration_since(bucket.last);
            idle < IDLE_TIMEOUT && coordinates(server)
        });
    }

    /// Forgets all servers, because the process was suspended and others may have taken over.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }
}
