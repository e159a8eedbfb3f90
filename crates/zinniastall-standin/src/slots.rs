//! Slots: how many requests a stand-in runs at once, and its load as others hear of it.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots of a stand-in.
#[derive(Debug, Clone)]
pub struct Slots {
    semaphore: Arc<Semaphore>,
    /// Requests that run or wait.
    in_flight: Arc<AtomicUsize>,
    max_in_flight: usize,
    slots: usize,
    history: Arc<Mutex<VecDeque<(Instant, usize)>>>,
}

/// A request's slot; freed on drop.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
    _guard: Guard,
}

/// A place among running and waiting requests.
#[derive(Debug)]
struct Guard(Arc<AtomicUsize>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Slots {
    /// Creates slots with a queue before them.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slots)),
            in_flight: Arc::default(),
            max_in_flight: slots + queue,
            slots,
            history: Arc::default(),
        }
    }

    /// Waits for a slot; `None` at once when the queue is full.
    pub async fn acquire(&self) -> Option<Slot> {
        let guard = Guard(Arc::clone(&self.in_flight));
        // The place counts before it is judged, so that two at once cannot both be the last.
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

    /// Returns how many there are.
    pub const fn slots(&self) -> usize {
        self.slots
    }

    /// Returns how many requests run or wait.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Notes the load now and returns the newest that is at least `lag` old.
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
