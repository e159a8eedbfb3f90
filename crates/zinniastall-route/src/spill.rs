//! Whether a request goes to another zone or region.
//!
//! Work that is sent away crosses a border and starts on a cold cache, so it goes only when waiting
//! here costs more than all of that. Every instance sees about the same numbers; if each sent
//! everything away the moment the balance tips, the other side would be flooded, the balance would
//! tip back, and the traffic would return to caches that have gone cold meanwhile. A [`Gate`]
//! therefore opens and closes step by step, and closes only once this side is cheaper by a margin.
//! After a time without any target here it is wide open: what comes back is cold, looks idle and
//! cheap, and would else get everything at once.

use std::time::{Duration, Instant};

use rand::Rng;
use zinniastall_model::{id, place::Place};

use crate::{choose::millis, policy::Policy, residency};

/// Share of requests by which the gate moves in one step.
const SHARE_STEP: f64 = 0.1;
/// Shortest time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the remote cost below which the local cost must fall before the gate closes.
const RETURN_COST_RATIO: f64 = 0.8;

/// Another zone, as its digest tells.
#[derive(Debug, Clone, PartialEq)]
pub struct Remote {
    /// Where it is.
    pub place: Place,
    /// Slots free, less what this instance keeps there.
    pub free_slots: u32,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Mean price of one busy second.
    pub price: f64,
}

/// Time without any usable place after which the gate is shut. A place is full for a moment again and
/// again; were the gate shut each time, it would never open as far as the balance of costs asks.
const RESET_AFTER: Duration = Duration::from_secs(1);

/// What serving a request here would cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Local {
    /// Nothing here serves.
    None,
    /// What serves here has failed this request already, which says nothing of others.
    Tried,
    /// This much, in milliseconds.
    Cost(f64),
}

/// The share of requests for one model or service that is sent away.
#[derive(Debug, Default)]
pub struct Gate {
    share: f64,
    last_step: Option<Instant>,
    /// Last time that there was a usable place.
    last_usable: Option<Instant>,
    /// Whether targets here are back after a time without any.
    recovering: bool,
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
        let Some((remote, remote_cost)) = remote else {
            let is_recent = |usable: Instant| now.saturating_duration_since(usable) < RESET_AFTER;
            if !self.last_usable.is_some_and(is_recent) {
                self.share = 0.0;
                self.recovering = false;
            }
            return None;
        };
        self.last_usable = Some(now);
        let local_cost = match local {
            Local::Cost(cost) => cost,
            Local::Tried => return Some(&remote.place),
            Local::None => {
                self.open_fully(now);
                return Some(&remote.place);
            }
        };
        self.adjust(local_cost, remote_cost, now);
        let cheaper = local_cost > remote_cost || self.recovering;
        (cheaper && random.random::<f64>() < self.share).then_some(&remote.place)
    }

    fn open_fully(&mut self, now: Instant) {
        self.share = 1.0;
        self.recovering = true;
        self.last_step = Some(now);
    }

    fn adjust(&mut self, local_cost: f64, remote_cost: f64, now: Instant) {
        let is_due = |stepped: Instant| now.saturating_duration_since(stepped) >= STEP_INTERVAL;
        if !self.last_step.is_none_or(is_due) {
            return;
        }
        // Between the two costs a gate of targets that are back would stay open for no reason.
        let ratio = if self.recovering {
            1.0
        } else {
            RETURN_COST_RATIO
        };
        let step = if local_cost > remote_cost {
            SHARE_STEP
        } else if local_cost < remote_cost * ratio {
            -SHARE_STEP
        } else {
            return;
        };
        self.last_step = Some(now);
        self.share = (self.share + step).clamp(0.0, 1.0);
        // Ten steps of a tenth leave a rest of rounding.
        self.recovering &= self.share >= SHARE_STEP / 2.0;
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
        permitted && remote.free_slots > 0 && remote.place != *here
    });
    let priced = usable.map(|remote| (remote, cost(remote)));
    priced.min_by(|a, b| a.1.total_cmp(&b.1))
}
