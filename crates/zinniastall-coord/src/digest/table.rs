//! The newest item of each key and how long it is believed.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Most keys held; a maker that invents keys must not make every process grow.
const KEYS: usize = 65_536;

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
struct Held<M, V> {
    maker: M,
    incarnation: u64,
    sequence: u64,
    made: Instant,
    value: Option<V>,
}

#[derive(Debug)]
struct Vouched {
    incarnation: u64,
    sequence: u64,
    made: Instant,
}

/// A fact that is believed.
#[derive(Debug)]
pub struct Fresh<'a, K, M, V> {
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
    held: IndexMap<K, Held<M, V>>,
    vouched: IndexMap<M, Vouched>,
}

impl<K: Clone + Eq + Hash, M: Clone + Eq + Hash, V: Clone> Table<K, M, V> {
    /// Creates an empty table; what nobody has vouched for within `horizon` is unknown.
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon,
            held: IndexMap::new(),
            vouched: IndexMap::new(),
        }
    }

    /// Takes an item in. Returns whether it is news, which is to be passed on.
    pub fn take(&mut self, item: Item<K, M, V>, now: Instant) -> bool {
        let Some(made) = self.made(item.age_ms, now) else {
            return false;
        };
        if let Some(held) = self.held.get(&item.key) {
            let same = held.maker == item.maker;
            let number = (item.incarnation, item.sequence);
            if same && number <= (held.incarnation, held.sequence) {
                return false;
            }
            // Two makers speak for a group while one takes over from the other. The younger fact
            // wins, since numbers of different makers can't be compared.
            if !same && made <= self.believed(held) {
                return false;
            }
        } else if self.held.len() == KEYS {
            return false;
        }
        let held = Held {
            maker: item.maker,
            incarnation: item.incarnation,
            sequence: item.sequence,
            made,
            value: item.value,
        };
        self.held.insert(item.key, held);
        true
    }

    /// Takes a renewal in. Returns whether it is news, which is to be passed on.
    pub fn renew(&mut self, renewal: &Renewal<M>, now: Instant) -> bool {
        let Some(made) = self.made(renewal.age_ms, now) else {
            return false;
        };
        let number = (renewal.incarnation, renewal.sequence);
        if let Some(vouched) = self.vouched.get(&renewal.maker) {
            let known = (vouched.incarnation, vouched.sequence);
            // The same renewal comes by several ways, each with a slightly different age; only one
            // that is younger by far is a later one.
            let later = made > vouched.made + self.horizon / 20;
            if number < known || !later {
                return false;
            }
        }
        self.vouched.insert(
            renewal.maker.clone(),
            Vouched {
                incarnation: renewal.incarnation,
                sequence: renewal.sequence,
                made,
            },
        );
        true
    }

    /// Returns the facts that are believed.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = Fresh<'_, K, M, V>> {
        let horizon = self.horizon;
        self.held.iter().filter_map(move |(key, held)| {
            let value = held.value.as_ref()?;
            let made = self.believed(held);
            let age = now.saturating_duration_since(made);
            (age <= horizon).then_some(Fresh {
                key,
                maker: (&held.maker, held.incarnation, held.sequence),
                value,
                made,
            })
        })
    }

    /// Returns a key's item as it is sent now.
    pub fn item(&self, key: &K, now: Instant) -> Option<Item<K, M, V>> {
        let held = self.held.get(key)?;
        Some(Item {
            key: key.clone(),
            maker: held.maker.clone(),
            incarnation: held.incarnation,
            sequence: held.sequence,
            age_ms: millis(now.saturating_duration_since(self.believed(held))),
            value: held.value.clone(),
        })
    }

    /// Returns who made a key's item.
    pub fn maker(&self, key: &K) -> Option<&M> {
        self.held.get(key).map(|held| &held.maker)
    }

    /// Returns a maker's renewal as it is sent now.
    pub fn renewal(&self, maker: &M, now: Instant) -> Option<Renewal<M>> {
        let vouched = self.vouched.get(maker)?;
        Some(Renewal {
            maker: maker.clone(),
            incarnation: vouched.incarnation,
            sequence: vouched.sequence,
            age_ms: millis(now.saturating_duration_since(vouched.made)),
        })
    }

    /// Returns all keys held and all makers that have vouched, for a new link.
    pub fn contents(&self) -> (Vec<K>, Vec<M>) {
        let keys = self.held.keys().cloned().collect();
        (keys, self.vouched.keys().cloned().collect())
    }

    /// Drops what has been unknown for as long again.
    pub fn sweep(&mut self, now: Instant) {
        let kept = self.horizon * 2;
        let gone = |held: &Held<M, V>| {
            let age = now.saturating_duration_since(self.believed(held));
            age > kept
        };
        let gone: Vec<K> = self
            .held
            .iter()
            .filter(|(_, held)| gone(held))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.held.swap_remove(key);
        }
        self.vouched
            .retain(|_, vouched| now.saturating_duration_since(vouched.made) <= kept);
    }

    /// Returns when an item was made or last vouched for.
    fn believed(&self, held: &Held<M, V>) -> Instant {
        let vouched = self.vouched.get(&held.maker).filter(|vouched| {
            vouched.incarnation == held.incarnation && held.sequence <= vouched.sequence
        });
        vouched.map_or(held.made, |vouched| vouched.made.max(held.made))
    }

    /// Returns when something of this age was made, unless that is beyond the horizon.
    fn made(&self, age_ms: u64, now: Instant) -> Option<Instant> {
        let age = Duration::from_millis(age_ms);
        (age <= self.horizon).then(|| now.checked_sub(age))?
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
