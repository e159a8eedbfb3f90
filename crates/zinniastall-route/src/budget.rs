//! Retry budget.
//!
//! After an outage of half the targets, every request fails once. If each were simply retried, the
//! other half would get twice its load when it can least take it. Retries are therefore withdrawn
//! from a budget to which requests deposit: over any longer period they are at most a fixed share
//! of the requests.

/// Maximum number of saved retries; enough to retry every isolated failure at low load.
const MAX_BALANCE: f64 = 10.0;

/// Retry budget.
#[derive(Debug, Clone)]
pub struct Budget {
    retry_ratio: f64,
    balance: f64,
}

impl Budget {
    /// Creates a full budget; `retry_ratio` is the number of retries that one request earns.
    pub const fn new(retry_ratio: f64) -> Self {
        Self {
            retry_ratio,
            balance: MAX_BALANCE,
        }
    }

    /// Deposits the share of a retry that a request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.retry_ratio).min(MAX_BALANCE);
    }

    /// Withdraws one retry and returns whether the budget held one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
