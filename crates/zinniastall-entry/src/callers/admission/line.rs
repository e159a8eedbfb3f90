//! Waiting requests of one model or service, with what is needed to start them.

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

use super::Flight;

/// Times that a request may be passed over for one that a target has cached.
const PASSED: u32 = 8;
/// Weight of the newest value in the mean time from start to start.
const NEWEST: f64 = 0.05;

/// Waiting requests of one model or service.
#[derive(Debug, Default)]
pub(super) struct Line {
    /// Share of requests that goes elsewhere.
    pub(super) gate: Gate,
    queue: Option<Queue>,
    turns: IndexMap<Id, Turn>,
    /// Last start out of the queue, while it is not empty.
    started: Option<Instant>,
    /// Mean time from start to start, in seconds.
    pace: Option<f64>,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct Turn {
    waiter: Waiter,
    /// How often another one went in its turn.
    passed: u32,
    /// The request.
    pub(super) request: Request,
    /// Targets that have failed it already.
    pub(super) tried: Vec<id::Target>,
    /// Where its grant goes.
    pub(super) sender: oneshot::Sender<Flight>,
}

impl Turn {
    /// Returns the time that the request will take once it starts.
    pub(super) const fn service(&self) -> Duration {
        self.waiter.service
    }
}

/// A start that is to be told to a waiting request.
#[derive(Debug)]
pub(super) struct Grant {
    /// Where it goes.
    pub(super) sender: oneshot::Sender<Flight>,
    /// The start.
    pub(super) flight: Flight,
}

impl Line {
    pub(super) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Returns the expected wait of a further request.
    pub(super) fn wait(&self, expected: Duration) -> Duration {
        self.pace(expected).saturating_mul(count(self.turns.len()))
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// See [`Queue::arrive`].
    pub(super) fn arrive(
        &mut self,
        policy: &Policy,
        waiter: Waiter,
        request: &Request,
        tried: &[id::Target],
        expected: Duration,
        now: Instant,
    ) -> Result<oneshot::Receiver<Flight>, Refusal> {
        let pace = self.pace(expected);
        let queue = self
            .queue
            .get_or_insert_with(|| Queue::new(policy.longest_queue()));
        queue.arrive(&waiter, pace, now)?;
        let (sender, receiver) = oneshot::channel();
        let turn = Turn {
            waiter,
            passed: 0,
            request: request.clone(),
            tried: tried.to_vec(),
            sender,
        };
        self.turns.insert(turn.waiter.id, turn);
        Ok(receiver)
    }

    /// Returns requests that may go next, the one whose turn it is first; only that one if it has
    /// been passed over often enough.
    pub(super) fn first(&self, count: usize) -> Vec<(Id, &Turn)> {
        let first = self.queue.as_ref().map(|queue| queue.first(count));
        let first = first.unwrap_or_default().into_iter();
        let mut first: Vec<_> = first
            .filter_map(|id| Some((id, self.turns.get(&id)?)))
            .collect();
        if first.first().is_some_and(|(_, turn)| turn.passed >= PASSED) {
            first.truncate(1);
        }
        first
    }

    /// Takes out a request that goes now.
    pub(super) fn take(&mut self, id: Id, now: Instant) -> Option<Turn> {
        let queue = self.queue.as_mut()?;
        let head = queue.first(1).first().copied();
        if let Some(passed) = head.filter(|head| *head != id) {
            self.turns[&passed].passed += 1;
        }
        queue.take(id);
        let turn = self.turns.swap_remove(&id)?;
        if let Some(started) = self.started {
            let took = now.saturating_duration_since(started).as_secs_f64();
            let mean = self.pace.unwrap_or(took);
            self.pace = Some(mean + (took - mean) * NEWEST);
        }
        self.started = (!self.turns.is_empty()).then_some(now);
        Some(turn)
    }

    /// Returns the time from start to start as it was seen, or else as it is expected. Other
    /// instances use the same targets, so what was seen counts.
    pub(super) fn pace(&self, expected: Duration) -> Duration {
        self.pace
            .map_or(expected, |pace| Duration::from_secs_f64(pace).max(expected))
    }

    /// Takes out a request that does not want to wait any longer.
    pub(super) fn remove(&mut self, id: Id) {
        if let Some(queue) = &mut self.queue {
            queue.remove(id);
        }
        self.turns.swap_remove(&id);
    }

    /// Returns a waiting request.
    pub(super) fn turn(&self, id: Id) -> Option<&Turn> {
        self.turns.get(&id)
    }

    /// Returns how many waiting requests go before one.
    pub(super) fn ahead(&self, id: Id) -> u32 {
        let waiter = self.turns.get(&id).map(|turn| &turn.waiter);
        let ahead = self.queue.as_ref().zip(waiter);
        count(ahead.map_or(0, |(queue, waiter)| queue.ahead_of(waiter)))
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
