//! A byte budget.

use std::time::{Duration, Instant};

/// Time over which unspent budget accumulates; also limits the debt.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// A token bucket that may go into debt.
///
/// Traffic that can't wait, such as heartbeats, is charged whatever the balance is. Other traffic
/// is sent only from a positive balance, so that it yields to the first kind.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    balance: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: u32, now: Instant) -> Self {
        let rate = f64::from(bytes_per_second);
        Self {
            rate,
            balance: rate * BURST_WINDOW.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Charges bytes that were sent.
    #[expect(
        clippy::cast_precision_loss,
        reason = "bytes of one period are far below 2^52"
    )]
    pub fn charge(&mut self, bytes: u64) {
        let debt = self.rate * BURST_WINDOW.as_secs_f64();
        self.balance = (self.balance - bytes as f64).max(-debt);
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the balance is between 0 and twice a rate that fits 32 bits"
    )]
    pub fn available(&mut self, now: Instant) -> u64 {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        let capacity = self.rate * BURST_WINDOW.as_secs_f64();
        self.balance = (self.balance + self.rate * elapsed).min(capacity);
        self.balance.max(0.0) as u64
    }
}
