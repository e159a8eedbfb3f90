//! Fourth filter: whether a request may wait, and who goes next.
//!
//! Requests wait at the instance while all targets are at their limits. Classes go by priority,
//! clients of a class by their weights. A request that cannot meet its deadline
//! is refused on arrival: refusing late would spend the caller's deadline in a queue and leave no
//! time to try again elsewhere.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::id;

use crate::{
    lane::Lane,
    outcome::{Reason, Refusal},
};

/// Every so many starts the last class with waiting requests goes first, so that a long peak of a
/// higher class cannot stop it altogether.
const LAST_GOES: u64 = 8;
/// Share of the queue from which on no client may hold more than its own share of it.
const CROWDED: f64 = 0.5;

/// Part of the time left that wait and work may take. Expected times are means: a request that just
/// fits is late half of the time, and then it has cost a target work for nothing.
const SAFE: f64 = 0.8;

/// Number of a waiting request.
pub type Id = u64;

/// A request that wants to wait.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Its number.
    pub id: Id,
    /// Client.
    pub client: id::Client,
    /// Weight of the client's share.
    pub weight: u32,
    /// Place of its class in the order of priority.
    pub rank: usize,
    /// When its answer is due.
    pub deadline: Instant,
    /// Time that it will take once it starts.
    pub service: Duration,
}

/// Requests that wait for one model or service.
#[derive(Debug)]
pub struct Queue {
    lanes: BTreeMap<usize, Lane>,
    limit: usize,
    length: usize,
    starts: u64,
}

impl Queue {
    /// Creates a queue of at most `limit` requests.
    pub const fn new(limit: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            limit,
            length: 0,
            starts: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether none waits.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Lets a request wait or refuses it at once; `pace` is the mean time from start to start.
    ///
    /// Returns the wait that it has to expect.
    ///
    /// # Errors
    ///
    /// A refusal that says when to come back: [`Reason::Full`], [`Reason::Share`] and
    /// [`Reason::Late`].
    pub fn arrive(
        &mut self,
        waiter: &Waiter,
        pace: Duration,
        now: Instant,
    ) -> Result<Duration, Refusal> {
        let all = pace.saturating_mul(count(self.length));
        if self.length >= self.limit {
            return Err(Refusal::not_run(Reason::Full).retry(all));
        }
        let wait = pace.saturating_mul(count(self.ahead_of(waiter)));
        if self.exceeds_share(waiter) {
            return Err(Refusal::not_run(Reason::Share).retry(wait.max(pace)));
        }
        let left = waiter.deadline.saturating_duration_since(now);
        if wait + waiter.service > left.mul_f64(SAFE) {
            return Err(Refusal::not_run(Reason::Late).retry(wait.max(pace)));
        }
        self.push(waiter);
        Ok(wait)
    }

    /// Takes the request out that goes next.
    pub fn pop(&mut self) -> Option<Id> {
        let id = *self.first(1).first()?;
        self.take(id).then_some(id)
    }

    /// Returns up to `count` requests out of those that go next, the one whose turn it is first.
    pub fn first(&self, count: usize) -> Vec<Id> {
        self.lane().map_or_else(Vec::new, |lane| lane.first(count))
    }

    /// Takes one of the requests out that [`Queue::first`] named, in place of the one whose turn it
    /// is; it counts against its own client's share.
    pub fn take(&mut self, id: Id) -> bool {
        let taken = self.lanes.values_mut().any(|lane| lane.take(id));
        self.starts += u64::from(taken);
        self.length -= usize::from(taken);
        taken
    }

    /// Takes a request out that does not want to wait any longer.
    pub fn remove(&mut self, id: Id) -> bool {
        let removed = self.lanes.values_mut().any(|lane| lane.remove(id));
        self.length -= usize::from(removed);
        removed
    }

    /// Returns how many waiting requests go before one, which may be a new one.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        let higher = self.lanes.range(..waiter.rank);
        let higher: usize = higher.map(|(_, lane)| lane.length).sum();
        let lane = self.lanes.get(&waiter.rank);
        higher + lane.map_or(0, |lane| lane.ahead(waiter))
    }

    /// Returns the class whose turn it is.
    fn lane(&self) -> Option<&Lane> {
        let mut waiting = self.lanes.values().filter(|lane| lane.length > 0);
        if (self.starts + 1).is_multiple_of(LAST_GOES) {
            waiting.next_back()
        } else {
            waiting.next()
        }
    }

    /// Returns whether a client has its share of a crowded queue.
    #[expect(clippy::cast_precision_loss, reason = "counts of requests")]
    fn exceeds_share(&self, waiter: &Waiter) -> bool {
        if (self.length as f64) < self.limit as f64 * CROWDED {
            return false;
        }
        let waiting = |client: &str| {
            let lanes = self.lanes.values();
            let shares = lanes.filter_map(|lane| lane.shares.get(client));
            shares.map(|share| share.waiting.len()).sum::<usize>()
        };
        let mut weights: IndexMap<&str, f64> = IndexMap::new();
        let lanes = self.lanes.values();
        for (client, share) in lanes.flat_map(|lane| &lane.shares) {
            if !share.waiting.is_empty() {
                weights.insert(client, share.weight);
            }
        }
        let own = f64::from(waiter.weight.max(1));
        weights.insert(&waiter.client, own);
        let permitted = self.limit as f64 * own / weights.values().sum::<f64>();
        waiting(&waiter.client) as f64 >= permitted
    }

    fn push(&mut self, waiter: &Waiter) {
        self.lanes.entry(waiter.rank).or_default().push(waiter);
        self.length += 1;
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
