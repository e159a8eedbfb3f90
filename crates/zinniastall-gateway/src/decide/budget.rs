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
const PARTS: u32 = 20;
/// Part of the bound that is used. The rest is for instances that have just joined or left, whom the
/// others count late.
const USED: f64 = 0.8;

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
    requests: Count,
    repeats: Count,
    instances: Count,
}

impl Budget {
    /// Creates an empty account.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            requests: Count::default(),
            repeats: Count::default(),
            instances: Count::default(),
        }
    }

    /// Counts a request that a caller made.
    pub fn request(&mut self, now: Instant) {
        self.requests.add(now, self.bound.window, 1);
    }

    /// Takes one repeat out of the account, if it holds one; `instances` share the fixed number.
    pub fn repeat(&mut self, now: Instant, instances: usize) -> bool {
        let window = self.bound.window;
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        // Whoever left a moment ago may have used its part within this window.
        self.instances.top(now, window, instances);
        let share = f64::from(self.bound.slack) / f64::from(self.instances.most(now, window));
        let requests = f64::from(self.requests.sum(now, window));
        let allowed = USED * (self.bound.ratio * requests + share);
        if f64::from(self.repeats.sum(now, window) + 1) > allowed {
            return false;
        }
        self.repeats.add(now, window, 1);
        true
    }
}

/// Numbers by part of the window, oldest first.
#[derive(Debug, Default)]
struct Count(VecDeque<(Instant, u32)>);

impl Count {
    fn add(&mut self, now: Instant, window: Duration, amount: u32) {
        match self.part(now, window) {
            Some(part) => *part += amount,
            None => self.0.push_back((now, amount)),
        }
    }

    fn top(&mut self, now: Instant, window: Duration, value: u32) {
        match self.part(now, window) {
            Some(part) => *part = value.max(*part),
            None => self.0.push_back((now, value)),
        }
    }

    fn part(&mut self, now: Instant, window: Duration) -> Option<&mut u32> {
        self.expire(now, window);
        let (since, part) = self.0.back_mut()?;
        (now < *since + window / PARTS).then_some(part)
    }

    fn sum(&mut self, now: Instant, window: Duration) -> u32 {
        self.expire(now, window);
        self.0.iter().map(|(_, count)| count).sum()
    }

    fn most(&mut self, now: Instant, window: Duration) -> u32 {
        self.expire(now, window);
        self.0.iter().map(|(_, count)| *count).max().unwrap_or(1)
    }

    fn expire(&mut self, now: Instant, window: Duration) {
        let kept = window + window / PARTS;
        while self
            .0
            .front()
            .is_some_and(|(since, _)| *since + kept <= now)
        {
            self.0.pop_front();
        }
    }
}
