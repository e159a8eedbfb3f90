//! Fourth filter: admission control, and the order in which waiting requests start.
//!
//! Requests wait at the instance while all targets are at their limits. Classes are served by
//! priority, and clients of a class by weighted fair queueing. A request that cannot meet its
//! deadline is refused on arrival: a later refusal would spend the time that the caller needs to
//! try again elsewhere.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::id;

use crate::{
    fair_queue::FairQueue,
    outcome::{Reason, Refusal},
};

/// Every start whose number is a multiple of this goes to the lowest waiting class, so that a long
/// peak of higher classes cannot starve it.
const LOWEST_CLASS_INTERVAL: u64 = 8;
/// Filled share of the queue from which each client is limited to its weighted share of it.
const CROWDED_SHARE: f64 = 0.5;

/// Share of the time left that the expected wait and service may take. Expected times are means: a
/// request that just fits would miss its deadline half of the time and waste a target's work.
const FEASIBLE_TIME_SHARE: f64 = 0.8;

/// Number of a waiting request.
pub type Id = u64;

/// A request to enqueue.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Number of the request.
    pub id: Id,
    /// Client that the request belongs to.
    pub client: id::Client,
    /// Weight of the client's share.
    pub weight: u32,
    /// Position of its class in the order of priority, from 0.
    pub rank: usize,
    /// When its response is due.
    pub deadline: Instant,
    /// Expected service time once it starts.
    pub service_time: Duration,
}

/// Requests that wait for one model or service, by rank of their class.
#[derive(Debug)]
pub struct Queue {
    classes: BTreeMap<usize, FairQueue>,
    limit: usize,
    length: usize,
    starts: u64,
}

impl Queue {
    /// Creates a queue of at most `limit` requests.
    pub const fn new(limit: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            limit,
            length: 0,
            starts: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request, or refuses it at once; `start_interval` is the mean time between starts.
    ///
    /// Returns the expected wait.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::QueueFull`], [`Reason::ShareUsedUp`] or [`Reason::DeadlineNotFeasible`],
    /// each with the time after which to retry.
    pub fn enqueue(
        &mut self,
        waiter: &Waiter,
        start_interval: Duration,
        now: Instant,
    ) -> Result<Duration, Refusal> {
        let total_wait = start_interval.saturating_mul(count(self.length));
        if self.length >= self.limit {
            return Err(Refusal::not_run(Reason::QueueFull).retry_after(total_wait));
        }
        let wait = start_interval.saturating_mul(count(self.ahead_of(waiter)));
        if self.exceeds_share(waiter) {
            return Err(Refusal::not_run(Reason::ShareUsedUp).retry_after(wait.max(start_interval)));
        }
        let time_left = waiter.deadline.saturating_duration_since(now);
        if wait + waiter.service_time > time_left.mul_f64(FEASIBLE_TIME_SHARE) {
            return Err(
                Refusal::not_run(Reason::DeadlineNotFeasible).retry_after(wait.max(start_interval))
            );
        }
        self.push(waiter);
        Ok(wait)
    }

    /// Removes and returns the request that starts next.
    pub fn pop(&mut self) -> Option<Id> {
        let id = *self.peek(1).first()?;
        self.take(id).then_some(id)
    }

    /// Returns up to `count` requests of the class that is served next, the next to start first.
    pub fn peek(&self, count: usize) -> Vec<Id> {
        self.next_class()
            .map_or_else(Vec::new, |class| class.peek(count))
    }

    /// Removes a request returned by [`Queue::peek`] because it starts, possibly ahead of the first
    /// one; the start is charged to its own client.
    pub fn take(&mut self, id: Id) -> bool {
        let taken = self.classes.values_mut().any(|class| class.take(id));
        self.starts += u64::from(taken);
        self.length -= usize::from(taken);
        taken
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, id: Id) -> bool {
        let removed = self.classes.values_mut().any(|class| class.remove(id));
        self.length -= usize::from(removed);
        removed
    }

    /// Returns how many waiting requests start before this one, which may not be queued yet.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        let higher = self.classes.range(..waiter.rank);
        let higher: usize = higher.map(|(_, class)| class.length).sum();
        let class = self.classes.get(&waiter.rank);
        higher + class.map_or(0, |class| class.ahead(waiter))
    }

    /// Returns the queue of the class that is served next.
    fn next_class(&self) -> Option<&FairQueue> {
        let mut waiting = self.classes.values().filter(|class| class.length > 0);
        if (self.starts + 1).is_multiple_of(LOWEST_CLASS_INTERVAL) {
            waiting.next_back()
        } else {
            waiting.next()
        }
    }

    /// Returns whether a client already holds its share of a crowded queue.
    #[expect(clippy::cast_precision_loss, reason = "counts of requests")]
    fn exceeds_share(&self, waiter: &Waiter) -> bool {
        if (self.length as f64) < self.limit as f64 * CROWDED_SHARE {
            return false;
        }
        let waiting = |client: &str| {
            let classes = self.classes.values();
            let flows = classes.filter_map(|class| class.flows.get(client));
            flows.map(|flow| flow.waiting.len()).sum::<usize>()
        };
        let mut weights: IndexMap<&str, f64> = IndexMap::new();
        let classes = self.classes.values();
        for (client, flow) in classes.flat_map(|class| &class.flows) {
            if !flow.waiting.is_empty() {
                weights.insert(client, flow.weight);
            }
        }
        let own = f64::from(waiter.weight.max(1));
        weights.insert(&waiter.client, own);
        let permitted = self.limit as f64 * own / weights.values().sum::<f64>();
        waiting(&waiter.client) as f64 >= permitted
    }

    fn push(&mut self, waiter: &Waiter) {
        self.classes.entry(waiter.rank).or_default().push(waiter);
        self.length += 1;
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
