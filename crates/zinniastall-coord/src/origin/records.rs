//! Origins of streams, as far as an instance was told.

use std::{
    fmt,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;

use super::{Origin, Service, Version};

/// Maximum number of records. At the target size an instance holds a tenth of it; the oldest is
/// forgotten first.
const MAX_RECORDS: usize = 65_536;
/// Shortest and longest life of a record.
const LIFE: (Duration, Duration) = (Duration::from_secs(30), Duration::from_mins(10));
/// Context string that separates these digests from all others derived with BLAKE3.
const DERIVE_KEY_CONTEXT: &str = "zinniastall 2026 id of a request that began a stream";
/// Length of a key, in bytes.
const KEY_BYTES: usize = 16;

/// Digest of the id of the request that began a stream.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(ByteArray<KEY_BYTES>);

/// Origin of one stream, as instances tell each other. Its encoding has no field names, since each
/// stream is told several times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Record {
    /// Stream.
    pub key: Key,
    /// What began it.
    pub origin: Origin,
    /// Time for which the record is kept from now on, in milliseconds.
    pub left_ms: u64,
}

type Packed = (Key, Service, Version, u64);

impl From<Packed> for Record {
    fn from((key, service, version, left_ms): Packed) -> Self {
        Self {
            key,
            origin: Origin { service, version },
            left_ms,
        }
    }
}

impl From<Record> for Packed {
    fn from(record: Record) -> Self {
        let Origin { service, version } = record.origin;
        (record.key, service, version, record.left_ms)
    }
}

/// What is known of the beginning of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// Nothing was told.
    Nothing,
    /// It began there.
    Origin(Origin),
    /// Different beginnings were told: its id was used twice.
    Disputed,
}

/// Origins of streams by key.
#[derive(Debug, Default)]
pub struct Records {
    entries: IndexMap<Key, Entry>,
}

#[derive(Debug)]
struct Entry {
    /// `None` if different origins were told.
    origin: Option<Origin>,
    until: Instant,
}

impl Key {
    /// Returns the key of a stream that a request with this id began.
    pub fn of(id: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DERIVE_KEY_CONTEXT);
        hasher.update(id.as_bytes());
        let mut bytes = [0; KEY_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(ByteArray::new(bytes))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Records {
    /// Records what began a stream, for as long as its caller may take it up. A record that
    /// contradicts an earlier one makes the origin unknown for good.
    pub fn insert(&mut self, key: Key, origin: &Origin, life: Duration, now: Instant) {
        let until = now + life.clamp(LIFE.0, LIFE.1);
        if let Some(held) = self.entries.get_mut(&key)
            && held.until > now
        {
            if held.origin.as_ref() != Some(origin) {
                held.origin = None;
            }
            held.until = held.until.max(until);
            return;
        }
        // A record that has expired is replaced at the end, since the oldest come first.
        self.entries.shift_remove(&key);
        let origin = Some(origin.clone());
        self.entries.insert(key, Entry { origin, until });
        if self.entries.len() > MAX_RECORDS {
            // The first half goes at once: removing one at a time would move all others each time.
            self.entries.drain(..MAX_RECORDS / 2);
        }
    }

    /// Merges a record that another instance told.
    pub fn merge(&mut self, record: &Record, now: Instant) {
        let life = Duration::from_millis(record.left_ms);
        self.insert(record.key, &record.origin, life, now);
    }

    /// Returns what is known of the beginning of a stream.
    pub fn find(&self, key: &Key, now: Instant) -> Found {
        let held = self.entries.get(key).filter(|held| held.until > now);
        match held.map(|held| &held.origin) {
            None => Found::Nothing,
            Some(Some(origin)) => Found::Origin(origin.clone()),
            Some(None) => Found::Disputed,
        }
    }

    /// Returns all records for other instances.
    pub fn all(&self, now: Instant) -> Vec<Record> {
        let live = self.entries.iter().filter(|(_, held)| held.until > now);
        let records = live.filter_map(|(key, held)| {
            let left = held.until.saturating_duration_since(now).as_millis();
            Some(Record {
                key: *key,
                origin: held.origin.clone()?,
                left_ms: u64::try_from(left).unwrap_or(u64::MAX),
            })
        });
        records.collect()
    }

    /// Forgets the records that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, held| held.until > now);
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
