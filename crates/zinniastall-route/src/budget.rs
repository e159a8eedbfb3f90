//! The budget of retries.
//!
//! After an outage of half the targets every request fails once. If each were simply tried again,
//! the other half would get twice its load at the moment when it is weakest. Retries are therefore paid from
//! a budget that requests fill: over any longer time they are at most a share of the requests.

/// Retries that may be saved up, so that single failures at low load are always retried.
const MAX_BALANCE: f64 = 10.0;

/// The budget of retries.
#[derive(Debug, Clone)]
pub struct Budget {
    retry_ratio: f64,
    balance: f64,
}

impl Budget {
    /// Creates a full budget; `share` is the number of retries that one request pays for.
    pub const fn new(retry_ratio: f64) -> Self {
        Self {
            retry_ratio,
            balance: MAX_BALANCE,
        }
    }

    /// Takes note of a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.retry_ratio).min(MAX_BALANCE);
    }

    /// Takes one retry out, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
