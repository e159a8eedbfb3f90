//! Datagrams that instances exchange.

use std::io;

use serde::{Deserialize, Serialize};
use zinniastall_coord::{
    origin::{self, Origin, Record},
    rendezvous,
};
use zinniastall_model::id;
use zinniastall_wire::{rates, reach};

use super::{
    Load, Loads, beliefs, departures, division, limits, overflow, paces, permits, returns,
    suspicions, usage,
};

/// Maximum length of a datagram, in bytes. A longer one would be fragmented, and lost with any of
/// its fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of targets in one datagram; each takes at most 16 bytes.
const MAX_TARGETS_PER_DATAGRAM: usize = 75;

/// Number of a sender's round, the same in all parts that it sends at once.
pub type Round = u32;

/// Hash of a target's name, which identifies the target in datagrams. If two targets of a region
/// have the same hash, each also counts the other's load until one of them ends.
pub type Key = u32;

/// Loads of some targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Round of the sender.
    #[serde(rename = "t")]
    pub round: Round,
    #[serde(rename = "l")]
    loads: Vec<(Key, u32, u32)>,
}

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Load of one instance.
    #[serde(rename = "i")]
    Report {
        /// Reporting instance.
        #[serde(rename = "n")]
        instance: id::Instance,
        /// Load by target.
        #[serde(rename = "p")]
        part: Part,
    },
    /// Sum of a zone, from its collector to the collectors of the region's other zones.
    #[serde(rename = "z")]
    Zone {
        /// Zone of the sum.
        #[serde(rename = "n")]
        zone: id::Zone,
        /// Sum of the loads of the zone's instances.
        #[serde(rename = "p")]
        part: Part,
    },
    /// Sum of the region, from a collector to an instance of its zone.
    #[serde(rename = "r")]
    Region {
        /// Round of the receiver's report that the sum includes; 0 for none.
        #[serde(rename = "n")]
        included: Round,
        /// Sum of the loads of all instances of the region.
        #[serde(rename = "p")]
        part: Part,
    },
    /// Quota use of one instance, to the collectors of its zone.
    #[serde(rename = "u")]
    Used {
        /// Reporting instance.
        #[serde(rename = "n")]
        instance: id::Instance,
        /// Use by account.
        #[serde(rename = "p")]
        part: usage::Part,
    },
    /// Quota use of a zone, from its collector to the collectors of all other zones.
    #[serde(rename = "v")]
    ZoneUsed {
        /// Zone of the sum.
        #[serde(rename = "n")]
        zone: id::Zone,
        /// Sum of the use of the zone's instances.
        #[serde(rename = "p")]
        part: usage::Part,
    },
    /// Quota use of the whole system, from a collector to the instances of its zone.
    #[serde(rename = "w")]
    AllUsed {
        /// Sum of the use of all instances.
        #[serde(rename = "p")]
        part: usage::Part,
    },
    /// Suspicions against requests that may crash targets.
    #[serde(rename = "s")]
    Suspects {
        /// Whether a collector passes the suspicions on to all zones or only to its own.
        #[serde(rename = "a")]
        for_all: bool,
        /// Some suspicions.
        #[serde(rename = "p")]
        part: suspicions::Part,
    },
    /// Digest of all strong suspicions, for comparison.
    #[serde(rename = "d")]
    SuspectSum {
        /// Digest of the sender.
        #[serde(rename = "n")]
        digest: u64,
        /// Whether the datagram answers another digest.
        #[serde(rename = "b")]
        is_answer: bool,
    },
    /// Rates that targets named.
    #[serde(rename = "m")]
    Limits {
        /// Whether a collector passes the rates on to all zones or only to its own.
        #[serde(rename = "a")]
        for_all: bool,
        /// Rates of some targets.
        #[serde(rename = "p")]
        part: limits::Part,
    },
    /// Asks for all rates, from an instance that has just started.
    #[serde(rename = "j")]
    LimitsRequest,
    /// Digest of all rates, for comparison.
    #[serde(rename = "e")]
    LimitSum {
        /// Digest of the sender.
        #[serde(rename = "n")]
        digest: u64,
        /// Whether the datagram answers another digest.
        #[serde(rename = "b")]
        is_answer: bool,
    },
    /// Targets that said that they leave.
    #[serde(rename = "lv")]
    Departures {
        /// Whether a collector passes them on to all zones or only to its own.
        #[serde(rename = "a")]
        for_all: bool,
        /// Some of them.
        #[serde(rename = "p")]
        part: departures::Part,
    },
    /// Digest of all targets that said so, for comparison.
    #[serde(rename = "ls")]
    DepartureSum {
        /// Digest of the sender.
        #[serde(rename = "n")]
        digest: u64,
        /// Whether the datagram answers another digest.
        #[serde(rename = "b")]
        is_answer: bool,
    },
    /// Targets whose processes were seen to have ended.
    #[serde(rename = "en")]
    Ended {
        /// Whether a collector passes them on to all zones or only to its own.
        #[serde(rename = "a")]
        for_all: bool,
        /// Some of them.
        #[serde(rename = "p")]
        part: beliefs::Part,
    },
    /// Asks what the receiver believes of a target.
    #[serde(rename = "bq")]
    BeliefQuestion {
        /// Number of the question, chosen by the sender.
        #[serde(rename = "n")]
        number: u32,
        /// Target.
        #[serde(rename = "k")]
        target: id::Target,
    },
    /// Answer to [`Datagram::BeliefQuestion`].
    #[serde(rename = "ba")]
    BeliefAnswer {
        /// Number of the question that is answered.
        #[serde(rename = "n")]
        number: u32,
        /// What the sender believes.
        #[serde(rename = "o")]
        opinion: beliefs::Opinion,
    },
    /// Asks a target's coordinator for a permit to send it a request.
    #[serde(rename = "g")]
    Demand(rates::Demand),
    /// A coordinator's answer to [`Datagram::Demand`].
    #[serde(rename = "h")]
    Verdict(rates::Verdict),
    /// Asks a target's coordinator for one of the target's slots, or returns it.
    #[serde(rename = "l")]
    Loan(rates::Loan),
    /// A coordinator's answer to [`Datagram::Loan`].
    #[serde(rename = "y")]
    Lent {
        /// Number of the question that is answered.
        #[serde(rename = "n")]
        number: u32,
        /// Whether the sender got the slot.
        #[serde(rename = "g")]
        is_granted: bool,
    },
    /// Division of engines between long prompts and short streams.
    #[serde(rename = "dv")]
    Division(division::Part),
    /// Asks which of some targets the receiver reaches.
    #[serde(rename = "q")]
    PathQuestion(reach::Part),
    /// Answer to [`Datagram::PathQuestion`].
    #[serde(rename = "o")]
    PathAnswer(reach::Part),
    /// Tells which software versions began streams.
    #[serde(rename = "b")]
    Origins(Vec<Record>),
    /// Asks which software version began a stream.
    #[serde(rename = "f")]
    OriginQuestion {
        /// Number of the question, chosen by the sender.
        #[serde(rename = "n")]
        number: u32,
        /// Stream.
        #[serde(rename = "k")]
        key: origin::Key,
    },
    /// Answer to [`Datagram::OriginQuestion`].
    #[serde(rename = "k")]
    OriginAnswer {
        /// Number of the question that is answered.
        #[serde(rename = "n")]
        number: u32,
        /// What began the stream, if the sender knows it.
        #[serde(rename = "o")]
        origin: Option<Origin>,
        /// Whether the sender was told different beginnings.
        #[serde(rename = "d")]
        is_disputed: bool,
    },
    /// Asks a suspect's coordinator for a permit to send a request with it, or returns the permit.
    #[serde(rename = "t")]
    PermitQuestion(permits::Question),
    /// A coordinator's answer to [`Datagram::PermitQuestion`].
    #[serde(rename = "x")]
    PermitAnswer {
        /// Number of the question that is answered.
        #[serde(rename = "n")]
        number: u32,
        /// Whether the request may be sent.
        #[serde(rename = "g")]
        is_granted: bool,
    },
    /// Room, need and grants of a region, from its acting leader to the leaders of other regions.
    #[serde(rename = "ro")]
    RegionRoom(overflow::messages::Room),
    /// Need of one instance, to the leaders of its region.
    #[serde(rename = "rn")]
    RegionNeed(overflow::messages::Need),
    /// Grants of a region, from its acting leader to its instances.
    #[serde(rename = "rg")]
    RegionGrant(overflow::messages::Grant),
    /// Announces to a target's coordinator that an instance is about to send a request to the
    /// target.
    #[serde(rename = "c")]
    Claim {
        /// Number of the claim, chosen by the sender.
        #[serde(rename = "n")]
        number: u32,
        /// Claimed target.
        #[serde(rename = "k")]
        target: Key,
        /// Expected time to read the prompt, in milliseconds.
        #[serde(rename = "r")]
        reading_ms: u32,
    },
    /// A coordinator's answer: what was claimed of the target in the moments before.
    #[serde(rename = "a")]
    Claimed {
        /// Number of the claim that is answered.
        #[serde(rename = "n")]
        number: u32,
        /// Number of requests claimed.
        #[serde(rename = "f")]
        in_flight: u32,
        /// Expected time to read their prompts, in milliseconds.
        #[serde(rename = "r")]
        reading_ms: u32,
    },
    /// Gives the promise of room for a rejected request to a holder.
    #[serde(rename = "rp")]
    ReturnPromise(returns::Part),
    /// Asks a holder whether a request was promised room, and redeems the promise if it is due.
    #[serde(rename = "rq")]
    ReturnQuestion {
        /// Number of the question, chosen by the sender.
        #[serde(rename = "n")]
        number: u32,
        /// Digest of the request.
        #[serde(rename = "k")]
        key: u64,
    },
    /// Answer to [`Datagram::ReturnQuestion`].
    #[serde(rename = "ra")]
    ReturnAnswer {
        /// Number of the question that is answered.
        #[serde(rename = "n")]
        number: u32,
        /// State of the promise.
        #[serde(rename = "s")]
        state: returns::Answer,
    },
    /// Speed of targets as one instance observed it, to the collectors of its zone.
    #[serde(rename = "pc")]
    Paces {
        /// Reporting instance.
        #[serde(rename = "n")]
        instance: id::Instance,
        /// Observations by target.
        #[serde(rename = "p")]
        part: paces::Part,
    },
    /// Speed of targets as the instances of a zone observed it, to the collectors of the region's
    /// other zones; as those of the whole region did, to the instances of the zone.
    #[serde(rename = "pr")]
    RegionPaces {
        /// Sending collector.
        #[serde(rename = "n")]
        instance: id::Instance,
        /// Observations by target.
        #[serde(rename = "p")]
        part: paces::Part,
    },
}

/// Why a datagram can't be encoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The encoding failed.
    #[error("datagram cannot be encoded")]
    Encode(#[from] ciborium::ser::Error<io::Error>),
    /// The encoded datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes is too long")]
    Long(usize),
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Fails if the encoding fails or is too long; see [`Error`].
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
    /// Fails if the bytes are not a valid datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, ciborium::de::Error<io::Error>> {
        ciborium::from_reader(bytes)
    }
}

impl Part {
    /// Returns the loads by target.
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

/// Splits loads into parts that each fit into a datagram; returns one empty part if there are no
/// loads.
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

/// Returns the key that identifies a target in datagrams.
pub fn key(target: &str) -> Key {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of the hash is enough for a region's targets"
    )]
    let key = rendezvous::weight(target, "") as Key;
    key
}
