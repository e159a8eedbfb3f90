//! The datagrams between instances of a region.

use std::io;

use serde::{Deserialize, Serialize};
use zinniastall_model::id;

use super::{Load, Loads, suspicions, usage};
use crate::decide::slow_start;

/// Longest datagram, in bytes; one that is longer would be cut into packets and lost with any of them.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Targets of one datagram: each takes 16 bytes at most.
const MAX_TARGETS_PER_DATAGRAM: usize = 75;

/// Number of a round of one instance; the same in all parts that are sent at once.
pub type Round = u32;

/// A target, as datagrams name it: a hash of its name. Where two of a region's targets share one, each counts
/// for the other's load as well, until one of them ends.
pub type Key = u32;

/// Loads at some targets: target, requests, reading time in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Turn of the sender.
    #[serde(rename = "t")]
    pub round: Round,
    #[serde(rename = "l")]
    loads: Vec<(Key, u32, u32)>,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// What one instance has in progress.
    #[serde(rename = "i")]
    Report {
        /// Instance.
        #[serde(rename = "n")]
        instance: id::Instance,
        /// Its loads.
        #[serde(rename = "p")]
        part: Part,
    },
    /// What the instances of one zone have, from one of its collectors to those of other zones.
    #[serde(rename = "z")]
    Zone {
        /// Zone.
        #[serde(rename = "n")]
        zone: id::Zone,
        /// Sum of its instances' loads.
        #[serde(rename = "p")]
        part: Part,
    },
    /// What all instances of the region have, from a collector to an instance of its zone.
    #[serde(rename = "r")]
    Region {
        /// Turn of the receiver's report that the sum contains; 0 for none.
        #[serde(rename = "n")]
        included: Round,
        /// Sum of all instances' loads.
        #[serde(rename = "p")]
        part: Part,
    },
    /// What one instance uses of client accounts' quotas, to the collectors of its zone.
    #[serde(rename = "u")]
    Used {
        /// Instance.
        #[serde(rename = "n")]
        instance: id::Instance,
        /// Its use.
        #[serde(rename = "p")]
        part: usage::Part,
    },
    /// What the instances of one zone use, from one of its collectors to those of all other zones.
    #[serde(rename = "v")]
    ZoneUsed {
        /// Zone.
        #[serde(rename = "n")]
        zone: id::Zone,
        /// Sum of its instances' use.
        #[serde(rename = "p")]
        part: usage::Part,
    },
    /// What all instances use, from a collector to the instances of its zone.
    #[serde(rename = "w")]
    AllUsed {
        /// Sum over all instances.
        #[serde(rename = "p")]
        part: usage::Part,
    },
    /// What is known of requests that crash targets.
    #[serde(rename = "s")]
    Suspects {
        /// Whether a collector that gets it passes it on to all zones, or to its own alone.
        #[serde(rename = "a")]
        for_all: bool,
        /// Some suspicions.
        #[serde(rename = "p")]
        part: suspicions::Part,
    },
    /// A digest of all strong suspicions, to be compared.
    #[serde(rename = "d")]
    SuspectSum {
        /// Digest.
        #[serde(rename = "n")]
        digest: u64,
        /// Whether it answers another one.
        #[serde(rename = "b")]
        is_answer: bool,
    },
    /// An instance is about to send a request to a target; to the target's coordinator.
    #[serde(rename = "c")]
    Claim {
        /// Number of the claim at its sender.
        #[serde(rename = "n")]
        number: u32,
        /// Target.
        #[serde(rename = "k")]
        target: Key,
        /// Expected time to read the prompt, in milliseconds.
        #[serde(rename = "r")]
        reading_ms: u32,
    },
    /// What was claimed of a target in the moments before a claim; the coordinator's answer.
    #[serde(rename = "a")]
    Claimed {
        /// Number of the claim.
        #[serde(rename = "n")]
        number: u32,
        /// Requests.
        #[serde(rename = "f")]
        in_flight: u32,
        /// Expected time to read their prompts, in milliseconds.
        #[serde(rename = "r")]
        reading_ms: u32,
    },
}

/// Why a datagram can't be sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It can't be encoded.
    #[error("it can't be encoded")]
    Encode(#[from] ciborium::ser::Error<io::Error>),
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("{0} bytes are too many")]
    Long(usize),
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// [`Error`] says why it can't be sent.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Error::Long(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Result<Self, ciborium::de::Error<io::Error>> {
        ciborium::from_reader(bytes)
    }
}

impl Part {
    /// Returns the loads.
    pub fn loads(&self) -> impl Iterator<Item = (Key, Load)> {
        let loads = self.loads.iter();
        loads.map(|(target, in_flight, reading_ms)| {
            let load = Load {
                in_flight: *in_flight,
                reading_us: u64::from(*reading_ms) * 1_000,
            };
            (*target, load)
        })
    }
}

/// Cuts loads into parts that fit into a datagram each; one empty part where there are none.
pub fn parts(round: Round, loads: &Loads) -> Vec<Part> {
    let entry = |(target, load): (&Key, &Load)| {
        let reading_ms = u32::try_from(load.reading_us / 1_000).unwrap_or(u32::MAX);
        (*target, load.in_flight, reading_ms)
    };
    let entries: Vec<_> = loads.iter().map(entry).collect();
    let part = |loads: &[(Key, u32, u32)]| Part {
        round,
        loads: loads.to_vec(),
    };
    if entries.is_empty() {
        return vec![part(&[])];
    }
    entries.chunks(MAX_TARGETS_PER_DATAGRAM).map(part).collect()
}

/// Returns the key of a target.
pub fn key(target: &str) -> Key {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of the hash is enough for a region's targets"
    )]
    let key = slow_start::weight(target, "") as Key;
    key
}
