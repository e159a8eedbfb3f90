//! Whether a request goes to another zone or region.
//!
//! Work that is sent away crosses a border and starts on a cold cache, so it goes only when waiting
//! here costs more than all of that. Every instance sees about the same numbers; if each sent
//! everything away the moment the balance tips, the other side would be flooded, the balance would
//! tip back, and the traffic would return to caches that have gone cold meanwhile. A [`Gate`]
//! therefore opens and closes step by step, and closes only once this side is cheaper by a margin.

use std::time::{Duration, Instant};

use rand::Rng;
use zinniastall_model::{id, place::Place};

use crate::{choose::millis, policy::Policy, residency};

/// Share of requests by which the gate moves in one step.
const STEP: f64 = 0.1;
/// Shortest time between two steps.
const PACE: Duration = Duration::from_millis(100);
/// Part of the remote cost below which the local cost must fall before the gate closes.
const MARGIN: f64 = 0.8;

/// Another zone, as its digest tells.
#[derive(Debug, Clone, PartialEq)]
pub struct Remote {
    /// Where it is.
    pub place: Place,
    /// Slots free, less what this instance keeps there.
    pub free: u32,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Mean price of one busy second.
    pub price: f64,
}

/// What serving a request here would cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Local {
    /// Nothing here can serve it.
    None,
    /// This much, in milliseconds.
    Cost(f64),
}

/// The share of requests for one model or service that is sent away.
#[derive(Debug, Default)]
pub struct Gate {
    share: f64,
    moved: Option<Instant>,
}

impl Gate {
    /// Decides on one request; `cold` is the time of a prefill without any cache.
    ///
    /// Returns the place to send it to, or `None` to serve it here.
    pub fn decide<'a>(
        &mut self,
        local: Local,
        remote: Option<(&'a Remote, f64)>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<&'a Place> {
        let Some((remote, away)) = remote else {
            self.share = 0.0;
            return None;
        };
        let Local::Cost(here) = local else {
            return Some(&remote.place);
        };
        self.step(here, away, now);
        (random.random::<f64>() < self.share && here > away).then_some(&remote.place)
    }

    fn step(&mut self, here: f64, away: f64, now: Instant) {
        let due = |moved: Instant| now.saturating_duration_since(moved) >= PACE;
        if !self.moved.is_none_or(due) {
            return;
        }
        let step = if here > away {
            STEP
        } else if here < away * MARGIN {
            -STEP
        } else {
            return;
        };
        self.moved = Some(now);
        self.share = (self.share + step).clamp(0.0, 1.0);
    }
}

/// Returns the cheapest place that has room and that the rules permit, with its cost in
/// milliseconds.
///
/// `service` is the time of a request and `cold` that of a prefill without any cache.
pub fn cheapest<'a>(
    policy: &Policy,
    here: &Place,
    remotes: &'a [Remote],
    regions: &[id::Region],
    service: Duration,
    cold: Duration,
) -> Option<(&'a Remote, f64)> {
    let weights = &policy.weights;
    let cost = |remote: &Remote| {
        let border = if remote.place.region == here.region {
            policy.zone_border
        } else {
            policy.region_border
        };
        weights.wait * millis(remote.wait)
            + weights.border * millis(border)
            + weights.cache * millis(cold)
            + weights.price * remote.price * millis(service)
    };
    let usable = remotes.iter().filter(|remote| {
        let permitted = residency::check_place(regions, &remote.place).is_ok();
        permitted && remote.free > 0 && remote.place != *here
    });
    let priced = usable.map(|remote| (remote, cost(remote)));
    priced.min_by(|a, b| a.1.total_cmp(&b.1))
}
