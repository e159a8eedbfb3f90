//! Requests that leave the region under a grant of another one.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use zinniastall_coord::origin::Requirement;
use zinniastall_model::{id, presence::Presence};

use super::{
    Proxy,
    attempt::{Ended, Place},
    job::Job,
    placement::{Placement, Tried, heeds},
};
use crate::{
    decide::{
        fit::{Fit, choose_fitting},
        place::{Candidate, Choice, Constraints},
    },
    neighbours::{datagram::key, overflow::messages::ANYWHERE},
    request_log::Basis,
    view::View,
};

/// Right by which a request leaves its region, as logged.
const BY_GRANT: &str = "grant";

impl Proxy {
    /// Returns where a request goes that no target of this region would serve in time, if another
    /// region lends room for it; takes a token.
    ///
    /// Such a request counts once as need of this region, with a token or without.
    pub(super) fn overflow(
        &self,
        job: &Job,
        tried: &Tried,
        requirement: &Requirement,
        (candidates, fits, constraints): (&[Candidate], &[Fit], Constraints),
        view: &View,
        now: Instant,
    ) -> Option<Placement> {
        let is_served = is_served(candidates, fits, constraints);
        if is_served || self.is_too_far(constraints) {
            return None;
        }
        let homes = other_homes(job, requirement, view);
        if homes.is_empty() {
            return None;
        }
        let work = self.expected_work(job, candidates);
        self.record_need(job, &homes, work, view, now);
        let mut wallet = self.overflow.wallet.borrow_mut();
        if !wallet.is_live(&job.service, now) {
            return None;
        }
        let instances = |region: &str| -> Vec<&Presence> {
            let ready = view.instances.ready_in(region);
            let fit = ready.filter(|held| !tried.has(&held.instance) && heeds(held, requirement));
            fit.collect()
        };
        let may_run = |region: &str| {
            let is_home = homes.contains(&region);
            is_home && !instances(region).is_empty()
        };
        let lender = wallet.take(&job.service, work, now, may_run);
        drop(wallet);
        let outcome = if lender.is_some() { "sent" } else { "no-token" };
        self.metrics.count_overflow(outcome);
        let lender = lender?;
        let instances = instances(&lender);
        let presence = instances.choose(&mut rand::rng())?;
        let basis = Basis {
            wait: self.policy.region_round_trip,
            prefill: Duration::from_micros(work),
            candidates: instances.len(),
            far_by: Some(BY_GRANT),
            ..Basis::default()
        };
        Some(Placement::Send(go_to(presence), 0, basis, None))
    }

    /// Records what a lending region did with a request that was sent under its grant.
    pub(super) fn record_granted(&self, job: &Job, place: &Place, ended: &Ended) {
        let Place::Instance { region, .. } = place else {
            return;
        };
        let is_rejected = match ended {
            Ended::NotSent(_) | Ended::NotRun(_) => true,
            Ended::Delivered(_) => false,
            _ => return,
        };
        let outcome = if is_rejected { "rejected" } else { "served" };
        self.metrics.count_overflow(outcome);
        let mut wallet = self.overflow.wallet.borrow_mut();
        if wallet.observe(&job.service, region, is_rejected, Instant::now()) {
            tracing::info!(event = "overflow-paused", service = job.service, region);
        }
    }

    /// Returns whether a lending region rejected so many requests that it gets none for a while.
    pub(super) fn is_lender_paused(
        &self,
        view: &View,
        region: &str,
        service: &str,
        now: Instant,
    ) -> bool {
        let wallet = || self.overflow.wallet.borrow();
        view.load_control.overflow && wallet().is_paused(service, region, now)
    }

    /// Returns whether the way to another region takes longer than the request may wait.
    fn is_too_far(&self, constraints: Constraints) -> bool {
        constraints.max_wait() <= self.policy.region_round_trip
    }

    /// Returns the expected prefill time of a request in microseconds: as at the target of this
    /// region that has most of the prompt cached, since mostly one of another region has as much.
    fn expected_work(&self, job: &Job, candidates: &[Candidate]) -> u64 {
        if job.engine().is_none() {
            return 0;
        }
        let prefills = candidates.iter().map(|candidate| candidate.prefill);
        let full = || self.policy.rates.expected(job.prompt.tokens, 0);
        let prefill = prefills.min().unwrap_or_else(full);
        u64::try_from(prefill.as_micros()).unwrap_or(u64::MAX)
    }

    fn record_need(&self, job: &Job, homes: &[&str], work: u64, view: &View, now: Instant) {
        if job.is_need_counted.replace(true) {
            return;
        }
        let regions = view.targets.regions(&job.service);
        let others = regions.filter(|region| **region != view.place.region);
        let is_bound = others.into_iter().any(|region| !job.permits(region));
        let home = &view.place.region;
        let at_home = job.permits(home).then_some(home.as_str());
        let mut wallet = self.overflow.wallet.borrow_mut();
        if is_bound {
            let homes = homes.iter().copied().chain(at_home);
            wallet.record_need(&job.service, homes.map(key), work, now);
        } else {
            let regions = [ANYWHERE].into_iter().chain(at_home.map(key));
            wallet.record_need(&job.service, regions, work, now);
        }
    }
}

/// Returns whether a target of this region would serve a request in time, with a free slot and within
/// the bounds on gaps as far as they are known.
fn is_served(candidates: &[Candidate], fits: &[Fit], constraints: Constraints) -> bool {
    let fits_well = |at: usize| fits.get(at).is_none_or(|fit| *fit <= Fit::Reluctant);
    let choice = choose_fitting(candidates, fits, &[], constraints);
    matches!(choice, Choice::Local(at) if fits_well(at))
}

/// Returns the other regions in which a request may run and has targets.
fn other_homes<'a>(job: &Job, requirement: &Requirement, view: &'a View) -> Vec<&'a str> {
    let is_fit = |region: &&id::Region| {
        let mut targets = view.targets.of(&job.service, region);
        **region != view.place.region
            && job.permits(region)
            && targets.any(|target| {
                let version = target.report.version.as_deref();
                requirement.admits(&job.service, version)
                    && !view.is_evacuated(&target.report.place.zone)
                    && target.gone_at.is_none()
            })
    };
    let regions = view.targets.regions(&job.service).filter(is_fit);
    regions.map(String::as_str).collect()
}

fn go_to(presence: &Presence) -> Place {
    Place::Instance {
        instance: presence.instance.clone(),
        region: presence.place.region.clone(),
        address: presence.forward.clone(),
        detour: None,
    }
}
