//! Tokens by which an instance spends its part of a grant.

use std::time::{Duration, Instant};

use super::Amount;

/// Time in which unspent tokens accumulate.
const BURST: Duration = Duration::from_millis(500);
/// Tokens of one request, in thousandths.
const ONE_REQUEST: f64 = 1_000.0;

/// Tokens of one service and lending region.
///
/// A bucket begins empty. It holds at least one request however small the rate is, or an instance
/// with a small share could never send any. Prefill time may be overdrawn by one request, which
/// later ones pay back: otherwise a prompt longer than the whole burst would never be sent.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Amount,
    until: Instant,
    work: f64,
    requests: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket without a grant.
    pub const fn new(now: Instant) -> Self {
        Self {
            rate: Amount {
                work: 0,
                requests: 0,
            },
            until: now,
            work: 0.0,
            requests: 0.0,
            filled_at: now,
        }
    }

    /// Sets the rate at which tokens arrive, and when the grant ends.
    pub fn set(&mut self, rate: Amount, until: Instant, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.until = until;
        self.cap();
    }

    /// Returns whether the grant is in force and allows any request.
    pub fn is_live(&self, now: Instant) -> bool {
        now < self.until && !self.rate.is_zero()
    }

    /// Returns the requests that the tokens allow now, in thousandths.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.fill(now);
        self.requests
    }

    /// Returns whether there are tokens for a request with some prefill time, in microseconds.
    pub fn allows(&mut self, work: u64, now: Instant) -> bool {
        self.fill(now);
        self.is_live(now) && self.requests >= ONE_REQUEST && (work == 0 || self.work > 0.0)
    }

    /// Takes the tokens of a request with some prefill time, in microseconds; returns whether there
    /// were enough.
    pub fn take(&mut self, work: u64, now: Instant) -> bool {
        if !self.allows(work, now) {
            return false;
        }
        self.requests -= ONE_REQUEST;
        self.work -= as_f64(work);
        true
    }

    fn fill(&mut self, now: Instant) {
        let end = now.min(self.until);
        let seconds = end.saturating_duration_since(self.filled_at).as_secs_f64();
        self.work += as_f64(self.rate.work) * seconds;
        self.requests += as_f64(self.rate.requests) * seconds;
        self.filled_at = self.filled_at.max(now);
        if now >= self.until {
            self.rate = Amount::default();
            self.work = self.work.min(0.0);
            self.requests = 0.0;
        }
        self.cap();
    }

    fn cap(&mut self) {
        let burst = BURST.as_secs_f64();
        self.work = self.work.min(as_f64(self.rate.work) * burst);
        let requests = (as_f64(self.rate.requests) * burst).max(ONE_REQUEST);
        self.requests = self.requests.min(requests);
    }
}

#[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
const fn as_f64(value: u64) -> f64 {
    value as f64
}
