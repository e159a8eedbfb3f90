//! Retry budget: limits how often requests are sent again.
//!
//! When targets fail, each retry adds load where capacity is short already. All instances share one
//! limit: in any window, the retries of a service may not exceed a share of its requests plus a
//! fixed number. Each instance counts its own requests and takes its part of the fixed number, so
//! that the total stays below the limit without communication.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Buckets of a window. The bucket that is leaving the window still counts in full.
const BUCKETS: u32 = 20;
/// Share of the limit that is used. The rest covers instances that have just joined or left, which
/// the others count with a delay.
const BOUND_SHARE: f64 = 0.8;

/// Retry limit shared by all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, for all instances together.
    pub slack: u32,
}

impl Default for Bound {
    /// Returns a limit of a fifth of the requests within ten seconds, plus ten.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 10,
        }
    }
}

/// Retry budget of one instance for one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    requests: Window,
    retries: Window,
    instances: Window,
}

impl Budget {
    /// Creates a budget without requests.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            requests: Window::default(),
            retries: Window::default(),
            instances: Window::default(),
        }
    }

    /// Counts a request made by a caller.
    pub fn deposit(&mut self, now: Instant) {
        self.requests.add(now, self.bound.window, 1);
    }

    /// Takes one retry out of the budget and returns whether it held one; `instances` share the
    /// fixed number.
    pub fn withdraw(&mut self, now: Instant, instances: usize) -> bool {
        let figures = self.figures(now, instances);
        if f64::from(figures.retries + 1) > figures.allowed {
            return false;
        }
        self.retries.add(now, self.bound.window, 1);
        true
    }

    /// Returns what a decision made now would be based on.
    pub fn figures(&mut self, now: Instant, instances: usize) -> Figures {
        let window = self.bound.window;
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        // An instance that left a moment ago may have used its part within this window.
        self.instances.raise_to(now, window, instances);
        let share = f64::from(self.bound.slack) / f64::from(self.instances.highest(now, window));
        let requests = f64::from(self.requests.sum(now, window));
        let allowed = BOUND_SHARE * (self.bound.ratio * requests + share);
        Figures {
            requests: self.requests.sum(now, window),
            retries: self.retries.sum(now, window),
            allowed,
            instances: self.instances.highest(now, window),
        }
    }
}

/// What a decision on a retry is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Requests within the last window.
    pub requests: u32,
    /// Retries within the last window.
    pub retries: u32,
    /// Retries that may be made within the window.
    pub allowed: f64,
    /// Number of instances that share the fixed number.
    pub instances: u32,
}

/// Values by bucket of the window, oldest first.
#[derive(Debug, Default)]
struct Window(VecDeque<(Instant, u32)>);

impl Window {
    fn add(&mut self, now: Instant, window: Duration, amount: u32) {
        match self.bucket(now, window) {
            Some(bucket) => *bucket += amount,
            None => self.0.push_back((now, amount)),
        }
    }

    fn raise_to(&mut self, now: Instant, window: Duration, value: u32) {
        match self.bucket(now, window) {
            Some(bucket) => *bucket = value.max(*bucket),
            None => self.0.push_back((now, value)),
        }
    }

    fn bucket(&mut self, now: Instant, window: Duration) -> Option<&mut u32> {
        self.expire(now, window);
        let (since, bucket) = self.0.back_mut()?;
        (now < *since + window / BUCKETS).then_some(bucket)
    }

    fn sum(&mut self, now: Instant, window: Duration) -> u32 {
        self.expire(now, window);
        self.0.iter().map(|(_, count)| count).sum()
    }

    fn highest(&mut self, now: Instant, window: Duration) -> u32 {
        self.expire(now, window);
        self.0.iter().map(|(_, count)| *count).max().unwrap_or(1)
    }

    fn expire(&mut self, now: Instant, window: Duration) {
        let kept = window + window / BUCKETS;
        while self
            .0
            .front()
            .is_some_and(|(since, _)| *since + kept <= now)
        {
            self.0.pop_front();
        }
    }
}
