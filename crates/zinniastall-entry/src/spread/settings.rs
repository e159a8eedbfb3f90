//! Settings of membership, targets' leases and digests.

use std::time::Duration;

use zinniastall_coord::membership;
use zinniastall_settings::reader::Reader;

/// Periods between two heartbeats to an instance of another region.
///
/// A link between regions is slow and few things hang on it: what is known of another region by its
/// facts ages out after five intervals anyway.
pub const CROSS_REGION_PERIODS: u32 = 3;

/// Settings of membership, targets' leases and digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Time between two heartbeats.
    pub period: Duration,
    /// Shortest silence after which a peer is taken for lost.
    pub floor: Duration,
    /// Longest silence after which a peer is taken for lost, on the slowest link.
    pub ceiling: Duration,
    /// How long a target's announcement holds.
    pub lease: Duration,
    /// Time between two words of a zone that its digests still hold; one that is late by five of
    /// them counts as unknown.
    pub digest_interval: Duration,
    /// Bytes a second that gossip may send; what can wait gives way to what can't.
    pub bytes_per_second: u32,
}

impl Spread {
    /// Reads the section.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            period: reader.millis("period_ms", 50..=10_000, 500),
            floor: reader.millis("floor_ms", 150..=60_000, 1_500),
            ceiling: reader.millis("ceiling_ms", 500..=120_000, 6_000),
            lease: reader.millis("lease_ms", 500..=60_000, 3_000),
            digest_interval: reader.millis("digest_ms", 100..=60_000, 2_000),
            bytes_per_second: saturate(reader.number(
                "bytes_per_second",
                1_000..=10_000_000,
                17_000,
            )),
        }
    }

    /// Returns when a target is to announce again: in time for two lost attempts.
    pub fn renewal_interval(&self) -> Duration {
        self.lease / 3
    }

    /// Returns the bounds on silence of an instance of the own region, or of another one.
    pub fn bounds(&self, cross_region: bool) -> membership::Bounds {
        let local = self.membership();
        if !cross_region {
            return membership::Bounds {
                floor: local.floor,
                ceiling: local.ceiling,
            };
        }
        // Facts are believed for five intervals; the peer that carries them needn't be lost sooner.
        let floor = local.floor.max(local.period * 3) * CROSS_REGION_PERIODS;
        membership::Bounds {
            floor,
            ceiling: local.ceiling.max(self.digest_interval * 5).max(floor),
        }
    }

    /// Returns the times of the membership.
    pub fn membership(&self) -> membership::Config {
        membership::Config {
            period: self.period,
            floor: self.floor.max(self.period * 3),
            ceiling: self.ceiling.max(self.floor).max(self.period * 3),
            freeze_threshold: self.period * 3,
            ..membership::Config::default()
        }
    }
}

/// Converts a checked number; its range keeps it within 32 bits.
fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
