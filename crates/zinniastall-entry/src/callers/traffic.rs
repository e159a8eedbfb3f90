//! Requests in progress, counted over all traffic threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use zinniastall_model::id;

/// Requests in progress, counted over all traffic threads.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    flights: Arc<Mutex<IndexMap<id::Target, u32>>>,
}

/// One request at one target; dropping it ends the count.
#[derive(Debug)]
pub struct Flight {
    traffic: Traffic,
    target: id::Target,
}

impl Traffic {
    /// Counts a request at a target.
    pub fn start(&self, target: &str) -> Flight {
        *self.lock().entry(target.to_owned()).or_default() += 1;
        Flight {
            traffic: self.clone(),
            target: target.to_owned(),
        }
    }

    /// Returns the requests in progress at a target.
    pub fn at(&self, target: &str) -> u32 {
        self.lock().get(target).copied().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<id::Target, u32>> {
        // Counts stay usable after a panic elsewhere.
        self.flights.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut flights = self.traffic.lock();
        if let Some(count) = flights.get_mut(&self.target) {
            *count -= 1;
            if *count == 0 {
                flights.swap_remove(&self.target);
            }
        }
    }
}
