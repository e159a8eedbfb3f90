//! The max-min level of a division, from each account's demand and use.

use indexmap::IndexMap;

use super::{
    super::quota::{Key, Usage},
    Member,
};

/// Units per second that an account asked for and used, retries included. Use is at most what was
/// asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Flow {
    asked: f64,
    used: f64,
}

/// An account that takes part in a division.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claimant {
    /// Account.
    pub key: Key,
    /// Smoothed demand and use over all instances.
    pub flow: Flow,
    /// Units asked for within the last second, retries included.
    pub asked: f64,
    /// What the routing table states of the account.
    pub member: Member,
}

/// An account's share of the capacity, in units per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Level times the account's weight.
    pub level: f64,
    /// Demand without retries and without what exceeds the account's quota.
    pub demand: f64,
    /// Fraction of the account's requests, retries included, that keeps it at its level.
    pub fraction: f64,
}

impl From<Usage> for Flow {
    /// Clips use above what was asked for, which is impossible.
    fn from(usage: Usage) -> Self {
        Self {
            asked: as_f64(usage.asked),
            used: as_f64(usage.used.min(usage.asked)),
        }
    }
}

impl Flow {
    /// Returns the units asked for.
    pub const fn asked(self) -> f64 {
        self.asked
    }

    /// Returns the units used.
    pub const fn used(self) -> f64 {
        self.used
    }

    /// Returns the demand without retries.
    ///
    /// A caller retries a rejected request once. With demand `d` and a share `s` of all attempts
    /// admitted, the units asked for are `d + d × (1 − s)`, so `d = asked / (2 − s)`, where
    /// `s = used / asked`. The result is at least what was used, and at least half of what was asked
    /// for if callers retry less than that.
    pub fn demand(self) -> f64 {
        if self.asked <= 0.0 {
            return 0.0;
        }
        self.asked / (2.0 - self.used / self.asked)
    }

    /// Moves towards the next flow by a weight from 0 to 1.
    pub(super) fn toward(self, next: Self, weight: f64) -> Self {
        Self {
            asked: smooth(self.asked, next.asked, weight),
            used: smooth(self.used, next.used, weight),
        }
    }
}

impl Claimant {
    /// Returns the account's demand over all instances.
    pub fn demand(&self) -> f64 {
        self.flow.demand().min(self.limit())
    }

    /// Returns the demand without retries of a part of the account's callers. The quota limits it in
    /// proportion.
    pub(super) fn permitted(&self, flow: Flow) -> f64 {
        let part = flow.asked / self.flow.asked.max(flow.asked).max(1.0);
        flow.demand().min((self.limit() * part).max(flow.used))
    }

    /// Returns the units per second that the quota lets through: a burst shows as use above the
    /// rate.
    fn limit(&self) -> f64 {
        as_f64(self.member.rate).max(self.flow.used)
    }

    fn weight(&self) -> f64 {
        f64::from(self.member.weight.max(1))
    }
}

/// Returns the largest level at which the sum of `min(demand, level × weight)` is at most the
/// capacity, or `None` if the capacity covers all demand. Demands come with their weights.
pub fn level(demands: &[(f64, f64)], capacity: f64) -> Option<f64> {
    let mut demands = demands.to_vec();
    // Sums of floating-point numbers depend on their order. In a fixed order, the order of accounts
    // changes nothing.
    demands.sort_by(|(demand, weight), (other, other_weight)| {
        let by_ratio = (demand * other_weight).total_cmp(&(other * weight));
        by_ratio.then(weight.total_cmp(other_weight))
    });
    let mut left = capacity;
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
    for (demand, weight) in demands {
        if demand * weights > left * weight {
            return Some(left.max(0.0) / weights);
        }
        left -= demand;
        weights -= weight;
    }
    None
}

/// Returns the shares of accounts if together they demand more than the capacity.
///
/// `part` is the part of what was served that is divided. Below a strength of 1 the capacity exceeds
/// that, up to all demand at 0, so that room which came free is used; the accounts next to the level
/// get it first. Where nothing was served there is nothing to divide: targets are gone rather than
/// full, and shares would only delay the return to service.
pub fn divide(claimants: &[Claimant], part: f64, strength: f64) -> IndexMap<Key, Share> {
    let mut sorted = claimants.to_vec();
    sorted.sort_by_key(|claimant| claimant.key);
    let served: f64 = sorted.iter().map(|claimant| claimant.flow.used).sum();
    let served = served * part.clamp(0.0, 1.0);
    if served <= 0.0 {
        return IndexMap::new();
    }
    let demands = sorted
        .iter()
        .map(|claimant| (claimant.demand(), claimant.weight()));
    let demands: Vec<(f64, f64)> = demands.collect();
    let demanded: f64 = demands.iter().map(|(demand, _)| demand).sum();
    let unserved = (demanded - served).max(0.0);
    let Some(level) = level(&demands, served + (1.0 - strength) * unserved) else {
        return IndexMap::new();
    };
    let shares = sorted
        .iter()
        .map(|claimant| (claimant.key, share(claimant, level)));
    shares.collect()
}

fn share(claimant: &Claimant, level: f64) -> Share {
    let (level, demand) = (level * claimant.weight(), claimant.demand());
    let fraction = if demand <= level {
        1.0
    } else {
        (level / claimant.asked.max(1.0)).min(1.0)
    };
    Share {
        level,
        demand,
        fraction,
    }
}

/// Moves a figure towards the next one by a weight from 0 to 1.
pub(super) fn smooth(previous: f64, next: f64, weight: f64) -> f64 {
    previous + (next - previous) * weight
}

#[expect(
    clippy::cast_precision_loss,
    reason = "units that 52 bits don't hold are beyond any quota"
)]
const fn as_f64(units: u64) -> f64 {
    units as f64
}
