//! Waiting requests of one class, shared out between clients.
//!
//! Clients of a class go by their weights, so that one client's burst does not starve the others
//! (start-time fair queueing; Goyal, Vin and Cheng, 1996).

use std::collections::VecDeque;

use indexmap::IndexMap;
use zinniastall_model::id;

use crate::admit::{Id, Waiter};

/// Waiting requests of one class.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub(crate) shares: IndexMap<id::Client, Share>,
    clock: f64,
    pub(crate) length: usize,
}

/// Waiting requests of one client.
#[derive(Debug)]
pub(crate) struct Share {
    pub(crate) weight: f64,
    next: f64,
    pub(crate) waiting: VecDeque<Id>,
}

impl Lane {
    pub(crate) fn push(&mut self, waiter: &Waiter) {
        self.share(waiter).waiting.push_back(waiter.id);
        self.length += 1;
    }

    fn share(&mut self, waiter: &Waiter) -> &mut Share {
        let clock = self.clock;
        let share = self
            .shares
            .entry(waiter.client.clone())
            .or_insert_with(|| Share {
                weight: 1.0,
                next: clock,
                waiting: VecDeque::new(),
            });
        share.weight = f64::from(waiter.weight.max(1));
        if share.waiting.is_empty() {
            // A client that was away has no claim to the time it did not use.
            share.next = share.next.max(clock);
        }
        share
    }

    /// Returns requests in the order of shares, several of a client one after the other.
    pub(crate) fn first(&self, count: usize) -> Vec<Id> {
        let waiting = self.shares.values();
        let mut waiting: Vec<_> = waiting.filter(|share| !share.waiting.is_empty()).collect();
        waiting.sort_by(|a, b| a.next.total_cmp(&b.next));
        let requests = waiting.iter().flat_map(|share| &share.waiting);
        requests.take(count).copied().collect()
    }

    pub(crate) fn take(&mut self, id: Id) -> bool {
        let mut shares = self.shares.values_mut();
        let Some(share) = shares.find(|share| share.waiting.contains(&id)) else {
            return false;
        };
        share.waiting.retain(|waiting| *waiting != id);
        self.clock = self.clock.max(share.next);
        share.next += 1.0 / share.weight;
        self.length -= 1;
        self.forget_idle();
        true
    }

    /// Forgets clients that have caught up, so that the table is bounded by who waits.
    fn forget_idle(&mut self) {
        let clock = self.clock;
        self.shares
            .retain(|_, share| !share.waiting.is_empty() || share.next > clock);
    }

    pub(crate) fn remove(&mut self, id: Id) -> bool {
        for share in self.shares.values_mut() {
            if let Some(index) = share.waiting.iter().position(|waiting| *waiting == id) {
                share.waiting.remove(index);
                self.length -= 1;
                return true;
            }
        }
        false
    }

    /// Returns how many go before a request of a client, when all shares are served by weight.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "counts of requests"
    )]
    pub(crate) fn ahead(&self, waiter: &Waiter) -> usize {
        let own = self.shares.get(&waiter.client);
        let own = own.map_or(0, |share| {
            let place = share.waiting.iter().position(|id| *id == waiter.id);
            place.unwrap_or(share.waiting.len())
        });
        let weight = f64::from(waiter.weight.max(1));
        let rounds = (own as f64 + 1.0) / weight;
        let others = self.shares.iter().filter(|(id, _)| **id != waiter.client);
        let before = others.map(|(_, share)| {
            let turns = (rounds * share.weight).floor() as usize;
            turns.min(share.waiting.len())
        });
        own + before.sum::<usize>()
    }
}
