//! Pending digests of one link.

use std::{hash::Hash, time::Instant};

use indexmap::IndexSet;

use super::{Item, Renewal, Table};

/// Items and renewals that are sent together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch<K, M, V> {
    /// Items.
    pub items: Vec<Item<K, M, V>>,
    /// Renewals.
    pub renewals: Vec<Renewal<M>>,
}

/// Keys and makers whose newest state a link still has to carry.
///
/// It holds keys instead of values: a key that changes three times before its turn is sent once.
#[derive(Debug)]
pub struct Outbox<K, M> {
    keys: IndexSet<K>,
    makers: IndexSet<M>,
}

impl<K, M> Default for Outbox<K, M> {
    fn default() -> Self {
        Self {
            keys: IndexSet::new(),
            makers: IndexSet::new(),
        }
    }
}

impl<K: Clone + Eq + Hash, M: Clone + Eq + Hash> Outbox<K, M> {
    /// Creates the outbox of a new link, with everything in the table that passes the filters.
    pub fn from_table<V: Clone>(
        table: &Table<K, M, V>,
        key: impl Fn(&K) -> bool,
        maker: impl Fn(&M) -> bool,
    ) -> Self {
        let (keys, makers) = table.contents();
        Self {
            keys: keys.into_iter().filter(key).collect(),
            makers: makers.into_iter().filter(maker).collect(),
        }
    }

    /// Adds a key.
    pub fn push(&mut self, key: K) {
        self.keys.insert(key);
    }

    /// Adds a maker whose renewal is to be sent.
    pub fn renew(&mut self, maker: M) {
        self.makers.insert(maker);
    }

    /// Returns the number of pending keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && self.makers.is_empty()
    }

    /// Removes and returns what fits into `bytes`, in the order of arrival; `size` estimates the
    /// size of an item.
    pub fn take<V: Clone>(
        &mut self,
        table: &Table<K, M, V>,
        bytes: u64,
        size: impl Fn(&Item<K, M, V>) -> u64,
        now: Instant,
    ) -> Batch<K, M, V> {
        let mut budget = bytes;
        let mut items = Vec::new();
        let mut taken = 0;
        for key in &self.keys {
            let item = table.item(key, now);
            let cost = item.as_ref().map_or(0, &size);
            if cost > budget {
                break;
            }
            budget -= cost;
            taken += 1;
            items.extend(item);
        }
        self.keys.drain(..taken);
        let renewals = self.take_renewals(table, now);
        Batch { items, renewals }
    }

    /// Removes and returns the renewals of makers that have no pending items.
    fn take_renewals<V: Clone>(&mut self, table: &Table<K, M, V>, now: Instant) -> Vec<Renewal<M>> {
        let waiting: IndexSet<&M> = self
            .keys
            .iter()
            .filter_map(|key| table.maker(key))
            .collect();
        let ready: Vec<M> = self
            .makers
            .iter()
            .filter(|maker| !waiting.contains(maker))
            .cloned()
            .collect();
        for maker in &ready {
            self.makers.swap_remove(maker);
        }
        ready
            .iter()
            .filter_map(|maker| table.renewal(maker, now))
            .collect()
    }
}
