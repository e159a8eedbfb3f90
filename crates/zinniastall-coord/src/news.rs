//! What an instance still has to tell the others.

use std::hash::Hash;

use indexmap::IndexMap;

/// Number of times that each piece of news is sent, because single datagrams get lost.
const SENDS_PER_NEWS: u8 = 2;

/// Instances that still have to be told of a piece of news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All instances.
    All,
    /// The other instances of this one's zone; collectors of other zones tell the rest.
    Zone,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    scope: Scope,
    sends_left: u8,
}

/// Keys whose values the others have not been told yet.
#[derive(Debug)]
pub struct News<K> {
    pending: IndexMap<K, Pending>,
}

impl<K> Default for News<K> {
    fn default() -> Self {
        Self {
            pending: IndexMap::new(),
        }
    }
}

impl<K: Hash + Eq + Clone> News<K> {
    /// Schedules a key's value to be sent, instead of an earlier value.
    pub fn schedule(&mut self, key: K, scope: Scope) {
        let pending = Pending {
            scope,
            sends_left: SENDS_PER_NEWS,
        };
        self.pending.insert(key, pending);
    }

    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the news to send now; each piece is returned several times in all. Keys without a value any
    /// more are left out.
    pub fn take<V>(&mut self, value: impl Fn(&K) -> Option<V>) -> Vec<(Scope, K, V)> {
        let news = self
            .pending
            .iter()
            .filter_map(|(key, pending)| Some((pending.scope, key.clone(), value(key)?)));
        let news = news.collect();
        self.pending.retain(|_, pending| {
            pending.sends_left -= 1;
            pending.sends_left > 0
        });
        news
    }
}
