//! The newest item of each key and how long it is believed.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Most keys held; a maker that invents keys must not make every process grow.
const MAX_KEYS: usize = 65_536;

/// A fact, as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<K, M, V> {
    /// What it is about.
    #[serde(rename = "k")]
    pub key: K,
    /// Who made it.
    #[serde(rename = "m")]
    pub maker: M,
    /// Maker's run.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Counts the maker's items within a run.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Age when sent, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The fact; `None` withdraws it.
    #[serde(rename = "v")]
    pub value: Option<V>,
}

/// A maker's word that its items up to a number still hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal<M> {
    /// Who says so.
    #[serde(rename = "m")]
    pub maker: M,
    /// Maker's run.
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

/// A fact that is believed.
#[derive(Debug)]
pub struct Entry<'a, K, M, V> {
    /// What it is about.
    pub key: &'a K,
    /// Who made it, in which run, and its number.
    pub maker: (&'a M, u64, u64),
    /// The fact.
    pub value: &'a V,
    /// When it was made or last vouched for, on this process's clock.
    pub made: Instant,
}

/// The newest item of each key.
#[derive(Debug)]
pub struct Table<K, M, V> {
    horizon: Duration,
    records: IndexMap<K, Record<M, V>>,
    renewals: IndexMap<M, Confirmation>,
}

impl<K: Clone + Eq + Hash, M: Clone + Eq + Hash, V: Clone> Table<K, M, V> {
    /// Creates an empty table; what nobody has vouched for within `horizon` is unknown.
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon,
            records: IndexMap::new(),
            renewals: IndexMap::new(),
        }
    }

    /// Takes an item in. Returns whether it is news, which is to be passed on.
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
            // Two makers speak for a group while one takes over from the other. The younger fact
            // wins, since numbers of different makers can't be compared.
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

    /// Takes a renewal in. Returns whether it is news, which is to be passed on.
    pub fn renew(&mut self, renewal: &Renewal<M>, now: Instant) -> bool {
        let Some(made) = self.creation_time(renewal.age_ms, now) else {
            return false;
        };
        let number = (renewal.incarnation, renewal.sequence);
        if let Some(last) = self.renewals.get(&renewal.maker) {
            let known = (last.incarnation, last.sequence);
            // The same renewal comes by several ways, each with a slightly different age; only one
            // that is younger by far is a later one.
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

    /// Returns the facts that are believed.
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

    /// Returns a key's item as it is sent now.
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

    /// Returns who made a key's item.
    pub fn maker(&self, key: &K) -> Option<&M> {
        self.records.get(key).map(|record| &record.maker)
    }

    /// Returns a maker's renewal as it is sent now.
    pub fn renewal(&self, maker: &M, now: Instant) -> Option<Renewal<M>> {
        let renewal = self.renewals.get(maker)?;
        Some(Renewal {
            maker: maker.clone(),
            incarnation: renewal.incarnation,
            sequence: renewal.sequence,
            age_ms: millis(now.saturating_duration_since(renewal.made)),
        })
    }

    /// Returns all keys held and all makers that have vouched, for a new link.
    pub fn contents(&self) -> (Vec<K>, Vec<M>) {
        let keys = self.records.keys().cloned().collect();
        (keys, self.renewals.keys().cloned().collect())
    }

    /// Drops what has been unknown for as long again.
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

    /// Returns when an item was made or last vouched for.
    fn confirmed_at(&self, record: &Record<M, V>) -> Instant {
        let renewal = self.renewals.get(&record.maker).filter(|renewal| {
            renewal.incarnation == record.incarnation && record.sequence <= renewal.sequence
        });
        renewal.map_or(record.made, |renewal| renewal.made.max(record.made))
    }

    /// Returns when something of this age was made, unless that is beyond the horizon.
    fn creation_time(&self, age_ms: u64, now: Instant) -> Option<Instant> {
        let age = Duration::from_millis(age_ms);
        (age <= self.horizon).then(|| now.checked_sub(age))?
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
