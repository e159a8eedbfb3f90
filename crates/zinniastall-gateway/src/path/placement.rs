//! Collects the inputs for the choice of a target, and turns the choice into an address.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use zinniastall_coord::{
    origin::Requirement, pause::State, quarantine::Clearance, rate::Rate, rendezvous::weight,
};
use zinniastall_model::{fingerprint::Fingerprint, id, presence::Presence};

use super::{
    Proxy,
    attempt::Place,
    capacity::{Expected, TOO_LARGE_RETRY, is_too_large},
    job::Job,
    rate::Denial,
    runs::Run,
};
use crate::{
    decide::{
        fetch::{self, Holder, Link},
        fit::{Fit, Measure, paced},
        place::{Candidate, Choice, Constraints, Region, choose},
    },
    index::Total,
    neighbours::{Load, collector::is_small, rates::Slot},
    reach::Path,
    request_log::Basis,
    view::{Target, View},
};

/// Wait for each request beyond an engine's slots: the time between the ends of two requests of a
/// full batch, which finishes about thirty per second.
const DELAY_PER_QUEUED: Duration = Duration::from_millis(33);
/// Wait for each running request of an engine, whose tokens share the batch. A full batch of 64
/// delays a step by a millisecond, and a prompt takes about fifty steps.
const DELAY_PER_RUNNING: Duration = Duration::from_micros(700);
/// Time that a target which is going away must have left to get a request.
const MIN_REMAINING_LIFE: Duration = Duration::from_millis(1_500);
/// Time for which an engine is expected to keep a prompt part cached after it was sent there.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(20);
/// Age of the last report after which a target counts as ejected: two reports, which replicas pass
/// on every three seconds, were lost.
const MAX_REPORT_AGE: Duration = Duration::from_secs(7);

/// Time that a request takes longer by way of a neighbour: a round trip between the zones of a region,
/// and the neighbour's work.
const DETOUR_TIME: Duration = Duration::from_millis(4);
/// Cost of a target whose process may have started again unseen: less than that of another region.
const UNSEEN_RUN_COST: Duration = Duration::from_millis(50);
/// Time since a path was lost for which requests are held rather than rejected, while neighbours are
/// asked and the target is probed.
const UNREACHED_HOLD: Duration = Duration::from_secs(1);
/// Time over which requests return that are rejected until a pause ends.
const PAUSE_SPREAD: Duration = Duration::from_millis(250);
/// Retry time of a request for which all targets of this region say nothing: a pause of theirs may be
/// over by then.
const DOUBT_RETRY: Duration = Duration::from_millis(300);
/// Coordinators that are asked about one request, one after the other, while the claims of others
/// make another target the better choice.
const MAX_CLAIMS: usize = 3;

/// Permits that are asked for one request, one after the other, before it is decided anew.
const MAX_PERMITS: usize = 4;
/// Time after which a request is decided anew that was denied that many.
const PERMIT_RETRY: Duration = Duration::from_millis(30);
/// Retry time of a request that was denied that many and has missed its objective meanwhile. Callers
/// that return sooner would only use up the permits of others.
const DENIED_RETRY: Duration = Duration::from_millis(250);
/// Share of the requests for which the priority of others doesn't count at targets that take a limited
/// rate. Urgent requests alone may take all permits, and the others would get none.
const UNRANKED_SHARE: f64 = 0.125;

/// Load that other instances claimed at targets within the last moments, by target.
pub type Claimed = IndexMap<id::Target, Load>;

/// Targets and instances already tried for a request, which are not tried again.
#[derive(Debug, Default, Clone)]
pub struct Tried {
    names: IndexSet<String>,
}

/// Where a request goes next.
#[derive(Debug)]
pub enum Placement {
    /// To a destination, with the expected prefill time in microseconds, and its slot if it lends them.
    Send(Place, u64, Basis, Option<Slot>),
    /// Nowhere for now; to be decided again after the given time.
    Wait(Duration),
    /// Nowhere, since no known target satisfies the requirement.
    Unserved,
    /// Nowhere; worth retrying after the given time. The basis is that of the best target.
    Refuse(Duration, Basis),
}

impl Tried {
    /// Records that a target or instance was tried.
    pub fn add(&mut self, name: &str) {
        self.names.insert(name.to_owned());
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Forgets what was tried, so that it may be tried again; returns whether there was anything.
    pub fn clear(&mut self) -> bool {
        !std::mem::take(&mut self.names).is_empty()
    }
}

/// Targets of this region that may get a request, with the inputs for the choice; all lists share
/// their indexes.
#[derive(Debug, Default)]
struct LocalTargets<'a> {
    targets: Vec<&'a Target>,
    candidates: Vec<Candidate>,
    /// Neighbour by way of which each target is reached that isn't reached from here.
    detours: Vec<Option<id::Instance>>,
    reading_us: Vec<u64>,
    flights: Vec<u32>,
    holders: Vec<Holder>,
    rates: Vec<Option<Rate>>,
    /// What was learned of each target, and how well the request fits it; empty if nothing is learned.
    measures: Vec<Measure>,
    fits: Vec<Fit>,
    opens_soon: bool,
    /// Targets that want no requests of this instance, and for how long.
    paused: Vec<(&'a str, Duration)>,
    /// Targets that no known path leads to.
    unreached: usize,
    /// Targets that are tried directly although they say nothing, since no neighbour hears from them.
    doubtful: usize,
    /// Whether the priority of other requests doesn't count for this one.
    is_unranked: bool,
    /// Target for a strong suspect, by its index.
    preferred: Option<usize>,
    /// Side of the engines, if they are divided.
    side: Option<&'static str>,
}

impl LocalTargets<'_> {
    /// Returns when the first pause ends, if that is all that keeps targets from getting the request.
    fn first_pause_end(&self) -> Option<Duration> {
        let ends = self.paused.iter().map(|(_, left)| *left).min();
        ends.filter(|_| self.candidates.is_empty() && !self.opens_soon)
    }

    /// Returns the target that a strong suspect should go to. All instances that know the same targets
    /// choose the same one, and another one for another suspect, so that two that are sent at the same
    /// time by different instances are unlikely to meet.
    fn preferred(&self, request: Fingerprint) -> Option<usize> {
        let request = request.to_string();
        let fit = (0..self.targets.len()).filter(|at| !self.candidates[*at].is_ejected);
        fit.max_by_key(|at| weight(&request, &self.targets[*at].report.target))
    }

    /// Returns whether all targets that could get the request say nothing.
    const fn are_doubtful(&self) -> bool {
        self.doubtful > 0 && self.doubtful == self.candidates.len()
    }

    /// Returns the basis of the target with the least cost.
    fn best_basis(&self) -> Basis {
        let indexed = self.candidates.iter().enumerate();
        let best = indexed.min_by_key(|(_, candidate)| candidate.cost());
        let basis = best.map(|(at, candidate)| Basis {
            wait: candidate.wait,
            permit_wait: candidate.permit_wait,
            prefill: candidate.prefill,
            max_wait: Duration::ZERO,
            in_flight: self.flights[at],
            report_age: self.targets[at].heard_at.elapsed(),
            candidates: self.candidates.len(),
            opens_soon: self.opens_soon,
            unreached: self.unreached,
            detour_age: None,
            side: self.side,
            far_by: None,
            measure: self.measures.get(at).copied(),
        });
        basis.unwrap_or(Basis {
            opens_soon: self.opens_soon,
            unreached: self.unreached,
            ..Basis::default()
        })
    }
}

/// Another region.
#[derive(Debug)]
struct RemoteRegion<'a> {
    instances: Vec<&'a Presence>,
    region: Region,
}

impl Proxy {
    /// Chooses where a request goes next, and records the choice.
    ///
    /// A target that takes a limited rate is chosen only with a permit of its coordinator.
    pub async fn place(&self, job: &Job, tried: &Tried, requirement: &Requirement) -> Placement {
        if requirement.is_continuing() && !Self::is_served(job, requirement, &self.state.view()) {
            return Placement::Unserved;
        }
        let mut tried = tried.clone();
        for asked in 0..MAX_PERMITS {
            let mut next = self.choose_claimed(job, &tried, requirement).await;
            let Placement::Send(place, reading_us, _, slot) = &mut next else {
                if asked == 0 {
                    return next;
                }
                break;
            };
            let Ok(lent) = self.slot(job, place).await else {
                tried.add(place.name());
                continue;
            };
            *slot = lent;
            if let Place::Target { target, rate, .. } = place
                && let Err(denial) = self.permit(job, target, *rate).await
            {
                if denial == Denial::ByOthers {
                    tried.add(place.name());
                }
                continue;
            }
            self.record_placement(job, place);
            if matches!(place, Place::Target { .. }) {
                self.record_prefill(job, *reading_us);
            }
            return next;
        }
        if job.objective(Instant::now()).is_zero() {
            return Placement::Refuse(DENIED_RETRY, Basis::default());
        }
        Placement::Wait(PERMIT_RETRY)
    }

    /// Chooses where a request goes next.
    ///
    /// In a large region the target's coordinator is asked first, since other instances may have
    /// chosen the same target on the same information.
    async fn choose_claimed(
        &self,
        job: &Job,
        tried: &Tried,
        requirement: &Requirement,
    ) -> Placement {
        let view = self.state.view();
        let mut claimed = Claimed::default();
        let mut next = self.choose(job, tried, requirement, &claimed);
        while claimed.len() < MAX_CLAIMS && !is_small(&view) {
            let Placement::Send(Place::Target { target, .. }, reading_us, ..) = &next else {
                break;
            };
            if claimed.contains_key(target) {
                break;
            }
            let load = self.claims.claim(&view, target, *reading_us).await;
            let Some(load) = load.filter(|load| *load != Load::default()) else {
                break;
            };
            claimed.insert(target.clone(), load);
            // Regional sums already contain part of the claimed load. Counting it twice may move a
            // request to another target of this region, but must not move it to another region.
            let again = self.choose(job, tried, requirement, &claimed);
            if !matches!(again, Placement::Send(Place::Target { .. }, ..)) {
                break;
            }
            next = again;
        }
        next
    }

    /// Chooses where a request goes next by the information of this instance.
    pub fn choose(
        &self,
        job: &Job,
        tried: &Tried,
        requirement: &Requirement,
        claimed: &Claimed,
    ) -> Placement {
        let (view, now) = (self.state.view(), Instant::now());
        if is_too_large(job, &view) {
            return Placement::Refuse(TOO_LARGE_RETRY, Basis::default());
        }
        let mut local = self.local_targets(job, tried, requirement, claimed, &view, now);
        let slots = local.targets.first().map_or(1, |first| first.report.slots);
        self.reserve_due(job, &mut local.candidates, slots, &view, now);
        let remote = if job.is_passed_on {
            Vec::new()
        } else {
            self.remote_regions(job, tried, requirement, &view, now)
        };
        let regions: Vec<Region> = remote.iter().map(|remote| remote.region).collect();
        let tracker = self.tracker.borrow();
        let constraints = Constraints {
            left: job.left(now),
            objective: job.objective(now),
            gap: tracker.min_gap(&job.service, now),
            rank: if local.is_unranked {
                0
            } else {
                tracker.rank(&job.service, job.priority(), now)
            },
            route_rank: tracker.route_rank(&job.service, job.route().priority, now),
            // The instance that forwarded the request may find another target at once.
            opens_soon: local.opens_soon && !job.is_passed_on,
            urgent_objective: if view.load_control.urgent_room {
                tracker.urgent_objective(&job.service, job.priority(), now)
            } else {
                None
            },
        };
        drop(tracker);
        let constraints = Self::return_constraints(job, constraints);
        if local.are_doubtful() {
            // Another region may serve the request, or the instance that forwarded it knows one.
            if job.is_passed_on {
                return Placement::Refuse(DOUBT_RETRY, local.best_basis());
            }
            if let Choice::Remote(at) = choose(&[], &regions, constraints) {
                return place_remote(&remote[at]);
            }
        }
        // A choice that is made again for the claims of others must not leave the region.
        if view.load_control.overflow && !job.is_passed_on && claimed.is_empty() {
            let home = (&local.candidates[..], &local.fits[..], constraints);
            if let Some(next) = self.overflow(job, tried, requirement, home, &view, now) {
                return next;
            }
        }
        let known = (&local.targets[..], &local.candidates[..], &local.fits[..]);
        let (choice, side) = self.choose_by_side(job, known, &regions, constraints, (&view, now));
        local.side = side;
        match choice {
            Choice::Local(at) => {
                let at = local.preferred.unwrap_or(at);
                self.place_local(job, &local, at, now)
            }
            Choice::Remote(at) => place_remote(&remote[at]),
            Choice::Wait(after) => Placement::Wait(after),
            Choice::Refuse(after) => {
                if !local.paused.is_empty() {
                    self.request_log.excluded(job, &local.paused);
                }
                let after = local.first_pause_end().map_or(after, spread);
                let mut basis = local.best_basis();
                basis.max_wait = constraints.max_wait();
                Placement::Refuse(after, basis)
            }
        }
    }

    /// Records the prompt parts that a request takes to its target.
    fn record_placement(&self, job: &Job, place: &Place) {
        let Place::Target { target, .. } = place else {
            return;
        };
        let now = Instant::now();
        let mut tracker = self.tracker.borrow_mut();
        let account = tracker.target(target, &job.service, now);
        account.record_parts(job.prompt.shared(), now);
    }

    fn place_local(
        &self,
        job: &Job,
        local: &LocalTargets<'_>,
        at: usize,
        now: Instant,
    ) -> Placement {
        let (target, candidate) = (local.targets[at], local.candidates[at]);
        let report = &target.report;
        let place = match &local.detours[at] {
            Some(instance) => self.detour(instance, &report.target),
            None => Place::Target {
                target: report.target.clone(),
                address: report.address.clone(),
                slots: report.slots,
                source: self.source(job, local, at),
                incarnation: report.incarnation,
                version: report.version.clone(),
                rate: local.rates[at],
            },
        };
        let basis = Basis {
            wait: candidate.wait,
            permit_wait: candidate.permit_wait,
            prefill: candidate.prefill,
            max_wait: Duration::ZERO,
            in_flight: local.flights[at],
            report_age: now.saturating_duration_since(target.heard_at),
            candidates: local.candidates.len(),
            opens_soon: local.opens_soon,
            unreached: local.unreached,
            detour_age: local.detours[at].as_ref().and_then(|instance| {
                let paths = self.reach.paths().borrow();
                paths.voucher_age(&report.target, instance, now)
            }),
            side: local.side,
            far_by: None,
            measure: local.measures.get(at).copied(),
        };
        Placement::Send(place, local.reading_us[at], basis, None)
    }

    /// Returns the place of a neighbour that reaches a target which this instance doesn't.
    fn detour(&self, instance: &str, target: &str) -> Place {
        let view = self.state.view();
        let known = view.instances.by_name().get(instance);
        Place::Instance {
            instance: instance.to_owned(),
            region: view.place.region.clone(),
            // An empty address refuses the connection: the neighbour has left meanwhile.
            address: known.map_or_else(String::new, |known| known.forward.clone()),
            detour: Some(target.to_owned()),
        }
    }

    /// Returns how a request reaches a target: directly, by a neighbour that vouches for it, or not at
    /// all. A request that a neighbour handed on goes directly or not at all.
    fn path(
        &self,
        job: &Job,
        tried: &Tried,
        requirement: &Requirement,
        target: &str,
        view: &View,
        now: Instant,
    ) -> Path {
        let is_heeding = |instance: &str| {
            let known = view.instances.by_name().get(instance);
            known.is_some_and(|known| heeds(known, requirement))
        };
        let fits = |instance: &str| {
            !job.is_detoured
                && !tried.has(instance)
                && !self.is_blocked(instance, now)
                && is_heeding(instance)
        };
        self.reach.path(view, target, fits, now)
    }

    /// Returns the address of the target from which the one at index `at` fetches the cache that it
    /// lacks.
    fn source(&self, job: &Job, local: &LocalTargets<'_>, at: usize) -> Option<String> {
        let engine = job.engine()?;
        let link = Link {
            token_bytes: engine.token_bytes,
            mbps: engine.link_mbps,
        };
        let prefill_time = |tokens| self.policy.rates.expected(tokens, 0);
        // What two versions keep doesn't fit together either.
        let version = |at: usize| local.targets[at].report.version.as_deref();
        let holders = local.holders.iter().enumerate().map(|(other, holder)| {
            let fits = other == at || (version(at).is_some() && version(other) == version(at));
            if fits { *holder } else { Holder::default() }
        });
        let holders: Vec<Holder> = holders.collect();
        let source = fetch::source(&holders, at, link, prefill_time)?;
        Some(local.targets[source].report.address.clone())
    }

    fn local_targets<'a>(
        &self,
        job: &Job,
        tried: &Tried,
        requirement: &Requirement,
        claimed: &Claimed,
        view: &'a View,
        now: Instant,
    ) -> LocalTargets<'a> {
        let mut local = LocalTargets::default();
        if !job.permits(&view.place.region) {
            return local;
        }
        let targets = view.targets.of(&job.service, &view.place.region);
        let targets: Vec<&Target> = targets.collect();
        let cache_owner = cache_owner(job, &targets);
        let demand = self.demand(job, view, now);
        let standing = self.standing(job);
        let is_strong_suspect = standing.clearance >= Clearance::Alone;
        for target in targets {
            if self.is_leaving(target, view, now) {
                continue;
            }
            if !requirement.admits(&job.service, target.report.version.as_deref()) {
                // The first version of a service is settled within moments.
                local.opens_soon |= matches!(requirement, Requirement::Settled(_));
                continue;
            }
            match self.pause(target, now) {
                State::Open => {}
                State::Paused(left) => {
                    local.paused.push((&target.report.target, left));
                    continue;
                }
                State::Tried => {
                    local.opens_soon = true;
                    continue;
                }
            }
            if is_strong_suspect && self.is_occupied(&standing.suspects, target) {
                local.opens_soon = true;
                continue;
            }
            let path = self.path(job, tried, requirement, &target.report.target, view, now);
            if let Path::None { since } = path {
                local.unreached += 1;
                local.opens_soon |= since < UNREACHED_HOLD;
            } else if self.is_shut(target, now) {
                local.opens_soon = true;
            } else if path != Path::Direct || !tried.has(&target.report.target) {
                // A target that was tried from here may be reached by a neighbour.
                let holder = self.holder(job, target, cache_owner, now);
                let claimed = claimed.get(&target.report.target).copied();
                let claimed = claimed.unwrap_or_default();
                let (candidate, reading_us, flights) =
                    self.candidate(job, target, holder, claimed, now);
                let is_full = job.engine().is_none() && !self.allows_one_more(target, flights);
                if is_full || self.is_brittle_and_full(target, flights) {
                    local.opens_soon = true;
                    continue;
                }
                let measured = demand.as_ref().map(|demand| {
                    let expected = Expected {
                        candidate: &candidate,
                        reading_us,
                        flights,
                    };
                    self.measure(job, target, demand, expected, now)
                });
                let candidate = if let Some((measure, fit)) = measured {
                    local.measures.push(measure);
                    local.fits.push(fit);
                    local.opens_soon |= fit == Fit::Overfull;
                    paced(candidate, &measure.figures)
                } else {
                    candidate
                };
                let rate = self.rates.rate(target, job.cold_start(), now);
                let candidate = self.with_permit_wait(candidate, target, rate, now);
                let candidate = if requirement.is_continuing() {
                    self.with_run(candidate, target)
                } else {
                    candidate
                };
                let is_doubtful = path == Path::Direct
                    && self
                        .reach
                        .paths()
                        .borrow()
                        .is_doubtful(&target.report.target);
                local.doubtful += usize::from(is_doubtful);
                let (candidate, detour) = with_path(candidate, path);
                local.detours.push(detour);
                local.holders.push(holder);
                local.rates.push(rate);
                local.targets.push(target);
                local.flights.push(flights);
                local.candidates.push(candidate);
                local.reading_us.push(reading_us);
            }
        }
        if is_strong_suspect {
            local.preferred = local.preferred(job.fingerprint());
        }
        let is_limited = local.rates.iter().any(Option::is_some);
        local.is_unranked = is_limited && rand::rng().random_bool(UNRANKED_SHARE);
        local
    }

    /// Returns whether a strong suspect other than these is at a target.
    fn is_occupied(&self, suspects: &[Fingerprint], target: &Target) -> bool {
        let probes = self.probes.borrow();
        probes.is_occupied(&target.report.target, suspects)
    }

    /// Returns whether a target that was chosen before may still get a request.
    pub(super) fn may_get_requests(&self, target: &Target, view: &View, now: Instant) -> bool {
        !self.is_leaving(target, view, now)
            && !self.is_shut(target, now)
            && self.pause(target, now) == State::Open
    }

    /// Adds what is known of the process behind a target's address to a candidate for a stream that goes
    /// on.
    fn with_run(&self, candidate: Candidate, target: &Target) -> Candidate {
        match self.target_run(target) {
            Run::Same => candidate,
            Run::Unseen => Candidate {
                wait: candidate.wait + UNSEEN_RUN_COST,
                ..candidate
            },
            Run::InDoubt => Candidate {
                is_ejected: true,
                ..candidate
            },
        }
    }

    /// Adds the time until a permit of a target is expected to a candidate.
    fn with_permit_wait(
        &self,
        candidate: Candidate,
        target: &Target,
        rate: Option<Rate>,
        now: Instant,
    ) -> Candidate {
        if rate.is_none() {
            return candidate;
        }
        let permit_wait = self.rates.wait(&target.report.target, now);
        Candidate {
            wait: candidate.wait + permit_wait,
            permit_wait,
            ..candidate
        }
    }

    fn candidate(
        &self,
        job: &Job,
        target: &Target,
        holder: Holder,
        claimed: Load,
        now: Instant,
    ) -> (Candidate, u64, u32) {
        let report = &target.report;
        let others = self.neighbours.borrow().load_at(&report.target, now);
        let others = others.plus(claimed);
        let mut tracker = self.tracker.borrow_mut();
        let service_time = tracker.service_time(&job.service, self.policy.default_service_time);
        let account = tracker.target(&report.target, &job.service, now);
        let is_silent = now.saturating_duration_since(target.heard_at) > MAX_REPORT_AGE;
        let flights = account.in_flight + others.in_flight;
        let Some(slots) = job.engine_slots() else {
            let candidate = Candidate {
                wait: service_time * flights / report.slots.max(1),
                permit_wait: Duration::ZERO,
                prefill_ahead: Duration::ZERO,
                occupancy: 0.0,
                prefill: Duration::ZERO,
                is_ejected: account.record.is_ejected(now) || is_silent,
                tie_breaker: rand::rng().random(),
            };
            return (candidate, 0, flights);
        };
        let prefill_ahead = Duration::from_micros(account.reading_us + others.reading_us);
        let known = self.prefill_time(job, holder.known);
        let expected = self.prefill_time(job, holder.expected);
        let queued = DELAY_PER_QUEUED * flights.saturating_sub(slots);
        let candidate = Candidate {
            wait: prefill_ahead + queued + DELAY_PER_RUNNING * flights,
            permit_wait: Duration::ZERO,
            prefill_ahead,
            occupancy: f64::from(flights) / f64::from(slots.max(1)),
            prefill: expected,
            is_ejected: account.record.is_ejected(now) || is_silent,
            tie_breaker: rand::rng().random(),
        };
        // Tokens that are expected but not known to be cached count half.
        let prefill_time = (known + expected) / 2;
        let reading_us = u64::try_from(prefill_time.as_micros()).unwrap_or(u64::MAX);
        (candidate, reading_us, flights)
    }

    /// Returns the tokens of a prompt that a target is expected to have cached.
    fn holder(
        &self,
        job: &Job,
        target: &Target,
        cache_owner: Option<&str>,
        now: Instant,
    ) -> Holder {
        let name = target.report.target.as_str();
        let mut tracker = self.tracker.borrow_mut();
        let since = now.checked_sub(PREFIX_CACHE_TTL);
        let known = tracker.find(name).map_or(0, |account| {
            let held = |part: &str| since.is_some_and(|since| account.has_part(part, since));
            Self::cached_tokens(job, held)
        });
        let expected = if cache_owner == Some(name) {
            Self::cached_tokens(job, |_| true)
        } else {
            known
        };
        Holder { known, expected }
    }

    /// Returns the cached tokens of a prompt. A part is only usable together with all parts before
    /// it.
    fn cached_tokens(job: &Job, held: impl Fn(&str) -> bool) -> u64 {
        let shared = job.prompt.parts.len().saturating_sub(1);
        let parts = job.prompt.parts.iter().take(shared);
        let cached_tokens = parts.take_while(|(part, _)| held(part));
        cached_tokens.map(|(_, tokens)| tokens).sum()
    }

    fn prefill_time(&self, job: &Job, cached_tokens: u64) -> Duration {
        self.policy.rates.expected(job.prompt.tokens, cached_tokens)
    }

    /// Returns whether a plain target is expected to accept one more request.
    fn allows_one_more(&self, target: &Target, flights: u32) -> bool {
        let mut tracker = self.tracker.borrow_mut();
        let account = tracker.find(&target.report.target);
        account.is_none_or(|account| account.concurrency.allows(flights))
    }

    /// Returns whether one more request would have to wait at a target that bears few rejections, and so
    /// might be one.
    fn is_brittle_and_full(&self, target: &Target, flights: u32) -> bool {
        flights >= target.report.slots && self.rates.is_brittle(&target.report.target)
    }

    /// Returns whether a target is about to go away, or is in an evacuated zone.
    fn is_leaving(&self, target: &Target, view: &View, now: Instant) -> bool {
        let report = &target.report;
        let ends = target
            .gone_at
            .is_some_and(|gone| gone < now + MIN_REMAINING_LIFE);
        ends || view.is_evacuated(&report.place.zone)
            || self.has_departed(&report.target, report.incarnation)
    }

    /// Returns whether a target is known to accept no requests at the moment.
    fn is_shut(&self, target: &Target, now: Instant) -> bool {
        self.is_blocked(&target.report.target, now)
    }

    /// Returns whether a target or instance gets no request now, because it refused one.
    fn is_blocked(&self, name: &str, now: Instant) -> bool {
        let mut tracker = self.tracker.borrow_mut();
        let account = tracker.find(name);
        account.is_some_and(|account| account.is_blocked(now))
    }

    fn remote_regions<'a>(
        &self,
        job: &Job,
        tried: &Tried,
        requirement: &Requirement,
        view: &'a View,
        now: Instant,
    ) -> Vec<RemoteRegion<'a>> {
        let tracker = self.tracker.borrow();
        let may_run = |region: &&id::Region| {
            **region != view.place.region
                && job.permits(region)
                && !tracker.is_region_blocked(region, &job.service, now)
                && !self.is_lender_paused(view, region, &job.service, now)
        };
        let regions = view.targets.regions(&job.service).filter(may_run);
        let remote = regions.filter_map(|name| {
            let ready = view.instances.ready_in(name);
            let instances: Vec<&Presence> = ready
                .filter(|held| !tried.has(&held.instance) && heeds(held, requirement))
                .collect();
            let wait = self.remote_wait(job, name, requirement, view, now)?;
            let round_trip = self.policy.region_round_trip;
            let region = Region { wait, round_trip };
            (!instances.is_empty()).then_some(RemoteRegion { instances, region })
        });
        remote.collect()
    }

    /// Returns the expected wait in another region, or `None` if no target there would accept the
    /// request.
    fn remote_wait(
        &self,
        job: &Job,
        region: &str,
        requirement: &Requirement,
        view: &View,
        now: Instant,
    ) -> Option<Duration> {
        let is_usable = |target: &&Target| {
            let version = target.report.version.as_deref();
            let accepts_load = self.rates.rate(target, job.cold_start(), now).is_none();
            let zone = &target.report.place.zone;
            accepts_load
                && requirement.admits(&job.service, version)
                && !view.is_evacuated(zone)
                && target.gone_at.is_none()
        };
        let targets = view.targets.of(&job.service, region);
        let targets: Vec<&Target> = targets.filter(is_usable).collect();
        let per_target = per_target(view.loads.of(&job.service, region), targets.len());
        let slots = targets.first()?.report.slots.max(1);
        if let Some(slots) = job.engine_slots() {
            let queued = per_target.in_flight.saturating_sub(slots);
            let prefill_time = Duration::from_micros(per_target.reading_us);
            return Some(
                prefill_time + DELAY_PER_QUEUED * queued + DELAY_PER_RUNNING * per_target.in_flight,
            );
        }
        let service_time = self
            .tracker
            .borrow()
            .service_time(&job.service, self.policy.default_service_time);
        Some(service_time * per_target.in_flight / slots)
    }
}

/// Returns a retry time somewhat after a time, so that requests don't all return at once.
fn spread(after: Duration) -> Duration {
    after + PAUSE_SPREAD.mul_f64(rand::rng().random())
}

/// Returns whether an instance sends a request only to a target that satisfies the requirement.
pub(super) const fn heeds(instance: &Presence, requirement: &Requirement) -> bool {
    instance.checks_origins || !requirement.is_continuing()
}

/// Adds the cost of the path to a candidate; returns the neighbour that the path leads by, if it does.
fn with_path(candidate: Candidate, path: Path) -> (Candidate, Option<id::Instance>) {
    let Path::Detour(instance) = path else {
        return (candidate, None);
    };
    let candidate = Candidate {
        wait: candidate.wait + DETOUR_TIME,
        // What failed from here says nothing of the neighbour's path.
        is_ejected: false,
        ..candidate
    };
    (candidate, Some(instance))
}

/// Returns the average load of a target.
fn per_target(sum: Total, targets: usize) -> Total {
    let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
    Total {
        in_flight: sum.in_flight / targets,
        reading_us: sum.reading_us / u64::from(targets),
    }
}

/// Returns the target to which all instances of the region assign the request's shared prompt
/// parts.
fn cache_owner<'a>(job: &Job, targets: &[&'a Target]) -> Option<&'a str> {
    let key = job.prompt.shared().last()?;
    let names = targets.iter().map(|target| target.report.target.as_str());
    names.max_by_key(|name| weight(key, name))
}

fn place_remote(remote: &RemoteRegion<'_>) -> Placement {
    let at = rand::rng().random_range(0..remote.instances.len());
    let presence = remote.instances[at];
    let place = Place::Instance {
        instance: presence.instance.clone(),
        region: presence.place.region.clone(),
        address: presence.forward.clone(),
        detour: None,
    };
    let basis = Basis {
        wait: remote.region.wait + remote.region.round_trip,
        candidates: remote.instances.len(),
        ..Basis::default()
    };
    Placement::Send(place, 0, basis, None)
}
