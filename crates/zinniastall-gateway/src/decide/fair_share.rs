//! Divides scarce capacity among client accounts by weighted max-min fairness.
//!
//! One account that sends several times its usual load would take the room of all others, because
//! targets are chosen without regard to accounts. While this instance rejects requests for lack of
//! room, it admits only a fraction of the requests of each account above the *level*: the use at
//! which the sum of `min(demand, level × weight)` over all accounts equals the capacity. Accounts at
//! or below their level are not affected.
//!
//! - Demand and use of accounts are the totals over all instances ([`super::quota`]), in the unit of
//!   their quotas. Accounts are divided among separately by unit, since units do not compare.
//! - The capacity is what was served, or less where this instance serves a smaller share of its
//!   callers' demand than all instances do: regions peak at different times, and the sum over all
//!   of them would not show that one of them is full. Room for the retries of requests that are
//!   rejected for lack of room is set aside.
//! - Totals count retries as demand. [`Flow::demand`] takes them out again, or accounts would exceed
//!   the level because of their own retries.
//! - Nothing is rejected for shares unless requests are rejected for lack of room ([`Pressure`]), and
//!   the level rises as these cease.

mod level;
mod rejections;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::routing;

use self::rejections::Rejections;
pub use self::{
    level::{Claimant, Flow, Share, divide, level},
    rejections::Pressure,
};
use super::quota::{Key, Totals, Usage, Usages};

/// Period over which demand and use of accounts are smoothed. Costs of requests differ tenfold, so a
/// small account's demand of a single second differs by a fifth from its mean and would exceed a level
/// that its mean keeps to.
const FLOW_SMOOTHING_TIME: Duration = Duration::from_secs(3);
/// Period over which the share of the demand that is served here is smoothed. An instance sees some
/// tens of requests per second, so that share differs by a tenth from one second to the next.
const SERVED_SMOOTHING_TIME: Duration = Duration::from_secs(3);
/// Factor by which the share served here has to be smaller than that of all instances to count.
const SERVED_TOLERANCE: f64 = 1.05;
/// Shortest and longest mean time after which a rejected request should retry. Before the first, the
/// decision would rest on the same totals; few callers wait longer than the second.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// Unit in which capacity is divided: that of the accounts' quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens.
    Tokens,
}

/// An account's part in the division, as the routing table states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Weight of the account.
    pub weight: u32,
    /// Rate of its quota, in units per second. Demand beyond it is rejected anyway.
    pub rate: u64,
}

/// Accounts among which capacity is divided: those whose quotas have the same unit.
pub type Members = IndexMap<Key, Member>;

/// Demand and use that a division is based on.
#[derive(Debug, Clone, Copy)]
pub struct Known<'a> {
    /// Totals over all instances.
    pub totals: &'a Totals,
    /// When they were heard.
    pub heard_at: Instant,
    /// Demand and use of this instance's callers.
    pub own: &'a Usages,
    /// How far shares apply.
    pub pressure: Pressure,
}

/// Details of a request that is rejected because its account exceeds its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exceeded {
    /// Share of the account.
    pub share: Share,
    /// Share of requests that were rejected for lack of room.
    pub rejected: f64,
    /// Age of the totals.
    pub age: Duration,
    /// Time after which the request should retry.
    pub retry_after: Duration,
}

/// Random numbers from 0 to 1 for one request.
#[derive(Debug, Clone, Copy)]
pub struct Draw {
    /// Decides whether the request is within the admitted fraction. The same number as for the
    /// quota, so that an account above both gets the smaller fraction and not their product.
    pub admission: f64,
    /// Spreads the retry times.
    pub spread: f64,
}

/// State of one instance: recent rejections for lack of room, and the current division by unit.
#[derive(Debug, Default)]
pub struct Shares {
    rejections: Rejections,
    divisions: IndexMap<Unit, Division>,
}

/// Shares of the accounts of one unit.
#[derive(Debug)]
struct Division {
    heard_at: Instant,
    /// Smoothed share of the demand that is served here, relative to that of all instances.
    served_share: f64,
    /// Smoothed demand and use.
    flows: IndexMap<Key, Flow>,
    shares: IndexMap<Key, Share>,
}

impl Shares {
    /// Counts a request that is about to be placed.
    pub fn record_request(&mut self, now: Instant) {
        self.rejections.record_request(now);
    }

    /// Counts a request that was rejected for lack of room.
    pub fn record_rejection(&mut self, now: Instant) {
        self.rejections.record_rejection(now);
    }

    /// Returns how far shares apply now.
    pub fn pressure(&mut self, now: Instant) -> Pressure {
        self.rejections.pressure(now)
    }

    /// Returns whether the division of a unit was made from other totals than those heard at a time.
    pub fn is_outdated(&self, unit: Unit, heard_at: Instant) -> bool {
        let division = self.divisions.get(&unit);
        division.is_none_or(|division| division.heard_at != heard_at)
    }

    /// Divides the capacity among the accounts of a unit.
    pub fn update(&mut self, unit: Unit, members: &Members, known: Known<'_>) {
        let next = Division::next(self.divisions.get(&unit), members, known);
        self.divisions.insert(unit, next);
    }

    /// Returns the share of an account, if capacity is divided.
    pub fn share(&self, unit: Unit, key: Key) -> Option<Share> {
        let division = self.divisions.get(&unit)?;
        division.shares.get(&key).copied()
    }

    /// Admits a request, or returns why it is rejected.
    ///
    /// # Errors
    ///
    /// Returns [`Exceeded`] with the figures behind the decision if the account is above its level
    /// and the request is beyond the admitted fraction.
    pub fn admit(
        &mut self,
        unit: Unit,
        key: Key,
        draw: Draw,
        now: Instant,
    ) -> Result<(), Exceeded> {
        let pressure = self.pressure(now);
        let Some(division) = self.divisions.get(&unit) else {
            return Ok(());
        };
        let Some(share) = division.shares.get(&key).copied() else {
            return Ok(());
        };
        if pressure.strength <= 0.0 || draw.admission < share.fraction {
            return Ok(());
        }
        Err(Exceeded {
            share,
            rejected: pressure.rejected,
            age: now.saturating_duration_since(division.heard_at),
            retry_after: retry_after(share.fraction, draw.spread),
        })
    }
}

impl From<routing::Unit> for Unit {
    fn from(unit: routing::Unit) -> Self {
        match unit {
            routing::Unit::Requests => Self::Requests,
            routing::Unit::Tokens { .. } => Self::Tokens,
        }
    }
}

impl Division {
    /// Divides the capacity by figures that are smoothed from those of the previous division.
    fn next(previous: Option<&Self>, members: &Members, known: Known<'_>) -> Self {
        let elapsed = previous.map_or(Duration::MAX, |previous| {
            known.heard_at.saturating_duration_since(previous.heard_at)
        });
        let claimants = claimants(previous, members, known.totals, elapsed);
        let served_share = match (served_share(&claimants, known.totals, known.own), previous) {
            (Some(next), Some(previous)) => {
                let weight = weight(elapsed, SERVED_SMOOTHING_TIME);
                level::smooth(previous.served_share, next, weight)
            }
            (next, previous) => {
                let before = previous.map_or(1.0, |previous| previous.served_share);
                next.unwrap_or(before)
            }
        };
        let part = (served_share * SERVED_TOLERANCE).min(1.0) * known.pressure.free();
        let flows = claimants
            .iter()
            .map(|claimant| (claimant.key, claimant.flow));
        Self {
            heard_at: known.heard_at,
            served_share,
            flows: flows.collect(),
            shares: divide(&claimants, part, known.pressure.strength),
        }
    }
}

/// Returns the accounts that have totals now or had some recently.
fn claimants(
    previous: Option<&Division>,
    members: &Members,
    totals: &Totals,
    elapsed: Duration,
) -> Vec<Claimant> {
    let weight = weight(elapsed, FLOW_SMOOTHING_TIME);
    let claimants = members.iter().filter_map(|(key, member)| {
        let before = previous.and_then(|previous| previous.flows.get(key));
        let total = totals.get(key);
        if before.is_none() && total.is_none() {
            return None;
        }
        let now = total.map_or_else(Flow::default, |total| Flow::from(total.usage));
        Some(Claimant {
            key: *key,
            flow: before.copied().unwrap_or_default().toward(now, weight),
            asked: now.asked(),
            member: *member,
        })
    });
    claimants.collect()
}

/// Returns the share of its callers' demand that this instance served, relative to the share that all
/// instances served, if there was any.
fn served_share(claimants: &[Claimant], totals: &Totals, own: &Usages) -> Option<f64> {
    let here = |claimant: &Claimant| own.get(&claimant.key).copied();
    let all = |claimant: &Claimant| totals.get(&claimant.key).map(|total| total.usage);
    let all = ratio(claimants, all).filter(|all| *all > 0.0)?;
    Some(ratio(claimants, here)? / all)
}

/// Returns the ratio of use to demand over all accounts, if there is any demand.
fn ratio(claimants: &[Claimant], usage: impl Fn(&Claimant) -> Option<Usage>) -> Option<f64> {
    let flows = claimants.iter().filter_map(|claimant| {
        let flow = Flow::from(usage(claimant)?);
        Some((claimant.permitted(flow), flow.used()))
    });
    let (demand, used) = flows.fold((0.0, 0.0), |sum, (demand, used)| {
        (sum.0 + demand, sum.1 + used)
    });
    (demand > 0.0).then(|| used / demand)
}

/// Returns the weight of a new figure in a mean over a period.
fn weight(elapsed: Duration, period: Duration) -> f64 {
    elapsed.div_duration_f64(period).min(1.0)
}

/// Returns a time that grows as the admitted fraction shrinks. Callers that were rejected within the
/// same second return over a span as long as the mean time.
fn retry_after(admitted_fraction: f64, spread: f64) -> Duration {
    let least = RETRY_AFTER.0.div_duration_f64(RETRY_AFTER.1);
    let mean = RETRY_AFTER.0.div_f64(admitted_fraction.clamp(least, 1.0));
    mean.mul_f64(0.5 + spread.clamp(0.0, 1.0))
}
