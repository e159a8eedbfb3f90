//! How often requests may be sent a second time.
//!
//! When targets fail, each request that is tried again adds load where there is too little capacity
//! already. All instances share one bound: in any window a service may get a share of the requests
//! made for it, and a fixed number more, as repeats. An instance counts its own requests, and takes
//! its part of the fixed number, so that the sum stays under the bound without a word between them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Parts into which a window is cut; what lies in the part that is leaving the window still counts.
const BUCKETS: u32 = 20;
/// Part of the bound that is used. The rest is for instances that have just joined or left, whom the
/// others count late.
const BOUND_SHARE: f64 = 0.8;

/// The bound, as all instances share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Window over which is counted.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those, of all instances together.
    pub slack: u32,
}

impl Default for Bound {
    /// A fifth of the requests of ten seconds and ten more.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 10,
        }
    }
}

/// One instance's account for one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    requests: Window,
    retries: Window,
    instances: Window,
}

impl Budget {
    /// Creates an empty account.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            requests: Window::default(),
            retries: Window::default(),
            instances: Window::default(),
        }
    }

    /// Counts a request that a caller made.
    pub fn deposit(&mut self, now: Instant) {
        self.requests.add(now, self.bound.window, 1);
    }

    /// Takes one repeat out of the account, if it holds one; `instances` share the fixed number.
    pub fn withdraw(&mut self, now: Instant, instances: usize) -> bool {
        let window = self.bound.window;
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        // Whoever left a moment ago may have used its part within this window.
        self.instances.raise_to(now, window, instances);
        let share = f64::from(self.bound.slack) / f64::from(self.instances.highest(now, window));
        let requests = f64::from(self.requests.sum(now, window));
        let allowed = BOUND_SHARE * (self.bound.ratio * requests + share);
        if f64::from(self.retries.sum(now, window) + 1) > allowed {
            return false;
        }
        self.retries.add(now, window, 1);
        true
    }
}

/// Numbers by part of the window, oldest first.
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
