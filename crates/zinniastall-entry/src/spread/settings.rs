//! Settings of membership, target leases and digests.

use std::time::Duration;

use zinniastall_coord::membership;
use zinniastall_settings::reader::Reader;

/// Heartbeat periods between two heartbeats to an instance of another region.
///
/// Links between regions are slow, and little depends on them: facts about another region expire
/// after five digest intervals anyway.
pub const CROSS_REGION_PERIODS: u32 = 3;

/// Settings of membership, target leases and digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Heartbeat period.
    pub period: Duration,
    /// Minimum silence after which a peer is considered lost.
    pub floor: Duration,
    /// Maximum silence after which a peer is considered lost, even on the slowest link.
    pub ceiling: Duration,
    /// Lease of a target's announcement.
    pub lease: Duration,
    /// Interval at which a zone renews its digests; they expire if no renewal arrives for five
    /// intervals.
    pub digest_interval: Duration,
    /// Gossip bytes that may be sent per second. Traffic that can wait yields to traffic that
    /// can't.
    pub bytes_per_second: u32,
}

impl Spread {
    /// Reads the `spread` section.
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

    /// Returns the interval at which a target renews its lease; the lease outlasts two lost
    /// attempts.
    pub fn renewal_interval(&self) -> Duration {
        self.lease / 3
    }

    /// Returns the bounds on the silence of an instance in the same region or in another one.
    pub fn bounds(&self, cross_region: bool) -> membership::Bounds {
        let local = self.membership();
        if !cross_region {
            return membership::Bounds {
                floor: local.floor,
                ceiling: local.ceiling,
            };
        }
        // Facts hold for five intervals, so the peer that delivers them needn't be considered lost
        // sooner.
        let floor = local.floor.max(local.period * 3) * CROSS_REGION_PERIODS;
        membership::Bounds {
            floor,
            ceiling: local.ceiling.max(self.digest_interval * 5).max(floor),
        }
    }

    /// Returns the configuration of the failure detector.
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

/// Converts a number whose permitted range fits into 32 bits.
fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
