//! Weighted fair queue of one class.
//!
//! Clients of a class are served in proportion to their weights, so that a burst of one client does
//! not starve the others (start-time fair queueing; Goyal, Vin and Cheng, 1996).

use std::collections::VecDeque;

use indexmap::IndexMap;
use zinniastall_model::id;

use crate::admit::{Id, Waiter};

/// Waiting requests of one class, by client.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    pub(crate) flows: IndexMap<id::Client, Flow>,
    virtual_time: f64,
    pub(crate) length: usize,
}

/// Waiting requests of one client.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) weight: f64,
    start_tag: f64,
    pub(crate) waiting: VecDeque<Id>,
}

impl FairQueue {
    pub(crate) fn push(&mut self, waiter: &Waiter) {
        self.flow(waiter).waiting.push_back(waiter.id);
        self.length += 1;
    }

    fn flow(&mut self, waiter: &Waiter) -> &mut Flow {
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(waiter.client.clone())
            .or_insert_with(|| Flow {
                weight: 1.0,
                start_tag: virtual_time,
                waiting: VecDeque::new(),
            });
        flow.weight = f64::from(waiter.weight.max(1));
        if flow.waiting.is_empty() {
            // An idle client earns no credit for the time that it did not use.
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        flow
    }

    /// Returns requests by the start tag of their client; those of one client are adjacent.
    pub(crate) fn peek(&self, count: usize) -> Vec<Id> {
        let waiting = self.flows.values();
        let mut waiting: Vec<_> = waiting.filter(|flow| !flow.waiting.is_empty()).collect();
        waiting.sort_by(|a, b| a.start_tag.total_cmp(&b.start_tag));
        let requests = waiting.iter().flat_map(|flow| &flow.waiting);
        requests.take(count).copied().collect()
    }

    pub(crate) fn take(&mut self, id: Id) -> bool {
        let mut flows = self.flows.values_mut();
        let Some(flow) = flows.find(|flow| flow.waiting.contains(&id)) else {
            return false;
        };
        flow.waiting.retain(|waiting| *waiting != id);
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += 1.0 / flow.weight;
        self.length -= 1;
        self.remove_idle_flows();
        true
    }

    /// Removes idle clients whose start tag the virtual time has reached, so that the table is
    /// bounded by the waiting clients.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.start_tag > virtual_time);
    }

    pub(crate) fn remove(&mut self, id: Id) -> bool {
        for flow in self.flows.values_mut() {
            if let Some(index) = flow.waiting.iter().position(|waiting| *waiting == id) {
                flow.waiting.remove(index);
                self.length -= 1;
                return true;
            }
        }
        false
    }

    /// Returns how many requests start before one of a client if all clients are served by weight.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "counts of requests"
    )]
    pub(crate) fn ahead(&self, waiter: &Waiter) -> usize {
        let own = self.flows.get(&waiter.client);
        let own = own.map_or(0, |flow| {
            let index = flow.waiting.iter().position(|id| *id == waiter.id);
            index.unwrap_or(flow.waiting.len())
        });
        let weight = f64::from(waiter.weight.max(1));
        let rounds = (own as f64 + 1.0) / weight;
        let others = self.flows.iter().filter(|(id, _)| **id != waiter.client);
        let ahead = others.map(|(_, flow)| {
            let turns = (rounds * flow.weight).floor() as usize;
            turns.min(flow.waiting.len())
        });
        own + ahead.sum::<usize>()
    }
}
