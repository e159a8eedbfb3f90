//! How long the configuration in force may be relied on.
//!
//! A key that was taken away must not open anything a while later, also at an instance that nobody can reach.
//! So an instance asks the control group, twice a second, which revision it has reached, and notes the moment
//! at which it asked. When a replica answers with the word of a majority, no change that was accepted before
//! that moment is missing here, as soon as that revision is in force. From that moment on the configuration
//! may be relied on for the length of a [`Lease`]: whatever narrows it is accepted after the moment, and has
//! its own bound from then on.
//!
//! Only the instance's own clock counts, one that goes on while the machine is suspended. However late an
//! answer comes, it is worth no more than the moment of its question.
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

/// Revisions that are waited for at most; the oldest is dropped.
const MAX_AWAITED_REVISIONS: usize = 8;

/// Up to when the configuration in force is known to have been the newest.
#[derive(Debug, Default)]
pub struct Freshness {
    confirmed: Option<Moment>,
    /// Moments by the revision that has to be in force for them.
    awaited: IndexMap<id::Revision, Moment>,
}

impl Freshness {
    /// Takes the group's word that it had reached a revision at a moment.
    pub fn record_answer(&mut self, asked: Moment, reached: id::Revision, held: id::Revision) {
        let moment = self.awaited.entry(reached).or_default();
        *moment = asked.max(*moment);
        if self.awaited.len() > MAX_AWAITED_REVISIONS {
            self.awaited.shift_remove_index(0);
        }
        self.set_current(held);
    }

    /// Notes which revision is in force.
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
    /// It may.
    Fresh,
    /// It has not been confirmed yet since this instance started.
    Unconfirmed,
    /// Its last confirmation is too old.
    Stale,
}

/// The time up to which the configuration may be relied on; clones share it.
#[derive(Debug, Clone)]
pub struct Lease {
    length: Option<Duration>,
    /// End in milliseconds since the machine started; 0 before the first confirmation.
    end_ms: Arc<AtomicU64>,
}

impl Lease {
    /// Creates a lease of a length; without one every configuration is relied on for good.
    pub fn new(length: Option<Duration>) -> Self {
        Self {
            length,
            end_ms: Arc::default(),
        }
    }

    /// Tells whether confirmations are needed at all.
    pub const fn is_needed(&self) -> bool {
        self.length.is_some()
    }

    /// Extends the lease from a moment at which the configuration in force was the newest. To be called once the
    /// request path sees that configuration.
    pub fn extend(&self, confirmed: Moment) {
        let Some(length) = self.length else {
            return;
        };
        let end = (confirmed + length).as_millis();
        let end = u64::try_from(end).unwrap_or(u64::MAX);
        self.end_ms.fetch_max(end, Ordering::SeqCst);
    }

    /// Tells whether a configuration that is read after this call may be relied on at a moment.
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
