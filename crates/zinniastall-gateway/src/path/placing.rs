//! Gathers what the decision on a place needs, and turns it into an address.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use zinniastall_model::{id, presence::Presence};

use super::{Traffic, attempt::Place, job::Job};
use crate::{
    decide::{
        fetch::{self, Holder, Link},
        place::{Candidate, Choice, Patience, Region, choose},
        warm,
    },
    index::Total,
    neighbours::{Load, collector::is_small},
    request_log::Basis,
    view::{Target, View},
};

/// Wait that is added for each request beyond an engine's slots: the time between two ends of requests
/// in a full batch, which finishes about thirty a second.
const BEYOND_SLOTS: Duration = Duration::from_millis(33);
/// Wait that each running request adds at an engine: its tokens share the batch. A full batch of 64
/// delays a step by a millisecond, and a prompt takes some fifty steps.
const RUNNING: Duration = Duration::from_micros(700);
/// Time that a target which is going away must have left to get a request.
const LEAVING: Duration = Duration::from_millis(1_500);
/// Time for which an engine is expected to keep a prompt part after it was sent there.
const KEPT: Duration = Duration::from_secs(20);
/// Silence after which a target counts as failing unless its own answers speak for it: two signs of life,
/// which replicas pass on every three seconds, were lost.
const SILENT: Duration = Duration::from_secs(7);

/// Coordinators that are asked for a request, one after the other, while what others claimed makes another
/// target the better one.
const CLAIMS: usize = 3;

/// What others claimed of targets in the last moments.
pub type Claimed = IndexMap<id::Target, Load>;

/// What was tried for a request and is not tried again.
#[derive(Debug, Default)]
pub struct Tried {
    names: IndexSet<String>,
}

/// Where a request goes next.
#[derive(Debug)]
pub enum Next {
    /// To a place, where reading the prompt is expected to take so many microseconds.
    Go(Place, u64, Basis),
    /// Nowhere now; to be asked again after a time.
    Wait(Duration),
    /// Nowhere; worth coming back after a time. The basis is that of the best target.
    Refuse(Duration, Basis),
}

impl Tried {
    /// Notes that a target or instance was tried.
    pub fn add(&mut self, name: &str) {
        self.names.insert(name.to_owned());
    }

    fn has(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}

/// Targets of this region that may get a request, side by side with what the decision sees.
#[derive(Debug, Default)]
struct Here<'a> {
    targets: Vec<&'a Target>,
    candidates: Vec<Candidate>,
    reading_us: Vec<u64>,
    flights: Vec<u32>,
    holders: Vec<Holder>,
    opens_soon: bool,
}

impl Here<'_> {
    /// Returns what speaks for the target with the shortest wait.
    fn best(&self) -> Basis {
        let places = self.candidates.iter().enumerate();
        let best = places.min_by_key(|(_, candidate)| candidate.cost());
        let basis = best.map(|(at, candidate)| Basis {
            wait: candidate.wait,
            prefill: candidate.read,
            in_flight: self.flights[at],
            report_age: self.targets[at].heard_at.elapsed(),
            candidates: self.candidates.len(),
        });
        basis.unwrap_or_default()
    }
}

/// Another region.
#[derive(Debug)]
struct There<'a> {
    instances: Vec<&'a Presence>,
    region: Region,
}

impl Traffic {
    /// Chooses where a request goes next, and books it there.
    ///
    /// In a large region the target's coordinator is asked before, since others may have chosen the same one
    /// on the same news.
    pub async fn place(&self, job: &Job, tried: &Tried) -> Next {
        let view = self.board.view();
        let mut claimed = Claimed::default();
        let mut next = self.choose(job, tried, &claimed);
        while claimed.len() < CLAIMS && !is_small(&view) {
            let Next::Go(Place::Target { target, .. }, reading_us, _) = &next else {
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
            // Sums contain some of what was claimed as well. That may turn a request to another target of the
            // region, and is no reason to send it away.
            let again = self.choose(job, tried, &claimed);
            if !matches!(again, Next::Go(Place::Target { .. }, ..)) {
                break;
            }
            next = again;
        }
        if let Next::Go(place, ..) = &next {
            self.book(job, place);
        }
        next
    }

    /// Chooses where a request goes next by what is known here.
    pub fn choose(&self, job: &Job, tried: &Tried, claimed: &Claimed) -> Next {
        let (view, now) = (self.board.view(), Instant::now());
        let here = self.here(job, tried, claimed, &view, now);
        let there = if job.is_passed_on {
            Vec::new()
        } else {
            self.there(job, tried, &view, now)
        };
        let regions: Vec<Region> = there.iter().map(|there| there.region).collect();
        let books = self.books.borrow();
        let patience = Patience {
            left: job.left(now),
            objective: job.objective(now),
            gap: books.min_gap(&job.service, now),
            rank: books.rank(&job.service, job.priority(), now),
            route_rank: books.route_rank(&job.service, job.route().priority, now),
            // Who passed the request on may find another place at once.
            opens_soon: here.opens_soon && !job.is_passed_on,
        };
        drop(books);
        match choose(&here.candidates, &regions, patience) {
            Choice::Here(at) => self.take(job, &here, at, now),
            Choice::There(at) => instance(&there[at]),
            Choice::Wait(after) => Next::Wait(after),
            Choice::Refuse(after) => Next::Refuse(after, here.best()),
        }
    }

    /// Notes what a request takes to its place.
    fn book(&self, job: &Job, place: &Place) {
        let Place::Target { target, .. } = place else {
            return;
        };
        let (view, now) = (self.board.view(), Instant::now());
        let mut books = self.books.borrow_mut();
        let account = books.target(target, &job.service, now);
        account.record_parts(job.prompt.shared(), now);
        let known = view.targets.by_name().get(target);
        if known.is_some_and(|known| is_cold(known, now)) {
            account.pace.take(job.cold_rate(), now);
        }
    }

    fn take(&self, job: &Job, here: &Here<'_>, at: usize, now: Instant) -> Next {
        let (target, candidate) = (here.targets[at], here.candidates[at]);
        let report = &target.report;
        let place = Place::Target {
            target: report.target.clone(),
            address: report.address.clone(),
            slots: report.slots,
            source: self.source(job, here, at),
        };
        let basis = Basis {
            wait: candidate.wait,
            prefill: candidate.read,
            in_flight: here.flights[at],
            report_age: now.saturating_duration_since(target.heard_at),
            candidates: here.candidates.len(),
        };
        Next::Go(place, here.reading_us[at], basis)
    }

    /// Returns the address of the target from which the one at a place copies what it lacks.
    fn source(&self, job: &Job, here: &Here<'_>, at: usize) -> Option<String> {
        let engine = job.engine()?;
        let link = Link {
            token_bytes: engine.token_bytes,
            mbps: engine.link_mbps,
        };
        let read = |tokens| self.policy.rates.expected(tokens, 0);
        let source = fetch::source(&here.holders, at, link, read)?;
        Some(here.targets[source].report.address.clone())
    }

    fn here<'a>(
        &self,
        job: &Job,
        tried: &Tried,
        claimed: &Claimed,
        view: &'a View,
        now: Instant,
    ) -> Here<'a> {
        let mut here = Here::default();
        if !job.permits(&view.place.region) {
            return here;
        }
        let targets = view.targets.of(&job.service, &view.place.region);
        let targets: Vec<&Target> = targets.collect();
        let home = home(job, &targets);
        for target in targets {
            if !self.is_open(job, target, view, now) {
                continue;
            }
            if self.is_shut(target, now) {
                here.opens_soon = true;
            } else if !tried.has(&target.report.target) {
                let holder = self.holder(job, target, home, now);
                let claimed = claimed.get(&target.report.target).copied();
                let claimed = claimed.unwrap_or_default();
                let (candidate, reading_us, flights) =
                    self.candidate(job, target, holder, claimed, now);
                if job.engine().is_none() && !self.has_room(target, flights) {
                    here.opens_soon = true;
                    continue;
                }
                here.holders.push(holder);
                here.targets.push(target);
                here.flights.push(flights);
                here.candidates.push(candidate);
                here.reading_us.push(reading_us);
            }
        }
        here
    }

    /// Tells whether a target may get a request at all.
    fn is_open(&self, job: &Job, target: &Target, view: &View, now: Instant) -> bool {
        if is_leaving(target, view, now) {
            return false;
        }
        let (report, rate) = (&target.report, job.cold_rate());
        if !is_cold(target, now) || rate == 0 {
            return true;
        }
        let names = view.instances.ready_in(&report.place.region);
        let sender = warm::sender(&report.target, names.map(|held| held.instance.as_str()));
        if sender != Some(&view.instance) {
            return false;
        }
        let mut books = self.books.borrow_mut();
        let account = books.target(&report.target, &job.service, now);
        account.pace.is_open(rate, now)
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
        let mut books = self.books.borrow_mut();
        let work = books.service_time(&job.service, self.policy.default_service_time);
        let account = books.target(&report.target, &job.service, now);
        let is_silent = now.saturating_duration_since(target.heard_at) > SILENT;
        let flights = account.in_flight + others.in_flight;
        let Some(slots) = job.engine_slots() else {
            let candidate = Candidate {
                wait: work * flights / report.slots.max(1),
                before: Duration::ZERO,
                crowd: 0.0,
                read: Duration::ZERO,
                is_out: account.record.is_out(now) || is_silent,
                tie: rand::rng().random(),
            };
            return (candidate, 0, flights);
        };
        let before = Duration::from_micros(account.reading_us + others.reading_us);
        let known = self.reading(job, holder.known);
        let hoped = self.reading(job, holder.hoped);
        let beyond = BEYOND_SLOTS * flights.saturating_sub(slots);
        let candidate = Candidate {
            wait: before + beyond + RUNNING * flights,
            before,
            crowd: f64::from(flights) / f64::from(slots.max(1)),
            read: hoped,
            is_out: account.record.is_out(now) || is_silent,
            tie: rand::rng().random(),
        };
        // What is only hoped to be held is counted as half read.
        let reading = (known + hoped) / 2;
        let reading_us = u64::try_from(reading.as_micros()).unwrap_or(u64::MAX);
        (candidate, reading_us, flights)
    }

    /// Returns what a target is expected to hold of a prompt.
    fn holder(&self, job: &Job, target: &Target, home: Option<&str>, now: Instant) -> Holder {
        let name = target.report.target.as_str();
        let mut books = self.books.borrow_mut();
        let since = now.checked_sub(KEPT);
        let known = books.find(name).map_or(0, |account| {
            let held = |part: &str| since.is_some_and(|since| account.has_part(part, since));
            Self::kept(job, held)
        });
        let hoped = if home == Some(name) {
            Self::kept(job, |_| true)
        } else {
            known
        };
        Holder { known, hoped }
    }

    /// Returns the prompt tokens that a target holds. A part is only held together with all before it.
    fn kept(job: &Job, held: impl Fn(&str) -> bool) -> u64 {
        let shared = job.prompt.parts.len().saturating_sub(1);
        let parts = job.prompt.parts.iter().take(shared);
        let kept = parts.take_while(|(part, _)| held(part));
        kept.map(|(_, tokens)| tokens).sum()
    }

    fn reading(&self, job: &Job, kept: u64) -> Duration {
        self.policy.rates.expected(job.prompt.tokens, kept)
    }

    /// Tells whether a plain target is expected to take one more request.
    fn has_room(&self, target: &Target, flights: u32) -> bool {
        let mut books = self.books.borrow_mut();
        let account = books.find(&target.report.target);
        account.is_none_or(|account| account.concurrency.is_open(flights))
    }

    /// Tells whether a target is known to take no request at the moment.
    fn is_shut(&self, target: &Target, now: Instant) -> bool {
        let mut books = self.books.borrow_mut();
        let account = books.find(&target.report.target);
        account.is_some_and(|account| account.is_blocked(now))
    }

    fn there<'a>(&self, job: &Job, tried: &Tried, view: &'a View, now: Instant) -> Vec<There<'a>> {
        let books = self.books.borrow();
        let may_run = |region: &&id::Region| {
            **region != view.place.region
                && job.permits(region)
                && !books.is_region_blocked(region, &job.service, now)
        };
        let regions = view.targets.regions(&job.service).filter(may_run);
        let there = regions.filter_map(|name| {
            let ready = view.instances.ready_in(name);
            let instances: Vec<&Presence> =
                ready.filter(|held| !tried.has(&held.instance)).collect();
            let wait = self.wait_there(job, name, view, now)?;
            let trip = self.policy.region_round_trip;
            let region = Region { wait, trip };
            (!instances.is_empty()).then_some(There { instances, region })
        });
        there.collect()
    }

    /// Returns the expected wait in another region, or nothing where no target would take the request.
    fn wait_there(&self, job: &Job, region: &str, view: &View, now: Instant) -> Option<Duration> {
        let serves = |target: &&Target| {
            let bears = !is_cold(target, now) || job.cold_rate() == 0;
            let zone = &target.report.place.zone;
            bears && !view.is_evacuated(zone) && target.gone_at.is_none()
        };
        let targets = view.targets.of(&job.service, region);
        let targets: Vec<&Target> = targets.filter(serves).collect();
        let each = each(view.loads.of(&job.service, region), targets.len());
        let slots = targets.first()?.report.slots.max(1);
        if let Some(slots) = job.engine_slots() {
            let beyond = each.in_flight.saturating_sub(slots);
            let reading = Duration::from_micros(each.reading_us);
            return Some(reading + BEYOND_SLOTS * beyond + RUNNING * each.in_flight);
        }
        let work = self
            .books
            .borrow()
            .service_time(&job.service, self.policy.default_service_time);
        Some(work * each.in_flight / slots)
    }
}

/// Returns what each of some targets has of a load.
fn each(sum: Total, targets: usize) -> Total {
    let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
    Total {
        in_flight: sum.in_flight / targets,
        reading_us: sum.reading_us / u64::from(targets),
    }
}

/// Tells whether a target is about to end, or in a zone that is to get nothing.
fn is_leaving(target: &Target, view: &View, now: Instant) -> bool {
    let ends = target.gone_at.is_some_and(|gone| gone < now + LEAVING);
    ends || view.is_evacuated(&target.report.place.zone)
}

fn is_cold(target: &Target, now: Instant) -> bool {
    target.cold_until.is_some_and(|until| until > now)
}

/// Returns the target at which all instances of the region expect a request's shared parts.
fn home<'a>(job: &Job, targets: &[&'a Target]) -> Option<&'a str> {
    let key = job.prompt.shared().last()?;
    let names = targets.iter().map(|target| target.report.target.as_str());
    names.max_by_key(|name| warm::weight(key, name))
}

fn instance(there: &There<'_>) -> Next {
    let at = rand::rng().random_range(0..there.instances.len());
    let presence = there.instances[at];
    let place = Place::Instance {
        instance: presence.instance.clone(),
        region: presence.place.region.clone(),
        address: presence.forward.clone(),
    };
    let basis = Basis {
        wait: there.region.wait + there.region.trip,
        candidates: there.instances.len(),
        ..Basis::default()
    };
    Next::Go(place, 0, basis)
}
