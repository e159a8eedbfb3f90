//! Which control replica is asked for the configuration.
//!
//! A table of hundreds of routes takes a good part of a second on a small instance's link, and what callers send
//! waits behind it. So one replica is asked at a time, and another one only when it has not answered in time
//! or its link is gone.
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

/// The fetch in progress, if there is one.
#[derive(Debug, Default)]
pub struct Fetch {
    asked: Option<(Replica, Instant)>,
}

impl Fetch {
    /// Takes the turn for a replica, which is to be asked now.
    ///
    /// # Errors
    ///
    /// The time at which to try again, while another fetch is in progress. The replica that was asked last
    /// comes after all others.
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

    /// Notes that a replica's link is gone; tells whether a fetch ended with it.
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

    /// Notes that a configuration has come.
    pub fn finish(&mut self) {
        self.asked = None;
    }
}
