//! Selects the control replica from which the configuration is fetched.
//!
//! A table of hundreds of routes occupies a small instance's link for a good part of a second and
//! delays callers' traffic. So one replica is asked at a time, and the next one only when it has
//! not answered in time or its link is gone.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//! use zinniastall_gateway::config_fetch::{Fetch, TIMEOUT};
//!
//! let (mut fetch, now) = (Fetch::default(), Instant::now());
//! assert_eq!(fetch.begin("a", now), Ok(()));
//! assert_eq!(fetch.begin("b", now), Err(now + TIMEOUT));
//! assert_eq!(fetch.begin("b", now + TIMEOUT), Ok(()));
//! ```

use std::time::{Duration, Instant};

use crate::cluster_state::Replica;

/// Time that a replica has to send the configuration before another one is asked.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// The fetch in progress, if any.
#[derive(Debug, Default)]
pub struct Fetch {
    asked: Option<(Replica, Instant)>,
}

impl Fetch {
    /// Starts a fetch from a replica.
    ///
    /// # Errors
    ///
    /// Returns the time of the next try while another fetch is in progress. The replica that was
    /// asked last has to wait twice as long as the others, so that they come first.
    pub fn begin(&mut self, replica: &str, now: Instant) -> Result<(), Instant> {
        if let Some((asked, since)) = &self.asked {
            let turns = if asked == replica { 2 } else { 1 };
            let due = *since + TIMEOUT * turns;
            if now < due {
                return Err(due);
            }
        }
        self.asked = Some((replica.to_owned(), now));
        Ok(())
    }

    /// Records that a replica's link is gone; returns whether that ended the fetch in progress.
    pub fn abandon(&mut self, replica: &str) -> bool {
        let is_asked = self
            .asked
            .as_ref()
            .is_some_and(|(asked, _)| asked == replica);
        if is_asked {
            self.asked = None;
        }
        is_asked
    }

    /// Records that a configuration has arrived.
    pub fn finish(&mut self) {
        self.asked = None;
    }
}
