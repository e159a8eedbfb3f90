//! Remembers how long the latest requests of each route took.
//!
//! A deadline says how long a caller waits, which may be many times what a request takes. Whether one
//! can still end before its instance stops is told by the runs before it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::id;

/// Runs that are remembered of a route.
const MAX_RUNS: usize = 64;
/// Time after its last run at which a route is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);

/// Times that the latest requests of each route took, from their arrival to the end of their answers.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: IndexMap<id::Name, Runs>,
}

#[derive(Debug)]
struct Runs {
    latest: VecDeque<Duration>,
    last: Instant,
}

impl RunTimes {
    /// Records that a request of a route took this long.
    pub fn record(&mut self, route: &str, took: Duration, now: Instant) {
        let runs = match self.routes.get_index_of(route) {
            Some(at) => &mut self.routes[at],
            None => self.add(route, now),
        };
        if runs.latest.len() == MAX_RUNS {
            runs.latest.pop_front();
        }
        runs.latest.push_back(took);
        runs.last = now;
    }

    /// Returns the longest time that one of the latest requests of a route took, if there were any.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        self.routes.get(route)?.latest.iter().max().copied()
    }

    fn add(&mut self, route: &str, now: Instant) -> &mut Runs {
        let is_idle = |runs: &Runs| now.saturating_duration_since(runs.last) >= IDLE_TIMEOUT;
        self.routes.retain(|_, runs| !is_idle(runs));
        let runs = self.routes.entry(route.to_owned());
        runs.or_insert_with(|| Runs {
            latest: VecDeque::with_capacity(MAX_RUNS),
            last: now,
        })
    }
}
