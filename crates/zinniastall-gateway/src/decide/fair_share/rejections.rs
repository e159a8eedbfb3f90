//! Share of requests that were rejected for lack of room within the last second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Span over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest span, if the last second had fewer than [`MIN_COUNTED`] requests.
const MAX_WINDOW: Duration = Duration::from_secs(3);
/// Number of requests from which a shorter span suffices. Of 30 requests, none is rejected in every
/// fifth span even if one in twenty finds no room, and shares would cease again and again.
const MIN_COUNTED: u32 = 100;
/// Span of the buckets in which requests leave the count.
const BUCKET: Duration = Duration::from_millis(50);
/// Rejected share above which shares begin to apply. Below it a short queue at some targets is the
/// usual cause.
const START: f64 = 0.05;
/// Rejected share from which shares apply in full, once they do.
const FULL: f64 = 0.03;
/// Rejected share below which shares cease to apply.
const END: f64 = 0.01;
/// Least number of requests by which rejections are divided, so that one rejection of few requests
/// does not count as overload.
const MIN_REQUESTS: u32 = 20;

/// How far shares apply.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    /// Share of requests that were rejected for lack of room.
    pub rejected: f64,
    /// 1 where shares apply in full, 0 where they do not apply.
    pub strength: f64,
}

/// Counts of the last second.
#[derive(Debug, Default)]
pub(super) struct Rejections {
    buckets: VecDeque<Bucket>,
    /// Requests in all buckets.
    requests: u32,
    active_at: Option<Instant>,
}

#[derive(Debug)]
struct Bucket {
    since: Instant,
    requests: u32,
    rejections: u32,
}

impl Pressure {
    /// Returns the part of the capacity that is left beside the retries of rejected requests, each of
    /// which returns once.
    pub(super) fn free(&self) -> f64 {
        1.0 / (1.0 + (self.rejected - FULL).max(0.0))
    }
}

impl Rejections {
    /// Counts a request that is about to be placed.
    pub(super) fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
        self.requests += 1;
    }

    /// Counts a request that was rejected for lack of room.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        self.bucket(now).rejections += 1;
    }

    /// Returns how far shares apply.
    ///
    /// They begin above [`START`]. From then on their strength follows the rejected share, so that
    /// it settles where a few percent of the admitted requests find no room: a request that is not
    /// rejected for its share is nearly always served, and no capacity stays unused. They cease when
    /// the rejected share has been below [`END`] for [`MAX_WINDOW`].
    pub(super) fn pressure(&mut self, now: Instant) -> Pressure {
        self.expire(now);
        let rejections: u32 = self.buckets.iter().map(|bucket| bucket.rejections).sum();
        let rejected = f64::from(rejections) / f64::from(self.requests.max(MIN_REQUESTS));
        let rejected = rejected.min(1.0);
        if rejected > START || (rejected >= END && self.is_active(now)) {
            self.active_at = Some(now);
        }
        let strength = if self.is_active(now) {
            (rejected / FULL).min(1.0)
        } else {
            0.0
        };
        Pressure { rejected, strength }
    }

    fn is_active(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_WINDOW;
        self.active_at.is_some_and(is_recent)
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        self.expire(now);
        let is_open = |bucket: &Bucket| now < bucket.since + BUCKET;
        if !self.buckets.back().is_some_and(is_open) {
            self.buckets.push_back(Bucket {
                since: now,
                requests: 0,
                rejections: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn expire(&mut self, now: Instant) {
        while let Some(first) = self.buckets.front() {
            let age = now.saturating_duration_since(first.since);
            let is_dispensable = age >= WINDOW && self.requests - first.requests >= MIN_COUNTED;
            if age < MAX_WINDOW && !is_dispensable {
                return;
            }
            self.requests -= first.requests;
            self.buckets.pop_front();
        }
    }
}
