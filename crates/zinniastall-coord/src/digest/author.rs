//! Creation of the items of one maker.

use std::hash::Hash;

use indexmap::{IndexMap, IndexSet};

use super::{Item, Renewal};

/// The items that one maker has published.
#[derive(Debug)]
pub struct Author<K, M, V> {
    maker: M,
    incarnation: u64,
    sequence: u64,
    values: IndexMap<K, V>,
    /// Keys whose items have to be published again.
    hidden: IndexSet<K>,
}

impl<K: Clone + Eq + Hash, M: Clone, V: Clone + PartialEq> Author<K, M, V> {
    /// Creates the author for one run of a maker.
    pub fn new(maker: M, incarnation: u64) -> Self {
        Self {
            maker,
            incarnation,
            sequence: 0,
            values: IndexMap::new(),
            hidden: IndexSet::new(),
        }
    }

    /// Creates an item if the value differs from the last one; `None` withdraws the key.
    ///
    /// Values should be coarse: each change is sent to every instance.
    pub fn make(&mut self, key: K, value: Option<V>) -> Option<Item<K, M, V>> {
        let is_hidden = self.hidden.swap_remove(&key);
        if self.values.get(&key) == value.as_ref() && !is_hidden {
            return None;
        }
        match value.clone() {
            Some(value) => drop(self.values.insert(key.clone(), value)),
            None => drop(self.values.swap_remove(&key)),
        }
        self.sequence += 1;
        Some(Item {
            key,
            maker: self.maker.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            age_ms: 0,
            value,
        })
    }

    /// Forgets all values, so that each is published again; the numbering continues.
    ///
    /// A maker that takes over a group again finds the items of the previous maker in every table.
    /// Its own old items have been replaced there, so unchanged values must be sent again.
    pub fn forget(&mut self) {
        self.values.clear();
    }

    /// Records that another maker's items may hide all of this one's, so that each is published again.
    pub fn hide(&mut self)
    where
        K: Clone,
    {
        self.hidden = self.values.keys().cloned().collect();
    }

    /// Returns whether the item of a key has to be published again although its value is the same.
    pub fn is_hidden(&self, key: &K) -> bool {
        self.hidden.contains(key)
    }

    /// Returns the last value of a key.
    pub fn value(&self, key: &K) -> Option<&V> {
        self.values.get(key)
    }

    /// Returns the keys that have a value.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.values.keys()
    }

    /// Returns a renewal of all items so far.
    pub fn renewal(&self) -> Renewal<M> {
        Renewal {
            maker: self.maker.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            age_ms: 0,
        }
    }
}
