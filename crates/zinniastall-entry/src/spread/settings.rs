//! Settings of membership, targets' leases and digests.

use std::time::Duration;

use zinniastall_coord::membership;
use zinniastall_settings::reader::Reader;

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
}

impl Spread {
    /// Reads the section.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            period: reader.millis("period_ms", 50..=10_000, 500),
            floor: reader.millis("floor_ms", 150..=60_000, 1_500),
            ceiling: reader.millis("ceiling_ms", 500..=120_000, 6_000),
            lease: reader.millis("lease_ms", 500..=60_000, 3_000),
        }
    }

    /// Returns when a target is to announce again: in time for two lost attempts.
    pub fn renew(&self) -> Duration {
        self.lease / 3
    }

    /// Returns the times of the membership.
    pub fn membership(&self) -> membership::Config {
        membership::Config {
            period: self.period,
            floor: self.floor.max(self.period * 3),
            ceiling: self.ceiling.max(self.floor).max(self.period * 3),
            freeze: self.period * 3,
            ..membership::Config::default()
        }
    }
}
