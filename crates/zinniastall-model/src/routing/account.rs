//! Client accounts: keys, priorities, permitted regions and quotas.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;

use crate::id;

/// BLAKE3 digest of a key; the key itself is known only to operators and callers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(ByteArray<32>);

/// A client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name, which is passed to targets.
    pub name: id::Client,
    /// Digests of the keys that its requests may carry.
    pub keys: Vec<Digest>,
    /// Priority of its requests, which overrides that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may run; empty for all. The homes of a route apply as well.
    pub homes: Vec<id::Region>,
    /// Limit on its usage, over all instances together.
    pub quota: Option<Quota>,
}

/// Token bucket that limits a client account: a rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Unit that is counted.
    pub unit: Unit,
    /// Units per second.
    pub rate: u64,
    /// Maximum number of units that may accumulate while the account is idle and be used at once.
    pub burst: u64,
}

/// Unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt plus the maximum number of tokens of the response, as stated by the
    /// request.
    Tokens {
        /// Number of tokens charged for a request that states none.
        unstated: u64,
    },
}

impl Digest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(ByteArray::new(*blake3::hash(key).as_bytes()))
    }

    /// Parses a digest from hex, or returns `None` if the text is not a digest.
    pub fn from_hex(hex: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(hex).ok()?;
        Some(Self(ByteArray::new(*hash.as_bytes())))
    }

    /// Formats the digest as hex.
    pub fn to_hex(&self) -> String {
        let bytes: [u8; 32] = *self.0;
        blake3::Hash::from_bytes(bytes).to_hex().to_string()
    }
}

impl fmt::Debug for Digest {
    /// Formats the first four bytes only, which are enough to distinguish digests.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.0.iter().take(4);
        start
            .into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Account {
    /// Creates an account without keys or restrictions.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    /// Adds the digest of a key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.keys.push(Digest::of(key.as_bytes()));
        self
    }

    /// Sets the quota.
    #[must_use]
    pub const fn quota(mut self, quota: Quota) -> Self {
        self.quota = Some(quota);
        self
    }

    /// Tells whether the account's requests may run in a region.
    pub fn permits(&self, region: &str) -> bool {
        super::permits(&self.homes, region)
    }
}

impl Quota {
    /// Returns the cost of a request; `stated` is the number of tokens that it states.
    pub fn cost(&self, stated: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { unstated } => stated.unwrap_or(unstated),
        }
    }
}
