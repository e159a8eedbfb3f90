//! Makes the items of one maker.

use std::hash::Hash;

use indexmap::IndexMap;

use super::{Item, Renewal};

/// The items that one maker has made.
#[derive(Debug)]
pub struct Author<K, M, V> {
    maker: M,
    incarnation: u64,
    sequence: u64,
    values: IndexMap<K, V>,
}

impl<K: Clone + Eq + Hash, M: Clone, V: Clone + PartialEq> Author<K, M, V> {
    /// Creates a maker's run.
    pub fn new(maker: M, incarnation: u64) -> Self {
        Self {
            maker,
            incarnation,
            sequence: 0,
            values: IndexMap::new(),
        }
    }

    /// Makes an item if the value differs from the last one; `None` withdraws the key.
    ///
    /// Values should be coarse: each difference is sent to everybody.
    pub fn make(&mut self, key: K, value: Option<V>) -> Option<Item<K, M, V>> {
        if self.values.get(&key) == value.as_ref() {
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

    /// Forgets what was made, so that every value is made anew; numbers go on.
    ///
    /// A maker that takes over again finds the other maker's items in every table. Its own old
    /// ones have been replaced there, so an unchanged value has to be sent again.
    pub fn forget(&mut self) {
        self.values.clear();
    }

    /// Returns the value that a key was last given.
    pub fn value(&self, key: &K) -> Option<&V> {
        self.values.get(key)
    }

    /// Returns the keys that have a value.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.values.keys()
    }

    /// Vouches for all items so far.
    pub fn renewal(&self) -> Renewal<M> {
        Renewal {
            maker: self.maker.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            age_ms: 0,
        }
    }
}
