//! The newest item of each key, and its expiry.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Most keys held, so that a maker that invents keys can't make every process grow.
const MAX_KEYS: usize = 65_536;

/// A fact in transit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<K, M, V> {
    /// What it is about.
    #[serde(rename = "k")]
    pub key: K,
    /// Who published it.
    #[serde(rename = "m")]
    pub maker: M,
    /// Incarnation of the maker.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the item within that run.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Age when sent, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The fact; `None` withdraws it.
    #[serde(rename = "v")]
    pub value: Option<V>,
}

/// A maker's statement that its items up to a number still hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal<M> {
    /// Who makes the statement.
    #[serde(rename = "m")]
    pub maker: M,
    /// Incarnation of the maker.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of its last item.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Age when sent, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

#[derive(Debug)]
struct Record<M, V> {
    maker: M,
    incarnation: u64,
    sequence: u64,
    made: Instant,
    value: Option<V>,
}

#[derive(Debug)]
struct Confirmation {
    incarnation: u64,
    sequence: u64,
    made: Instant,
}

/// A fact that hasn't expired.
#[derive(Debug)]
pub struct Entry<'a, K, M, V> {
    /// What it is about.
    pub key: &'a K,
    /// Maker, its incarnation and the number of the item.
    pub maker: (&'a M, u64, u64),
    /// The fact.
    pub value: &'a V,
    /// When it was created or last renewed, on this process's clock.
    pub made: Instant,
}

/// The newest item of each key, and its expiry.
#[derive(Debug)]
pub struct Table<K, M, V> {
    horizon: Duration,
    records: IndexMap<K, Record<M, V>>,
    renewals: IndexMap<M, Confirmation>,
}

impl<K: Clone + Eq + Hash, M: Clone + Eq + Hash, V: Clone> Table<K, M, V> {
    /// Creates an empty table; an item expires when it hasn't been renewed for `horizon`.
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon,
            records: IndexMap::new(),
            renewals: IndexMap::new(),
        }
    }

    /// Applies an item; returns whether it is new and must be forwarded.
    pub fn apply(&mut self, item: Item<K, M, V>, now: Instant) -> bool {
        let Some(made) = self.creation_time(item.age_ms, now) else {
            return false;
        };
        if let Some(record) = self.records.get(&item.key) {
            let same_maker = record.maker == item.maker;
            let number = (item.incarnation, item.sequence);
            if same_maker && number <= (record.incarnation, record.sequence) {
                return false;
            }
            // Two makers may publish facts about a group while one takes over from the other. Their
            // numbers can't be compared, so the younger fact wins.
            if !same_maker && made <= self.confirmed_at(record) {
                return false;
            }
        } else if self.records.len() == MAX_KEYS {
            return false;
        }
        let record = Record {
            maker: item.maker,
            incarnation: item.incarnation,
            sequence: item.sequence,
            made,
            value: item.value,
        };
        self.records.insert(item.key, record);
        true
    }

    /// Applies a renewal; returns whether it is new and must be forwarded.
    pub fn renew(&mut self, renewal: &Renewal<M>, now: Instant) -> bool {
        let Some(made) = self.creation_time(renewal.age_ms, now) else {
            return false;
        };
        let number = (renewal.incarnation, renewal.sequence);
        if let Some(last) = self.renewals.get(&renewal.maker) {
            let known = (last.incarnation, last.sequence);
            // The same renewal arrives on several paths with slightly different ages; only a
            // clearly younger one is a later renewal.
            let later = made > last.made + self.horizon / 20;
            if number < known || !later {
                return false;
            }
        }
        self.renewals.insert(
            renewal.maker.clone(),
            Confirmation {
                incarnation: renewal.incarnation,
                sequence: renewal.sequence,
                made,
            },
        );
        true
    }

    /// Returns the facts that haven't expired.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = Entry<'_, K, M, V>> {
        let horizon = self.horizon;
        self.records.iter().filter_map(move |(key, record)| {
            let value = record.value.as_ref()?;
            let made = self.confirmed_at(record);
            let age = now.saturating_duration_since(made);
            (age <= horizon).then_some(Entry {
                key,
                maker: (&record.maker, record.incarnation, record.sequence),
                value,
                made,
            })
        })
    }

    /// Returns the item of a key with its current age, for sending.
    pub fn item(&self, key: &K, now: Instant) -> Option<Item<K, M, V>> {
        let record = self.records.get(key)?;
        Some(Item {
            key: key.clone(),
            maker: record.maker.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
            age_ms: millis(now.saturating_duration_since(self.confirmed_at(record))),
            value: record.value.clone(),
        })
    }

    /// Returns the maker of a key's item.
    pub fn maker(&self, key: &K) -> Option<&M> {
        self.records.get(key).map(|record| &record.maker)
    }

    /// Returns the last renewal of a maker with its current age, for sending.
    pub fn renewal(&self, maker: &M, now: Instant) -> Option<Renewal<M>> {
        let renewal = self.renewals.get(maker)?;
        Some(Renewal {
            maker: maker.clone(),
            incarnation: renewal.incarnation,
            sequence: renewal.sequence,
            age_ms: millis(now.saturating_duration_since(renewal.made)),
        })
    }

    /// Returns all keys held and all makers with a renewal, for a new link.
    pub fn contents(&self) -> (Vec<K>, Vec<M>) {
        let keys = self.records.keys().cloned().collect();
        (keys, self.renewals.keys().cloned().collect())
    }

    /// Removes items and renewals that are older than twice the horizon.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.horizon * 2;
        let expired = |record: &Record<M, V>| {
            let age = now.saturating_duration_since(self.confirmed_at(record));
            age > retention
        };
        let expired: Vec<K> = self
            .records
            .iter()
            .filter(|(_, record)| expired(record))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.records.swap_remove(key);
        }
        self.renewals
            .retain(|_, renewal| now.saturating_duration_since(renewal.made) <= retention);
    }

    /// Returns when an item was created or last renewed.
    fn confirmed_at(&self, record: &Record<M, V>) -> Instant {
        let renewal = self.renewals.get(&record.maker).filter(|renewal| {
            renewal.incarnation == record.incarnation && record.sequence <= renewal.sequence
        });
        renewal.map_or(record.made, |renewal| renewal.made.max(record.made))
    }

    /// Returns when something of this age was created, or `None` if that is beyond the horizon.
    fn creation_time(&self, age_ms: u64, now: Instant) -> Option<Instant> {
        let age = Duration::from_millis(age_ms);
        (age <= self.horizon).then(|| now.checked_sub(age))?
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
