//! Division of engines between long prompts and short streams, as the instances of a region agree
//! on it.
//!
//! The first collector of the region's first availability zone by name decides once a second, by
//! the demand that it sees itself. It sends the decision to the instances of its zone and to the
//! collectors of the other zones, which pass it on to theirs. If it falls silent, the second
//! collector of its zone takes over. A decision lasts for a few rounds; without a valid one, all
//! targets take all requests. See [`crate::decide::division`].

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use zinniastall_model::{id, routing::Service as Entry};

use super::{
    Outgoing, TAKEOVER_TIMEOUT,
    collector::Roster,
    datagram::{Datagram, Key, Round, key},
};
use crate::{
    decide::{
        division::{self, Arrivals, Engine, Plan, Side, Work},
        prefill::Rates,
    },
    metrics::Metrics,
    view::{Target, View},
};

/// Interval of the decisions.
pub const DECISION_INTERVAL: Duration = Duration::from_secs(1);
/// Age at which a decision expires: two datagrams were lost, or the decider is gone.
pub const DIVISION_TTL: Duration = Duration::from_secs(3);
/// Maximum number of services in one datagram; each takes at most 21 bytes.
const MAX_SERVICES_PER_DATAGRAM: usize = 40;
/// Highest number of a round, which a decider reaches in 68 years. A higher one is an error that
/// would outrank all deciders.
const MAX_ROUND: Round = Round::MAX / 2;
/// Longest bound on gaps, and largest number of engines, that a message may state.
const MAX_STATED: (u32, u32) = (60_000, 10_000);
/// Shortest time between two log lines about dropped messages.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Age of the last report after which a target is not divided.
const MAX_REPORT_AGE: Duration = Duration::from_secs(7);

/// Outcomes of a received decision, as metrics count them.
const ACCEPTED: &str = "accepted";
/// The decision is in force already.
const REPEATED: &str = "repeated";
/// A later decision is in force.
const STALE: &str = "stale";
/// The decision is impossible, or its decider or service is not known here.
const INVALID: &str = "invalid";

/// Decisions on some services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Instance that decided.
    #[serde(rename = "n")]
    pub decider: id::Instance,
    /// Round of the decision; the highest one wins.
    #[serde(rename = "t")]
    pub round: Round,
    /// Decisions by service.
    #[serde(rename = "s")]
    pub plans: Vec<Stated>,
}

/// Decision on one service: its key, the engines on the long side, all engines, and the bound on
/// gaps in milliseconds by which requests are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stated(pub Key, pub u32, pub u32, pub u32);

/// What a round needs to know besides the view.
pub trait Inputs {
    /// Returns the smallest bound on gaps among the routes that use a service; zero for none.
    fn gap(&self, service: &str) -> Duration;

    /// Returns whether a target takes a limited rate.
    fn is_limited(&self, target: &Target) -> bool;

    /// Returns whether a target is known to be slow.
    fn is_slow(&self, target: &Target) -> bool;
}

/// Divisions in force, and the demand that this instance sees.
#[derive(Debug)]
pub struct Divisions {
    rates: Rates,
    metrics: Metrics,
    services: IndexMap<id::Service, Service>,
    /// Decisions to pass on to the zone.
    unforwarded: Vec<Part>,
    /// Highest round heard or decided.
    round: Round,
    decided_at: Option<Instant>,
    /// When the last decision of another instance was accepted, or else when this instance became
    /// the second collector.
    heard_at: Option<Instant>,
    /// Messages dropped since the last log line about them.
    dropped: u64,
    dropped_logged_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Service {
    arrivals: Arrivals,
    held: Option<Held>,
    sides: Option<Sides>,
}

/// A decision that was accepted.
#[derive(Debug, Clone)]
struct Held {
    decider: id::Instance,
    round: Round,
    plan: Plan,
    gap: Duration,
    at: Instant,
}

/// Engines of a service by side.
#[derive(Debug)]
pub struct Sides {
    /// Bound on gaps by which requests are told apart.
    pub gap: Duration,
    engines: IndexSet<id::Target>,
    long: IndexSet<id::Target>,
    plan: Plan,
    slow: Vec<bool>,
}

impl Held {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < DIVISION_TTL
    }
}

impl Sides {
    /// Returns whether requests of a side go to a target. Those that are not divided, such as cold
    /// ones, take both kinds.
    pub fn takes(&self, target: &str, side: Side) -> bool {
        match side {
            Side::Long => self.long.contains(target) || !self.engines.contains(target),
            Side::Short => !self.long.contains(target),
        }
    }

    /// Returns the engines on the long side.
    pub const fn long(&self) -> &IndexSet<id::Target> {
        &self.long
    }
}

impl Service {
    fn sides(&self, now: Instant) -> Option<&Sides> {
        self.held.as_ref().filter(|held| held.is_valid(now))?;
        self.sides.as_ref()
    }

    /// Returns whether a decision comes after the one that is held, is the same, or was superseded.
    fn order(&self, part: &Part, now: Instant) -> Ordering {
        let held = self.held.as_ref().filter(|held| held.is_valid(now));
        let new = (part.round, &part.decider);
        held.map_or(Ordering::Greater, |held| {
            new.cmp(&(held.round, &held.decider))
        })
    }
}

impl Divisions {
    /// Creates the state of an instance; `rates` are those at which engines prefill.
    pub fn new(rates: Rates, metrics: Metrics) -> Self {
        Self {
            rates,
            metrics,
            services: IndexMap::new(),
            unforwarded: Vec::new(),
            round: 0,
            decided_at: None,
            heard_at: None,
            dropped: 0,
            dropped_logged_at: None,
        }
    }

    /// Returns the sides of a service's engines; `None` if they are not divided.
    pub fn sides(&self, service: &str, now: Instant) -> Option<&Sides> {
        self.services.get(service)?.sides(now)
    }

    /// Records a request that arrived; `gap` is the smallest bound on gaps known here.
    pub fn record(&mut self, service: &str, work: Work, gap: Duration, now: Instant) {
        let gap = self.sides(service, now).map_or(gap, |sides| sides.gap);
        if gap.is_zero() {
            return;
        }
        let side = Side::of(work.prefill, gap);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Service::default());
        }
        let known = &mut self.services[service];
        known.arrivals.record(side, work, now);
    }

    /// Records that a request was placed at an engine which prefills `uncached` of its prompt.
    pub fn record_placed(
        &mut self,
        service: &str,
        (prefill, uncached): (Duration, Duration),
        gap: Duration,
        now: Instant,
    ) {
        let gap = self.sides(service, now).map_or(gap, |sides| sides.gap);
        if let Some(known) = self.services.get_mut(service) {
            let side = Side::of(prefill, gap);
            known.arrivals.record_placed(side, prefill, uncached, now);
        }
    }

    /// Merges decisions of another instance; impossible and superseded ones are dropped and counted.
    pub fn receive(&mut self, roster: &Roster, view: &View, part: &Part, now: Instant) {
        if !view.load_control.division {
            return;
        }
        let mut accepted = Vec::new();
        for stated in &part.plans {
            let outcome = self.merge(roster, view, (part, *stated), now);
            self.metrics.count_division(outcome);
            match outcome {
                ACCEPTED => accepted.push(*stated),
                REPEATED => {}
                _ => self.log_dropped(part, *stated, outcome, now),
            }
        }
        if accepted.is_empty() {
            return;
        }
        self.round = self.round.max(part.round);
        self.heard_at = Some(now);
        // The decider itself sends to the instances of its zone.
        let is_from_zone = roster.zone_members().contains(&part.decider);
        if roster.is_collector() && !is_from_zone {
            self.unforwarded.push(Part {
                plans: accepted,
                ..part.clone()
            });
        }
    }

    /// Merges the decision on one service; returns what became of it.
    fn merge(
        &mut self,
        roster: &Roster,
        view: &View,
        (part, stated): (&Part, Stated),
        now: Instant,
    ) -> &'static str {
        let is_sender_known =
            roster.neighbours().contains(&part.decider) || part.decider == *roster.instance();
        let service = services(view).find(|entry| key(&entry.name) == stated.0);
        let (true, Some(service)) = (is_sender_known, service) else {
            return INVALID;
        };
        if part.round > MAX_ROUND || !stated.is_possible() {
            return INVALID;
        }
        let known = self.services.entry(service.name.clone()).or_default();
        match known.order(part, now) {
            Ordering::Less => STALE,
            Ordering::Equal => REPEATED,
            Ordering::Greater => {
                known.held = Some(stated.held(part, now));
                ACCEPTED
            }
        }
    }

    fn log_dropped(&mut self, part: &Part, stated: Stated, why: &str, now: Instant) {
        self.dropped += 1;
        let is_recent = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.dropped_logged_at.is_some_and(is_recent) {
            return;
        }
        self.dropped_logged_at = Some(now);
        tracing::warn!(
            event = "target-division-dropped",
            why,
            decider = part.decider,
            round = part.round,
            key = stated.0,
            long = stated.1,
            engines = stated.2,
            gap_ms = stated.3,
            dropped = std::mem::take(&mut self.dropped),
        );
    }

    /// Runs a round: decides if this instance has to, and applies the decisions to the engines that
    /// are usable now. Returns the datagrams to send.
    pub fn round(
        &mut self,
        roster: &Roster,
        view: &View,
        inputs: &dyn Inputs,
        now: Instant,
    ) -> Vec<Outgoing> {
        if !view.load_control.division {
            if !self.services.is_empty() {
                *self = Self::new(self.rates, self.metrics.clone());
                self.metrics.set_divided(0, 0);
            }
            return Vec::new();
        }
        let forwarded = std::mem::take(&mut self.unforwarded);
        let to_zone = |part| outgoing(roster.zone_members().to_vec(), part);
        let mut sent: Vec<Outgoing> = forwarded.into_iter().filter_map(to_zone).collect();
        if self.decides(roster, now) {
            sent.extend(self.decide(roster, view, inputs, now));
        }
        self.apply(view, inputs, now);
        sent
    }

    /// Returns whether this instance decides in this round.
    fn decides(&mut self, roster: &Roster, now: Instant) -> bool {
        if !(roster.is_collector() && roster.is_in_first_zone()) {
            self.heard_at = None;
            return false;
        }
        let heard_at = *self.heard_at.get_or_insert(now);
        let silence = now.saturating_duration_since(heard_at);
        let is_silent = silence >= DECISION_INTERVAL + TAKEOVER_TIMEOUT;
        let is_due = self
            .decided_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DECISION_INTERVAL);
        is_due && (roster.is_first_collector() || is_silent)
    }

    fn decide(
        &mut self,
        roster: &Roster,
        view: &View,
        inputs: &dyn Inputs,
        now: Instant,
    ) -> Vec<Outgoing> {
        self.decided_at = Some(now);
        self.round = if self.round >= MAX_ROUND {
            1
        } else {
            self.round + 1
        };
        let is_listed = |name: &str| services(view).any(|entry| entry.name == name);
        self.services.retain(|name, _| is_listed(name));
        let mut plans = Vec::new();
        for entry in services(view) {
            plans.extend(self.decide_service(roster, view, entry, inputs, now));
        }
        let mut to = roster.peer_collectors();
        to.extend(roster.region_collectors().iter().cloned());
        let members = roster.zone_members().iter();
        let members: Vec<_> = members.filter(|name| !to.contains(name)).cloned().collect();
        to.extend(members);
        let parts = plans.chunks(MAX_SERVICES_PER_DATAGRAM).map(|plans| Part {
            decider: roster.instance().clone(),
            round: self.round,
            plans: plans.to_vec(),
        });
        parts
            .filter_map(|part| outgoing(to.clone(), part))
            .collect()
    }

    fn decide_service(
        &mut self,
        roster: &Roster,
        view: &View,
        entry: &Entry,
        inputs: &dyn Inputs,
        now: Instant,
    ) -> Option<Stated> {
        let gap = inputs.gap(&entry.name);
        let stride = entry.engine.as_ref()?.stride;
        let known = self.services.get_mut(&entry.name)?;
        let demand = known.arrivals.demand(now)?;
        if !division::is_called_for(gap, stride, &self.rates) {
            return None;
        }
        let held = known.held.as_ref().filter(|held| held.is_valid(now));
        let previous = held.map(|held| held.plan);
        let engines = usable(&entry.name, view, inputs, now).count();
        let plan = Plan::next(previous, demand, engines)?;
        let gap_ms = u32::try_from(gap.as_millis()).unwrap_or(u32::MAX);
        let stated = Stated(key(&entry.name), plan.long, plan.engines, gap_ms);
        if !stated.is_possible() {
            return None;
        }
        if previous.map(|previous| previous.long) != Some(plan.long) {
            let instances = view.instances.ready_in(&view.place.region).count();
            tracing::info!(
                event = "target-division",
                service = entry.name,
                round = self.round,
                long = plan.long,
                engines = plan.engines,
                previous = previous.map(|previous| previous.long),
                long_load = format_args!("{:.2}", scaled(demand.long, instances)),
                short_load = format_args!("{:.2}", scaled(demand.short, instances)),
                instances,
                gap_ms,
                previous_age_ms = held.map(|held| millis(now, held.at)),
            );
        }
        known.held = Some(Held {
            decider: roster.instance().clone(),
            round: self.round,
            plan,
            gap,
            at: now,
        });
        Some(stated)
    }

    /// Applies the decisions to the engines that are usable now.
    fn apply(&mut self, view: &View, inputs: &dyn Inputs, now: Instant) {
        let (mut divided, mut long) = (0, 0);
        for (name, known) in &mut self.services {
            let was_divided = known.sides.is_some();
            known.update(name, view, inputs, now);
            if known.sides.is_some() != was_divided {
                known.log_change(name, now);
            }
            divided += usize::from(known.sides.is_some());
            long += known.sides.as_ref().map_or(0, |sides| sides.long.len());
        }
        self.metrics.set_divided(divided, long);
    }
}

impl Service {
    fn update(&mut self, name: &str, view: &View, inputs: &dyn Inputs, now: Instant) {
        let Some(held) = self.held.as_ref().filter(|held| held.is_valid(now)) else {
            self.sides = None;
            return;
        };
        let usable: Vec<&Target> = usable(name, view, inputs, now).collect();
        if !held.plan.holds_for(usable.len()) {
            self.sides = None;
            return;
        }
        let slow: Vec<bool> = usable.iter().map(|target| inputs.is_slow(target)).collect();
        let is_same = self.sides.as_ref().is_some_and(|sides| {
            let names = usable.iter().map(|target| &target.report.target);
            sides.plan == held.plan
                && sides.gap == held.gap
                && sides.slow == slow
                && names.eq(&sides.engines)
        });
        if is_same {
            return;
        }
        let engines = usable.iter().zip(&slow).map(|(target, is_slow)| Engine {
            name: &target.report.target,
            is_slow: *is_slow,
        });
        let engines: Vec<Engine<'_>> = engines.collect();
        let long = division::long_side(name, &engines, held.plan.long);
        self.sides = Some(Sides {
            gap: held.gap,
            long: long.into_iter().map(str::to_owned).collect(),
            engines: engines.iter().map(|held| held.name.to_owned()).collect(),
            plan: held.plan,
            slow,
        });
    }

    fn log_change(&self, name: &str, now: Instant) {
        let held = self.held.as_ref();
        let is_valid = held.is_some_and(|held| held.is_valid(now));
        let why = match (self.sides.is_some(), is_valid) {
            (true, _) => "",
            (false, true) => "engines were lost",
            (false, false) => "no valid decision",
        };
        tracing::info!(
            event = "target-division",
            service = name,
            in_force = self.sides.is_some(),
            why,
            decider = held.map(|held| held.decider.as_str()),
            round = held.map(|held| held.round),
            long = held.map(|held| held.plan.long),
            engines = held.map(|held| held.plan.engines),
            age_ms = held.map(|held| millis(now, held.at)),
        );
    }
}

impl Stated {
    const fn plan(&self) -> Plan {
        Plan {
            long: self.1,
            engines: self.2,
        }
    }

    fn is_possible(&self) -> bool {
        let (max_gap, max_engines) = MAX_STATED;
        self.plan().is_possible() && self.2 <= max_engines && (1..=max_gap).contains(&self.3)
    }

    fn held(&self, part: &Part, now: Instant) -> Held {
        Held {
            decider: part.decider.clone(),
            round: part.round,
            plan: self.plan(),
            gap: Duration::from_millis(self.3.into()),
            at: now,
        }
    }
}

/// Returns the services of the table that have engines.
fn services(view: &View) -> impl Iterator<Item = &Entry> {
    let table = view.table().into_iter();
    let services = table.flat_map(|table| &table.services);
    services.filter(|entry| entry.engine.is_some())
}

/// Returns the engines of a service in this region that are divided: those that take requests at
/// any rate.
fn usable<'a>(
    service: &str,
    view: &'a View,
    inputs: &'a dyn Inputs,
    now: Instant,
) -> impl Iterator<Item = &'a Target> {
    let targets = view.targets.of(service, &view.place.region);
    targets.filter(move |target| {
        target.gone_at.is_none()
            && !target.is_cold(now)
            && !view.is_evacuated(&target.report.place.zone)
            && now.saturating_duration_since(target.heard_at) <= MAX_REPORT_AGE
            && !inputs.is_limited(target)
    })
}

fn outgoing(to: Vec<id::Instance>, part: Part) -> Option<Outgoing> {
    let datagram = Datagram::Division(part);
    (!to.is_empty()).then_some(Outgoing { to, datagram })
}

/// Returns the demand of a region whose instances all see what this one does.
fn scaled(demand: f64, instances: usize) -> f64 {
    demand * f64::from(u32::try_from(instances).unwrap_or(u32::MAX))
}

fn millis(now: Instant, since: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(since).as_millis()).unwrap_or(u64::MAX)
}
