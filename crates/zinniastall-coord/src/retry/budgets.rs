//! Budgets of one run of an instance, by service.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use indexmap::IndexMap;

use super::{Bound, Budget, Denial, Share};

/// Budgets of one run of an instance, by service; clones share them.
#[derive(Debug, Clone)]
pub struct Budgets {
    bound: Bound,
    held: Arc<Mutex<IndexMap<String, Held>>>,
}

#[derive(Debug)]
struct Held {
    budget: Budget,
    /// Retries that ended since the budget was last used; they count as made when it is used next.
    ended: u32,
}

/// Right to send one request once more.
///
/// It counts until it is dropped, and from then on as a retry made at that time if it was sent.
#[derive(Debug)]
pub struct Grant {
    budgets: Budgets,
    service: String,
    is_sent: bool,
}

impl Budgets {
    /// Creates the budgets of a run that begins.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            held: Arc::default(),
        }
    }

    /// Counts a request that a caller made for a service.
    pub fn deposit(&self, service: &str, now: Instant) {
        self.with(service, now, |budget| budget.deposit(now));
    }

    /// Grants a retry of a request for a service.
    ///
    /// # Errors
    ///
    /// Returns the [`Denial`] if the budget is exhausted.
    pub fn reserve(
        &self,
        service: &str,
        share: Option<Share>,
        now: Instant,
    ) -> Result<Grant, Denial> {
        self.with(service, now, |budget| budget.reserve(share, now))?;
        Ok(Grant {
            budgets: self.clone(),
            service: service.to_owned(),
            is_sent: false,
        })
    }

    fn with<T>(&self, service: &str, now: Instant, work: impl FnOnce(&mut Budget) -> T) -> T {
        let mut held = self.lock();
        if !held.contains_key(service) {
            let new = Held {
                budget: Budget::new(self.bound, now),
                ended: 0,
            };
            held.insert(service.to_owned(), new);
        }
        let held = &mut held[service];
        for _ in 0..std::mem::take(&mut held.ended) {
            held.budget.settle(now);
        }
        work(&mut held.budget)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Held>> {
        // Counts are consistent between statements, so they stay usable after a panic.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Grant {
    /// Records whether the request was sent.
    pub const fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(held) = self.budgets.lock().get_mut(&self.service) {
            if self.is_sent {
                held.ended += 1;
            } else {
                held.budget.release();
            }
        }
    }
}
