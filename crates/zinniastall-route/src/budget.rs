//! The budget of retries.
//!
//! After an outage of half the targets every request fails once. If each were simply tried again,
//! the other half would get twice its load at the moment when it is weakest. Retries are therefore paid from
//! a budget that requests fill: over any longer time they are at most a share of the requests.

/// Retries that may be saved up, so that single failures at low load are always retried.
const MOST: f64 = 10.0;

/// The budget of retries.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    saved: f64,
}

impl Budget {
    /// Creates a full budget; `share` is the number of retries that one request pays for.
    pub const fn new(share: f64) -> Self {
        Self { share, saved: MOST }
    }

    /// Takes note of a request.
    pub fn request(&mut self) {
        self.saved = (self.saved + self.share).min(MOST);
    }

    /// Takes one retry out, if there is one.
    pub fn retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
