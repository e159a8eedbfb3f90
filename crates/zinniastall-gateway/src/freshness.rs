//! How long the configuration in force may be relied on.
//!
//! A revoked key must stop working within a bounded time, even at an instance that is cut off. So
//! an instance asks the control group twice a second which revision the group has reached, and
//! remembers when it asked. A replica answers on behalf of a majority; once the revision in the
//! answer is in force here, no change accepted before the question is missing. From the moment of
//! the question the configuration may be relied on for the duration of a [`Lease`]. A change that
//! restricts access and is accepted later gets its own bound from its own time of acceptance.
//!
//! Only the instance's own clock is used, one that keeps running while the machine is suspended. A
//! late answer confirms nothing beyond the moment of its question.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use zinniastall_gateway::freshness::Freshness;
//!
//! let mut freshness = Freshness::default();
//! let asked = Duration::from_secs(9);
//! freshness.record_answer(asked, 7, 6);
//! assert_eq!(freshness.confirmed(), None, "revision 7 is not in force yet");
//! freshness.set_current(7);
//! assert_eq!(freshness.confirmed(), Some(asked));
//! ```

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use indexmap::IndexMap;
use zinniastall_model::id;

use crate::clock::Moment;

/// Maximum number of confirmed revisions that are not in force yet; the oldest is dropped.
const MAX_AWAITED_REVISIONS: usize = 8;

/// Tracks until when the configuration in force is known to have been the newest.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed: Option<Moment>,
    /// Time of the last question, by the revision that has to be in force for it to count.
    awaited: IndexMap<id::Revision, Moment>,
}

impl Freshness {
    /// Records that the group had reached a revision when it was asked.
    pub fn record_answer(&mut self, asked: Moment, reached: id::Revision, held: id::Revision) {
        let moment = self.awaited.entry(reached).or_default();
        *moment = asked.max(*moment);
        if self.awaited.len() > MAX_AWAITED_REVISIONS {
            self.awaited.shift_remove_index(0);
        }
        self.set_current(held);
    }

    /// Sets the revision in force, which confirms the answers that awaited it.
    pub fn set_current(&mut self, held: id::Revision) {
        self.awaited.retain(|reached, moment| {
            let is_held = *reached <= held;
            if is_held {
                self.confirmed = self.confirmed.max(Some(*moment));
            }
            !is_held
        });
    }

    /// Returns the latest moment at which the configuration in force was the newest.
    pub const fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }
}

/// Whether a configuration may be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// Confirmed within the lease.
    Fresh,
    /// Not confirmed since this instance started.
    Unconfirmed,
    /// Confirmed too long ago.
    Stale,
}

impl Trust {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Unconfirmed => "unconfirmed",
            Self::Stale => "stale",
        }
    }
}

/// Lease on the configuration; clones share it.
#[derive(Debug, Clone)]
pub struct Lease {
    length: Option<Duration>,
    /// Expiry in milliseconds since the machine started; 0 before the first confirmation.
    end_ms: Arc<AtomicU64>,
}

impl Lease {
    /// Creates a lease with a duration; without one, every configuration may be relied on
    /// indefinitely.
    pub fn new(length: Option<Duration>) -> Self {
        Self {
            length,
            end_ms: Arc::default(),
        }
    }

    /// Extends the lease from a moment at which the configuration in force was the newest.
    ///
    /// Must only be called once the request path sees that configuration.
    pub fn extend(&self, confirmed: Moment) {
        let Some(length) = self.length else {
            return;
        };
        let end = (confirmed + length).as_millis();
        let end = u64::try_from(end).unwrap_or(u64::MAX);
        self.end_ms.fetch_max(end, Ordering::SeqCst);
    }

    /// Returns the time since the moment from which the lease was extended last; `None` before the
    /// first confirmation, and without a duration.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let end = self.end_ms.load(Ordering::SeqCst);
        let length = self.length.filter(|_| end > 0)?;
        Some((now + length).saturating_sub(Duration::from_millis(end)))
    }

    /// Returns whether a configuration that is read after this call may be relied on at a moment.
    pub fn trust(&self, now: Moment) -> Trust {
        if self.length.is_none() {
            return Trust::Fresh;
        }
        match self.end_ms.load(Ordering::SeqCst) {
            0 => Trust::Unconfirmed,
            end if now.as_millis() < u128::from(end) => Trust::Fresh,
            _ => Trust::Stale,
        }
    }
}
