//! Scenarios of demand and capacity for the comparison of policies.

use serde_json::{Value, json};

use super::system::{DURATION_MS, PREFIX_BLOCKS, PREFIXES, SUFFIX_BLOCKS, TOKENS, WARMUP_MS};
use super::{CLIENT, KEY, MODEL};

/// Course of demand and capacity during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Constant demand in two availability zones of one region.
    Steady,
    /// Two regions with alternating peaks: one and a half times the mean, then half of it.
    Peaks,
    /// Two regions, one of them reduced from twelve slots to one.
    Tenth,
    /// Half of the targets are killed and restarted with cold caches.
    Loss,
}

/// A zone: region, name, number of engines, slots per engine.
pub(super) type Zone = (&'static str, &'static str, u32, u32);

impl Scenario {
    pub(crate) const ALL: [Self; 4] = [Self::Steady, Self::Peaks, Self::Tenth, Self::Loss];

    /// Parses the scenario's name on the command line.
    pub(crate) fn parse(word: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == word)
    }

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Peaks => "peaks",
            Self::Tenth => "tenth",
            Self::Loss => "loss",
        }
    }

    /// Returns the loads to compare, as shares of the capacity of two full zones.
    pub(super) const fn loads(self) -> &'static [f64] {
        match self {
            Self::Steady => &[0.5, 0.8, 1.0, 1.5],
            Self::Peaks => &[0.5, 0.8],
            Self::Tenth => &[0.3, 0.5],
            Self::Loss => &[0.4, 0.8],
        }
    }

    pub(super) const fn zones(self) -> [Zone; 2] {
        match self {
            Self::Steady | Self::Loss => [("patras", "a", 3, 4), ("patras", "b", 3, 4)],
            Self::Peaks => [("patras", "a", 3, 4), ("athens", "a", 3, 4)],
            Self::Tenth => [("patras", "a", 3, 4), ("athens", "a", 1, 1)],
        }
    }

    /// Returns load sources that send `rate` requests per second on average in total.
    pub(super) fn sources(self, rate: f64) -> Vec<Value> {
        let zones = self.zones();
        let sources = zones.iter().enumerate().flat_map(|(index, zone)| {
            let share = rate / 2.0;
            let halves = match self {
                Self::Peaks if index == 0 => [share * 1.5, share * 0.5],
                Self::Peaks => [share * 0.5, share * 1.5],
                _ => [share, share],
            };
            let middle = WARMUP_MS + DURATION_MS / 2;
            [
                source(zone, halves[0], 0, middle),
                source(zone, halves[1], middle, WARMUP_MS + DURATION_MS),
            ]
        });
        sources.collect()
    }
}

fn source(zone: &Zone, rate: f64, from_ms: u64, until_ms: u64) -> Value {
    json!({
        "client": CLIENT, "key": KEY, "class": "interactive", "region": zone.0, "zone": zone.1,
        "model": MODEL, "rate": rate, "from_ms": from_ms, "until_ms": until_ms, "stream": true,
        "tokens": TOKENS, "prefixes": PREFIXES, "prefix_bytes": PREFIX_BLOCKS * 256,
        "suffix_bytes": SUFFIX_BLOCKS * 256,
    })
}
