//! Budget of one run of an instance for one service.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{Bound, Share};

/// Buckets of a window.
const BUCKETS: u32 = 40;
/// Share of the ratio that requests earn for the window in which they are made.
const EARNED: f64 = 0.55;
/// Share of the ratio that requests earn for the window after it. An instance with few requests and a part
/// of the fixed number that is less than one retry could make none otherwise.
const CARRIED: f64 = 0.43;

/// Requests and retries of one run of an instance for one service.
///
/// Since each moment `t` within the last window, at most as many retries are granted as the sum of
///
/// - `EARNED` of the ratio, for each request since `t`,
/// - `CARRIED` of the ratio, for each request of the window before `t`, and
/// - this instance's share of the fixed number.
///
/// Summed over all runs, this bounds the retries of any window by the requests made in it and in the
/// one before it, wherever these were received.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    origin: Instant,
    /// Buckets of the last two windows, oldest first; the last one has the number `current`.
    buckets: VecDeque<Bucket>,
    current: u64,
    /// Retries that were granted and are not settled.
    pending: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Why a retry was not granted, and what the decision was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Denial {
    /// Time over which the budget is exhausted, up to now.
    pub span: Duration,
    /// Requests within that time that earn retries.
    pub requests: u32,
    /// Retries granted within that time.
    pub retries: u32,
    /// Retries allowed within that time.
    pub allowed: f64,
    /// Number of instances that divide the fixed number; `None` if this instance holds no share.
    pub instances: Option<u32>,
}

impl Denial {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self.instances {
            Some(_) => "exhausted",
            None => "exhausted-without-share",
        }
    }
}

impl Budget {
    /// Creates the budget of a run that begins.
    pub fn new(bound: Bound, now: Instant) -> Self {
        Self {
            bound,
            origin: now,
            buckets: VecDeque::from([Bucket::default()]),
            current: 0,
            pending: 0,
        }
    }

    /// Counts a request made by a caller.
    pub fn deposit(&mut self, now: Instant) {
        let bucket = self.bucket(now);
        bucket.requests = bucket.requests.saturating_add(1);
    }

    /// Grants a retry, which counts as pending until it is settled.
    ///
    /// # Errors
    ///
    /// Returns the [`Denial`] if the budget is exhausted.
    pub fn reserve(&mut self, share: Option<Share>, now: Instant) -> Result<(), Denial> {
        self.bucket(now);
        let share = share.filter(|share| now < share.until);
        if let Some(denial) = self.exhausted(share) {
            return Err(denial);
        }
        self.pending += 1;
        Ok(())
    }

    /// Counts a pending retry as made at a time; its target has answered, or is not waited for any
    /// more.
    pub fn settle(&mut self, now: Instant) {
        self.release();
        let bucket = self.bucket(now);
        bucket.retries = bucket.retries.saturating_add(1);
    }

    /// Takes back a pending retry that was not sent.
    pub const fn release(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Returns the first time, from the shortest to the whole window, over which one more retry would
    /// exceed the budget.
    fn exhausted(&self, share: Option<Share>) -> Option<Denial> {
        let fixed = share.map_or(0.0, |share| {
            f64::from(self.bound.slack) / f64::from(share.instances.max(1))
        });
        let spent_until = share.and_then(|share| self.number_at(share.since));
        let (mut retries, mut requests) = (self.pending, 0);
        for age in 0..=BUCKETS {
            let Some(bucket) = self.aged(age) else { break };
            retries += bucket.retries;
            // The time may begin at any moment of its oldest bucket, so only later requests count.
            let number = self.current - u64::from(age);
            let has_share = spent_until.is_none_or(|spent| number > spent);
            let earned = EARNED * f64::from(requests) + CARRIED * f64::from(self.before(age));
            let allowed = self.bound.ratio * earned + if has_share { fixed } else { 0.0 };
            if f64::from(retries + 1) > allowed {
                return Some(Denial {
                    span: self.bound.window * (age + 1) / BUCKETS,
                    requests,
                    retries,
                    allowed,
                    instances: share.map(|share| share.instances),
                });
            }
            requests += bucket.requests;
        }
        None
    }

    /// Returns the requests of the window before any moment of a bucket.
    fn before(&self, age: u32) -> u32 {
        let earlier = (age + 1..age + BUCKETS).map_while(|age| self.aged(age));
        earlier.map(|bucket| bucket.requests).sum()
    }

    /// Returns the bucket of an age in buckets, if the run had begun by then.
    fn aged(&self, age: u32) -> Option<Bucket> {
        let last = self.buckets.len().checked_sub(1)?;
        let at = last.checked_sub(usize::try_from(age).ok()?)?;
        self.buckets.get(at).copied()
    }

    /// Returns the current bucket.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let number = self.number_at(now).unwrap_or(0).max(self.current);
        let kept = 2 * BUCKETS as usize + 1;
        let passed = usize::try_from(number - self.current).unwrap_or(usize::MAX);
        for _ in 0..passed.min(kept) {
            self.buckets.push_back(Bucket::default());
        }
        let surplus = self.buckets.len().saturating_sub(kept);
        self.buckets.drain(..surplus);
        self.current = number;
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Returns the number of the bucket of a moment, or `None` if the run had not begun by then.
    fn number_at(&self, moment: Instant) -> Option<u64> {
        let since = moment.checked_duration_since(self.origin)?;
        let length = (self.bound.window / BUCKETS).max(Duration::from_nanos(1));
        u64::try_from(since.as_nanos() / length.as_nanos()).ok()
    }
}
