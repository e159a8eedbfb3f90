//! Room of this region, from the load reports of its instances.

use std::time::{Duration, Instant};

use zinniastall_coord::{
    overflow::{
        Amount,
        room::{self, Target},
    },
    reach::State,
};
use zinniastall_model::routing::{Service, Table};

use super::Inputs;
use crate::{neighbours::rates, view};

/// Age of the last report at which a target counts as silent: two reports, which replicas pass on
/// every three seconds, were lost.
const MAX_REPORT_AGE: Duration = Duration::from_secs(7);
/// Share of the objective up to which a request of the region's own callers would wait, as in
/// [`crate::decide::place`].
const OBJECTIVE_SHARE: f64 = 0.8;
/// Share of the longest permitted gap that the prompts ahead of a long prompt may take there.
const GAP_SHARE: f64 = 0.3;

/// Room of a service and what it was computed from.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Room {
    pub(super) amount: Amount,
    pub(super) targets: usize,
    pub(super) oldest_report: Duration,
}

/// Returns the room of a service in this region.
pub(super) fn of(inputs: &Inputs<'_>, table: &Table, service: &Service, now: Instant) -> Room {
    let view = inputs.view;
    let targets = view.targets.of(&service.name, &view.place.region);
    let usable = targets.filter(|target| is_usable(inputs, service, target, now));
    let usable: Vec<&view::Target> = usable.collect();
    let slots = service.engine.as_ref().map(|engine| engine.slots);
    let own = inputs.tracker.borrow();
    let loads = usable.iter().map(|target| {
        let name = &target.report.target;
        let load = inputs.neighbours.borrow().load_at(name, now);
        let load = load.plus(own.load_at(name));
        Target {
            slots: slots.unwrap_or(target.report.slots),
            in_flight: load.in_flight,
            reading: Duration::from_micros(load.reading_us),
        }
    });
    let amount = if slots.is_some() {
        room::engines(loads, bound(inputs, table, service))
    } else {
        let assumed = inputs.policy.default_service_time;
        room::plain(loads, own.service_time(&service.name, assumed))
    };
    let ages = usable
        .iter()
        .map(|target| now.saturating_duration_since(target.heard_at));
    Room {
        amount,
        targets: usable.len(),
        oldest_report: ages.max().unwrap_or_default(),
    }
}

/// Returns whether a target takes requests of other regions.
fn is_usable(inputs: &Inputs<'_>, service: &Service, target: &view::Target, now: Instant) -> bool {
    let name = &target.report.target;
    let paths = inputs.reach.paths().borrow();
    let is_reached = paths.state(name) != State::Lost && !paths.is_doubtful(name);
    let is_heard = now.saturating_duration_since(target.heard_at) <= MAX_REPORT_AGE;
    let is_limited = inputs
        .rates
        .rate(target, rates::cold_start(service), now)
        .is_some();
    is_reached
        && is_heard
        && !is_limited
        && !target.is_cold(now)
        && target.gone_at.is_none()
        && !inputs.view.is_evacuated(&target.report.place.zone)
        && !inputs.rates.is_brittle(name)
        && !inputs.tracker.borrow().is_ejected(name, now)
}

/// Returns the wait at an engine beyond which it would reject a request from another region: the
/// strictest of the service's routes, since a lent request may be any of them.
fn bound(inputs: &Inputs<'_>, table: &Table, service: &Service) -> Duration {
    let uses = |route: &&zinniastall_model::routing::Route| {
        let mut split = route.split.iter();
        split.any(|share| share.service == service.name)
    };
    let bounds = table.routes.iter().filter(uses).map(|route| {
        let objective = Duration::from_millis(route.objective_ms);
        let wait = objective.saturating_sub(inputs.policy.region_round_trip);
        let wait = wait.mul_f64(OBJECTIVE_SHARE);
        if route.gap_ms == 0 {
            return wait;
        }
        wait.min(Duration::from_millis(route.gap_ms).mul_f64(GAP_SHARE))
    });
    bounds.min().unwrap_or_default()
}
