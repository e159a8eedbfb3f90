//! What one link still has to carry.

use std::{hash::Hash, time::Instant};

use indexmap::IndexSet;

use super::{Item, Renewal, Table};

/// Items and renewals that go out together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch<K, M, V> {
    /// Items.
    pub items: Vec<Item<K, M, V>>,
    /// Renewals.
    pub renewals: Vec<Renewal<M>>,
}

/// Keys and makers whose newest state a link still has to carry.
///
/// It holds names, not values: a key that changes three times before its turn goes out once.
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
    /// Creates an outbox for a new link, with all that the table holds and the filters let pass.
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

    /// Adds a maker's renewal.
    pub fn renew(&mut self, maker: M) {
        self.makers.insert(maker);
    }

    /// Returns how many keys wait.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && self.makers.is_empty()
    }

    /// Takes what fits into a number of bytes, oldest waiting first; `size` estimates an item.
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

    /// Takes the renewals of makers none of whose items wait.
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
