//! When a routing table counts as in force.
//!
//! A gateway instance that is suspended or cut off may act by an earlier table until its lease on it
//! ends; see [`zinniastall_coord::confirmation`]. A table that forbids what an earlier one permits, and
//! what can't be undone, is therefore acknowledged only after that time. Nobody has to know the
//! instances for it.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use zinniastall_coord::confirmation::SETTLE_TIME;
use zinniastall_model::routing::{Publication, narrows};

/// Replaced tables that are kept for comparison.
const MAX_REPLACED: usize = 8;

/// Tables that instances may still act by, and until when.
#[derive(Debug, Default)]
pub(super) struct Settling {
    /// Tables that were replaced within [`SETTLE_TIME`], oldest first.
    replaced: VecDeque<(Instant, Arc<Publication>)>,
    until: Option<Instant>,
}

impl Settling {
    /// Records a table of which it isn't known what it replaced, such as that of a snapshot.
    pub(super) fn begin(&mut self, held: Option<&Arc<Publication>>, now: Instant) {
        if held.is_some() {
            self.until = Some(now + SETTLE_TIME);
        }
    }

    /// Records that a table was replaced; returns how long the next one settles.
    pub(super) fn replace(
        &mut self,
        before: Arc<Publication>,
        after: &Publication,
        now: Instant,
    ) -> Duration {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= SETTLE_TIME;
        self.replaced.retain(|(since, _)| !is_over(*since));
        self.replaced.push_back((now, before));
        let mut held = self.replaced.iter();
        let is_narrower = held.any(|(_, held)| narrows(&held.table, &after.table));
        // A table that isn't compared any more may have permitted anything.
        let is_full = self.replaced.len() > MAX_REPLACED;
        if is_full {
            self.replaced.pop_front();
        }
        if is_narrower || is_full {
            self.until = Some(now + SETTLE_TIME);
        }
        self.left(now)
    }

    /// Returns the time until all that was recorded counts as in force.
    pub(super) fn left(&self, now: Instant) -> Duration {
        let left = |until: Instant| until.saturating_duration_since(now);
        self.until.map_or(Duration::ZERO, left)
    }
}
