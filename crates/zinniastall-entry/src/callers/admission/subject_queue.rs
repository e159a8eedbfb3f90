//! Queue of requests that wait for one model or service.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::oneshot;
use zinniastall_model::id;
use zinniastall_route::{
    admit::{Id, Queue, Waiter},
    outcome::Refusal,
    policy::Policy,
    request::Request,
    spill::Gate,
};

use super::InFlight;

/// Maximum number of times that a request is passed over for one with a cached prefix.
const MAX_SKIPS: u32 = 8;
/// Weight of the latest sample in the moving average of start intervals.
const START_INTERVAL_WEIGHT: f64 = 0.05;

/// Queue of requests that wait for one model or service.
#[derive(Debug, Default)]
pub(super) struct SubjectQueue {
    /// Decides which share of requests is forwarded to other places.
    pub(super) gate: Gate,
    queue: Option<Queue>,
    entries: IndexMap<Id, Entry>,
    /// Time of the last start from the queue, while it is not empty.
    started: Option<Instant>,
    /// Moving average of the interval between starts, in seconds.
    start_interval: Option<f64>,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Entry {
    waiter: Waiter,
    /// Number of times that another request was started in its place.
    skipped: u32,
    /// The waiting request.
    pub(super) request: Request,
    /// Targets that have already failed it.
    pub(super) tried: Vec<id::Target>,
    /// Receives its grant.
    pub(super) sender: oneshot::Sender<InFlight>,
}

impl Entry {
    /// Returns the expected service time.
    pub(super) const fn service(&self) -> Duration {
        self.waiter.service_time
    }
}

/// Grants a start to a waiting request.
#[derive(Debug)]
pub(super) struct Grant {
    /// Channel to the waiting request.
    pub(super) sender: oneshot::Sender<InFlight>,
    /// The started request.
    pub(super) in_flight: InFlight,
}

impl SubjectQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the expected wait of a new request.
    pub(super) fn expected_wait(&self, expected: Duration) -> Duration {
        self.start_interval(expected)
            .saturating_mul(count(self.entries.len()))
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// See [`Queue::enqueue`].
    pub(super) fn enqueue(
        &mut self,
        policy: &Policy,
        waiter: Waiter,
        request: &Request,
        tried: &[id::Target],
        expected: Duration,
        now: Instant,
    ) -> Result<oneshot::Receiver<InFlight>, Refusal> {
        let start_interval = self.start_interval(expected);
        let queue = self
            .queue
            .get_or_insert_with(|| Queue::new(policy.max_queue_length()));
        queue.enqueue(&waiter, start_interval, now)?;
        let (sender, receiver) = oneshot::channel();
        let entry = Entry {
            waiter,
            skipped: 0,
            request: request.clone(),
            tried: tried.to_vec(),
            sender,
        };
        self.entries.insert(entry.waiter.id, entry);
        Ok(receiver)
    }

    /// Returns up to `count` requests that may start next, in order; only the first if it has been
    /// passed over too often.
    pub(super) fn next_entries(&self, count: usize) -> Vec<(Id, &Entry)> {
        let first = self.queue.as_ref().map(|queue| queue.peek(count));
        let first = first.unwrap_or_default().into_iter();
        let mut first: Vec<_> = first
            .filter_map(|id| Some((id, self.entries.get(&id)?)))
            .collect();
        if first
            .first()
            .is_some_and(|(_, entry)| entry.skipped >= MAX_SKIPS)
        {
            first.truncate(1);
        }
        first
    }

    /// Removes a request that starts now.
    pub(super) fn take(&mut self, id: Id, now: Instant) -> Option<Entry> {
        let queue = self.queue.as_mut()?;
        let head = queue.peek(1).first().copied();
        if let Some(skipped) = head.filter(|head| *head != id) {
            self.entries[&skipped].skipped += 1;
        }
        queue.take(id);
        let entry = self.entries.swap_remove(&id)?;
        if let Some(started) = self.started {
            let interval = now.saturating_duration_since(started).as_secs_f64();
            let mean = self.start_interval.unwrap_or(interval);
            self.start_interval = Some(mean + (interval - mean) * START_INTERVAL_WEIGHT);
        }
        self.started = (!self.entries.is_empty()).then_some(now);
        Some(entry)
    }

    /// Returns the observed interval between starts, but at least the expected one. Other instances
    /// use the same targets, so the observed interval may be longer.
    pub(super) fn start_interval(&self, expected: Duration) -> Duration {
        self.start_interval
            .map_or(expected, |mean| Duration::from_secs_f64(mean).max(expected))
    }

    /// Removes a request that stopped waiting.
    pub(super) fn remove(&mut self, id: Id) {
        if let Some(queue) = &mut self.queue {
            queue.remove(id);
        }
        self.entries.swap_remove(&id);
    }

    /// Returns a waiting request.
    pub(super) fn get(&self, id: Id) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns the number of requests ahead of a waiting one.
    pub(super) fn ahead(&self, id: Id) -> u32 {
        let waiter = self.entries.get(&id).map(|entry| &entry.waiter);
        let ahead = self.queue.as_ref().zip(waiter);
        count(ahead.map_or(0, |(queue, waiter)| queue.ahead_of(waiter)))
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
