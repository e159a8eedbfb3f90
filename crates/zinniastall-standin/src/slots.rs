//! Slots: limit the requests that a stand-in runs at once, and measure the load that it reports.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots of a stand-in and the queue for them.
#[derive(Debug, Clone)]
pub struct Slots {
    semaphore: Arc<Semaphore>,
    /// Running and waiting requests.
    in_flight: Arc<AtomicUsize>,
    max_in_flight: usize,
    max_running: usize,
    /// Samples of the load, oldest first.
    history: Arc<Mutex<VecDeque<(Instant, usize)>>>,
}

/// The slot of a running request; freed on drop.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
    _guard: Guard,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
struct Guard(Arc<AtomicUsize>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Slots {
    /// Creates slots and a queue of requests that may wait for them.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slots)),
            in_flight: Arc::default(),
            max_in_flight: slots + queue,
            max_running: slots,
            history: Arc::default(),
        }
    }

    /// Waits for a slot; returns `None` at once when the queue is full.
    pub async fn acquire(&self) -> Option<Slot> {
        let guard = Guard(Arc::clone(&self.in_flight));
        // Counted before the check, so that two requests at once cannot both take the last place.
        let in_flight = self.in_flight.fetch_add(1, Ordering::AcqRel);
        if in_flight >= self.max_in_flight {
            return None;
        }
        let permit = Arc::clone(&self.semaphore).acquire_owned().await.ok()?;
        Some(Slot {
            _permit: permit,
            _guard: guard,
        })
    }

    /// Returns the number of slots.
    pub const fn slots(&self) -> usize {
        self.max_running
    }

    /// Returns the number of running and waiting requests.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Samples the load and returns the newest sample that is at least `lag` old, or 0.
    pub fn lagged_load(&self, lag: Duration) -> usize {
        let now = Instant::now();
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push_back((now, self.in_flight()));
        let old_enough = |sample: &(Instant, usize)| now.duration_since(sample.0) >= lag;
        while history.get(1).is_some_and(old_enough) {
            history.pop_front();
        }
        history
            .front()
            .filter(|sample| old_enough(sample))
            .map_or(0, |sample| sample.1)
    }
}
