//! A retry budget that all instances of a system share without asking each other.
//!
//! When targets fail, each retry adds load where capacity is short already. In any window, the
//! retries of a service may not exceed a share of the requests made for it plus a fixed number. That
//! bound is one quantity of the whole system; it holds over all runs of all instances, whether they
//! see each other or not:
//!
//! - **Earned part.** A retry is paid for by requests that the same run received, in the very window
//!   in which it is made ([`Budget`]). Requests are counted once, by the run that received them, so
//!   the parts of all runs add up to a share of all requests, also of runs that end within the window
//!   and of callers that move from one instance to another.
//! - **Fixed part.** A run holds an equal share of the fixed number while it is in touch with the
//!   system ([`Division`]). A run begins as if it had just spent its share: the run before it may
//!   have.
//!
//! A retry counts from the decision until its target has answered, so that one which is kept waiting
//! can't arrive in a window that doesn't know of it ([`Grant`]).
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use zinniastall_coord::retry::{Bound, Budgets, Division};
//!
//! let bound = Bound { window: Duration::from_secs(10), ratio: 0.2, slack: 20 };
//! let start = Instant::now();
//! let mut division = Division::new(bound.window);
//! let mut now = start;
//! while now < start + Duration::from_secs(20) {
//!     division.observe(true, 2, now);
//!     now += Duration::from_secs(1);
//! }
//! let budgets = Budgets::new(bound);
//! budgets.deposit("chat", now);
//! let share = division.share();
//! let grants: Vec<_> = (0..20).map_while(|_| budgets.reserve("chat", share, now).ok()).collect();
//! assert_eq!(grants.len(), 10, "half of the fixed number");
//! ```

mod budget;
mod budgets;
mod division;

use std::time::Duration;

pub use budget::{Budget, Denial};
pub use budgets::{Budgets, Grant};
pub use division::{Division, SETTLING, Share};

/// Limit on the retries of a service, over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition.
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

impl Bound {
    /// Sets the window over which requests and retries are counted.
    #[must_use]
    pub const fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the number of retries allowed per request.
    #[must_use]
    pub const fn ratio(mut self, ratio: f64) -> Self {
        self.ratio = ratio;
        self
    }

    /// Sets the number of retries allowed in addition.
    #[must_use]
    pub const fn slack(mut self, slack: u32) -> Self {
        self.slack = slack;
        self
    }
}
