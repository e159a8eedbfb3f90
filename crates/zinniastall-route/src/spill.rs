//! Decides whether a request is forwarded to another zone or region.
//!
//! A forwarded request crosses a boundary and starts on a cold cache, so requests are forwarded
//! only if serving them locally costs more than that. All instances see about the same costs. If
//! each forwarded everything as soon as the other side became cheaper, that side would be
//! overloaded, the costs would reverse, and the traffic would return to caches that have become
//! cold in the meantime. A [`Gate`] therefore changes the forwarded share step by step, and lowers
//! it only once the local cost is below the remote cost by a margin. After a time without local
//! targets the share is 1: targets that come back have cold caches but look idle and cheap, and
//! would otherwise receive all traffic at once.

use std::time::{Duration, Instant};

use rand::Rng;
use zinniastall_model::{id, place::Place};

use crate::{choose::millis, policy::Policy, residency};

/// Change of the forwarded share in one step.
const SHARE_STEP: f64 = 0.1;
/// Minimum time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Ratio of the local to the remote cost below which the forwarded share is lowered.
const RETURN_COST_RATIO: f64 = 0.8;

/// Another zone, according to its digest.
#[derive(Debug, Clone, PartialEq)]
pub struct Remote {
    /// Where it is.
    pub place: Place,
    /// Free slots, less the requests that this instance has in flight there.
    pub free_slots: u32,
    /// Expected wait for a free slot.
    pub wait: Duration,
    /// Mean price of one busy second.
    pub price: f64,
}

/// Time without any usable other place after which the forwarded share is reset to 0. Places are
/// often full for a moment; if that reset the share, it would never reach the level that the costs
/// call for.
const RESET_AFTER: Duration = Duration::from_secs(1);

/// Cost of serving a request locally.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Local {
    /// No local target serves the subject.
    None,
    /// All local targets have failed this request already, or say nothing for the moment, which says
    /// nothing about other requests.
    Tried,
    /// The lowest cost of a local target, in milliseconds.
    Cost(f64),
}

/// Controls the share of requests for one model or service that is forwarded.
#[derive(Debug, Default)]
pub struct Gate {
    share: f64,
    last_step: Option<Instant>,
    /// Last time that another place was usable.
    last_usable: Option<Instant>,
    /// Whether traffic still returns to local targets after a time without any.
    recovering: bool,
}

impl Gate {
    /// Decides on one request, given the cheapest other place and its cost in milliseconds.
    ///
    /// Returns the place to forward it to, or `None` to serve it locally.
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
        // While traffic returns to recovered targets, no margin applies: between the two costs, the
        // share would stay up without reason.
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
        // Ten steps of 0.1 leave a rounding error.
        self.recovering &= self.share >= SHARE_STEP / 2.0;
    }
}

/// Returns the cheapest place that has free slots and is in a permitted region, with its cost in
/// milliseconds.
///
/// `service` is the mean service time of a request, and `cold` the time to prefill its prompt
/// without any cached block.
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
