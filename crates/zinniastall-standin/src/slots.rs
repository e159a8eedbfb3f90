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
    free: Arc<Semaphore>,
    /// Requests that run or wait.
    busy: Arc<AtomicUsize>,
    limit: usize,
    most: usize,
    history: Arc<Mutex<VecDeque<(Instant, usize)>>>,
}

/// A request's slot; freed on drop.
#[derive(Debug)]
pub struct Slot {
    _permit: OwnedSemaphorePermit,
    _place: Place,
}

/// A place among running and waiting requests.
#[derive(Debug)]
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Slots {
    /// Creates slots with a queue before them.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(slots)),
            busy: Arc::default(),
            limit: slots + queue,
            most: slots,
            history: Arc::default(),
        }
    }

    /// Waits for a slot; `None` at once when the queue is full.
    pub async fn take(&self) -> Option<Slot> {
        let place = Place(Arc::clone(&self.busy));
        // The place counts before it is judged, so that two at once cannot both be the last.
        let before = self.busy.fetch_add(1, Ordering::AcqRel);
        if before >= self.limit {
            return None;
        }
        let permit = Arc::clone(&self.free).acquire_owned().await.ok()?;
        Some(Slot {
            _permit: permit,
            _place: place,
        })
    }

    /// Returns how many there are.
    pub const fn slots(&self) -> usize {
        self.most
    }

    /// Returns how many requests run or wait.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    /// Notes the load now and returns the newest that is at least `lag` old.
    pub fn report(&self, lag: Duration) -> usize {
        let now = Instant::now();
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push_back((now, self.busy()));
        let old = |entry: &(Instant, usize)| now.duration_since(entry.0) >= lag;
        while history.get(1).is_some_and(old) {
            history.pop_front();
        }
        history
            .front()
            .filter(|entry| old(entry))
            .map_or(0, |entry| entry.1)
    }
}
