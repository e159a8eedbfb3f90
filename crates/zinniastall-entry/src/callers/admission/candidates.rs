//! Selects the targets and places that may receive a request from the current view.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use zinniastall_coord::{
    pause::State,
    rate::{MAX_PATIENCE, MIN_RATE},
};
use zinniastall_model::{id, object::Subject, place::Place};
use zinniastall_route::{
    admit,
    choose::{self, Candidate},
    eject,
    load::{Report, Table},
    policy::Policy,
    request::Request,
    spill::{Local, Remote},
};
use zinniastall_wire::gossip;

use super::outstanding::Outstanding;
use crate::{
    notices::{Notices, Standing},
    rates::{Limited, Rates},
    reach::Reach,
    view::{Digest, Target, View},
};

/// Role of targets that only compute prompts for other targets.
const PREFILL_ROLE: &str = "prefill";
/// Time over which requests return that are rejected until a pause ends.
const PAUSE_SPREAD: Duration = Duration::from_millis(250);
/// Age at which a digest is ignored.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(5);

/// What the choice of targets depends on besides the view.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sources<'a> {
    pub(super) policy: &'a Policy,
    pub(super) table: &'a Table,
    pub(super) rates: &'a Rates,
    pub(super) notices: &'a Notices,
    pub(super) reach: &'a Reach,
}

/// Targets of this zone that can serve a request, without ejected ones.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    all: Vec<Candidate<'a>>,
    /// Targets that take a limited rate.
    limited: IndexMap<&'a str, Limited>,
    /// Targets that are tried after a pause and have not answered yet; requests wait for them.
    tried_now: IndexSet<&'a str>,
    /// Time until the first of the targets is back that asked for a pause.
    first_pause_end: Option<Duration>,
    /// Whether any target serves the subject, including those that failed this request or asked for a
    /// pause.
    any_serving: bool,
    /// Whether all of them say nothing, so that another place should get the request.
    are_doubtful: bool,
}

impl<'a> Candidates<'a> {
    /// Collects the candidates from the view and the load table.
    pub(super) fn find(
        view: &'a View,
        request: &Request,
        tried: &[id::Target],
        sources: Sources<'a>,
        now: Instant,
    ) -> Self {
        let Sources {
            policy,
            table,
            rates,
            notices,
            reach,
        } = sources;
        let mut all = serving(view, &request.subject, table, now);
        all.retain(|candidate| reach.is_reached(view, candidate.target, request, now));
        let any_serving = !all.is_empty();
        let Noticed {
            tried_now,
            first_pause_end,
        } = heed(view, &mut all, notices, now);
        all.retain(|candidate| !tried.iter().any(|target| target == candidate.target));
        prefer_version(view, request, &mut all);
        let all = without_ejected(all, policy, now);
        let are_doubtful = !all.is_empty()
            && all
                .iter()
                .all(|candidate| reach.is_doubtful(view, candidate.target, request, now));
        Self {
            are_doubtful,
            limited: limited(view, &all, rates, now),
            all,
            tried_now,
            first_pause_end,
            any_serving,
        }
    }

    /// Returns the time after which a request should return for which there is no target now; `default` if
    /// none asked for a pause.
    pub(super) fn retry_after(&self, default: Duration) -> Duration {
        self.first_pause_end.map_or(default, |end| {
            end + PAUSE_SPREAD.mul_f64(rand::rng().random())
        })
    }

    /// Returns whether a request that came from another place should go back there: it may know one
    /// whose targets answer.
    pub(super) const fn go_back(&self, request: &Request) -> bool {
        self.are_doubtful && request.hops.len() > 1
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(super) fn have_room(&self) -> bool {
        !self.with_room().is_empty()
    }

    /// Returns the targets that may get one more request. One for which the request would wait is
    /// among them only if there is no other.
    pub(super) fn with_room(&self) -> Vec<Candidate<'a>> {
        let within = |longest: Duration| {
            let open = self.all.iter().filter(|candidate| {
                candidate.load.has_room()
                    && self.permit_wait(candidate) <= longest
                    && !self.tried_now.contains(candidate.target)
            });
            open.copied().collect::<Vec<_>>()
        };
        let open = within(Duration::ZERO);
        if open.is_empty() {
            within(MAX_PATIENCE)
        } else {
            open
        }
    }

    /// Returns the limit of a target; `None` if it takes any rate.
    pub(super) fn limit_of(&self, target: &str) -> Option<Limited> {
        self.limited.get(target).copied()
    }

    fn permit_wait(&self, candidate: &Candidate<'_>) -> Duration {
        let limited = self.limited.get(candidate.target);
        limited.map_or(Duration::ZERO, |limited| limited.wait)
    }

    /// Returns the mean service time of a request.
    pub(super) fn mean_service_time(&self) -> Duration {
        let sum: Duration = self
            .all
            .iter()
            .map(|candidate| candidate.load.service_time())
            .sum();
        let count = u32::try_from(self.all.len()).unwrap_or(u32::MAX);
        sum / count.max(1)
    }

    /// Returns the mean interval between starts while all targets are at their limits.
    pub(super) fn start_interval(&self) -> Duration {
        if self.limited.is_empty() {
            let limits = self.all.iter().map(|candidate| candidate.load.limit());
            return self.mean_service_time() / limits.sum::<u32>().max(1);
        }
        let service_secs = self.mean_service_time().as_secs_f64().max(f64::EPSILON);
        let starts = self.all.iter().map(|candidate| {
            let limited = self.limited.get(candidate.target);
            let rate = limited.map_or(f64::INFINITY, |limited| limited.rate.as_f64());
            (f64::from(candidate.load.limit()) / service_secs).min(rate)
        });
        Duration::from_secs_f64(1.0 / starts.sum::<f64>().max(MIN_RATE.as_f64()))
    }

    /// Creates the queue entry of a request; the queue assigns its id.
    pub(super) fn waiter(&self, policy: &Policy, request: &Request, now: Instant) -> admit::Waiter {
        let left = request.deadline.saturating_duration_since(now);
        admit::Waiter {
            id: 0,
            client: request.client.clone(),
            weight: request.weight,
            rank: policy.rank(&request.class),
            deadline: request.deadline,
            // A stream may outlive its deadline, so an expected duration alone does not refuse it.
            service_time: self.mean_service_time().min(left / 2),
        }
    }

    /// Returns the lowest cost of serving the request here, ignoring the queue.
    pub(super) fn cheapest(&self, policy: &Policy, prefixes: &[u64], now: Instant) -> Local {
        if self.are_doubtful {
            return Local::Tried;
        }
        let costs = self.all.iter();
        let costs = costs.map(|candidate| {
            let cost = choose::cost(policy, prefixes, candidate.load, now);
            cost + policy.wait_cost(self.permit_wait(candidate))
        });
        match costs.min_by(f64::total_cmp) {
            Some(cost) => Local::Cost(cost),
            None if self.any_serving => Local::Tried,
            None => Local::None,
        }
    }
}

/// Returns the number of slots in the zone, at least 1.
///
/// The instances of a zone share its slots, and each can use all of them. If an instance reported
/// its load relative to its share only, callers would oscillate between instances, since the
/// weights used by locate would double with every sixth request.
pub(super) fn zone_slots(view: &View) -> u32 {
    let slots: u32 = view
        .targets
        .values()
        .map(|target| target.report.slots)
        .sum();
    slots.max(1)
}

/// Returns whether any target of a subject has a free slot.
pub(super) fn any_has_room(
    view: &View,
    subject: &Subject,
    sources: Sources<'_>,
    now: Instant,
) -> bool {
    let mut serving = serving(view, subject, sources.table, now);
    let noticed = heed(view, &mut serving, sources.notices, now);
    let all = without_ejected(serving, sources.policy, now);
    let candidates = Candidates {
        limited: limited(view, &all, sources.rates, now),
        all,
        tried_now: noticed.tried_now,
        first_pause_end: noticed.first_pause_end,
        any_serving: true,
        are_doubtful: false,
    };
    candidates.have_room()
}

/// What targets asked of this instance, as it concerns a choice among them.
#[derive(Debug, Default)]
struct Noticed<'a> {
    tried_now: IndexSet<&'a str>,
    first_pause_end: Option<Duration>,
}

/// Removes the targets that leave, or want no requests now.
fn heed<'a>(
    view: &View,
    all: &mut Vec<Candidate<'a>>,
    notices: &Notices,
    now: Instant,
) -> Noticed<'a> {
    let mut found = Noticed::default();
    all.retain(|candidate| {
        let Some(target) = view.targets.get(candidate.target) else {
            return true;
        };
        match notices.standing(&target.report, now) {
            Standing::Leaving => false,
            Standing::Staying(State::Open) => true,
            Standing::Staying(State::Tried) => {
                found.tried_now.insert(candidate.target);
                true
            }
            Standing::Staying(State::Paused(left)) => {
                let first = found.first_pause_end.map_or(left, |first| first.min(left));
                found.first_pause_end = Some(first);
                false
            }
        }
    });
    found
}

/// Returns which of the candidates take a limited rate.
fn limited<'a>(
    view: &View,
    candidates: &[Candidate<'a>],
    rates: &Rates,
    now: Instant,
) -> IndexMap<&'a str, Limited> {
    if !rates.is_used() {
        return IndexMap::new();
    }
    let limited = candidates.iter().filter_map(|candidate| {
        let target = view.targets.get(candidate.target)?;
        Some((candidate.target, rates.limited(&target.report, now)?))
    });
    limited.collect()
}

/// Converts a target's announcement to a load report.
pub(super) fn report(target: &Target) -> Report {
    let report = &target.report;
    Report {
        incarnation: report.incarnation,
        sequence: report.sequence,
        slots: report.slots,
        busy: report.busy,
        price: report.price,
        prefixes: report.prefixes.clone(),
        gap: report.gap,
        received_at: target.heard,
    }
}

/// Returns the other places that serve a subject, according to recent digests.
pub(super) fn remotes(
    view: &View,
    subject: &Subject,
    forwarded: &mut IndexMap<Place, Outstanding>,
    now: Instant,
) -> Vec<Remote> {
    let fits = |report: &gossip::Digest| report.subject == *subject && report.role != PREFILL_ROLE;
    let fresh = view.digests.iter().filter(|digest| {
        now.saturating_duration_since(digest.made) < MAX_DIGEST_AGE && fits(&digest.report)
    });
    let remote = |digest: &Digest| {
        let report = &digest.report;
        let outstanding = forwarded.entry(report.place.clone()).or_default();
        outstanding.observe_digest(digest.made);
        Remote {
            place: report.place.clone(),
            free_slots: outstanding.free_slots(report.free),
            wait: Duration::from_millis(report.wait_ms),
            price: report.price,
        }
    };
    fresh.map(remote).collect()
}

/// Returns the live targets that serve a subject.
///
/// Leases are also checked against the clock, since a view published before this process was
/// suspended lists targets that have left since.
fn serving<'a>(
    view: &'a View,
    subject: &Subject,
    table: &'a Table,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let serves = |report: &gossip::Target| {
        let mut servings = report.serves.iter();
        servings.any(|serving| serving.subject == *subject)
    };
    let live = view.targets.iter().filter(|(_, target)| {
        let report = &target.report;
        !report.leaving && target.until > now && report.role != PREFILL_ROLE && serves(report)
    });
    let known = live.filter_map(|(name, _)| {
        let load = table.get(name)?;
        Some(Candidate { target: name, load })
    });
    known.collect()
}

/// Keeps only targets with the configured version, if there are any. During a rollout, the old
/// version serves until the first target has the new one.
fn prefer_version(view: &View, request: &Request, all: &mut Vec<Candidate<'_>>) {
    let Some(version) = &request.version else {
        return;
    };
    let current = |candidate: &Candidate<'_>| {
        let report = view
            .targets
            .get(candidate.target)
            .map(|target| &target.report);
        report.is_some_and(|report| {
            let mut servings = report.serves.iter();
            servings
                .any(|serving| serving.subject == request.subject && serving.version == *version)
        })
    };
    if all.iter().any(current) {
        all.retain(current);
    }
}

fn without_ejected<'a>(
    all: Vec<Candidate<'a>>,
    policy: &Policy,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let ejected: Vec<_> = all
        .iter()
        .map(|candidate| candidate.load.ejected_until(now))
        .collect();
    let usable = eject::usable(&ejected, policy.usable_floor());
    let kept = all.into_iter().zip(usable).filter(|(_, usable)| *usable);
    kept.map(|(candidate, _)| candidate).collect()
}
