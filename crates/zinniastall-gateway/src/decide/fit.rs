//! Decides how well a request fits an engine, and chooses among engines of different fit.
//!
//! Expected waits do not show that an engine stalls its streams, is out of slots or memory, or is
//! much slower than the others. Such engines get a request only if no better one takes it.

use std::time::Duration;

use super::{
    capacity::Figures,
    memory::MAX_SHARE,
    place::{Candidate, Choice, Constraints, Region, choose},
};

/// Share of a bound on gaps above which observed gaps are near it. A stall more, and the next stream
/// would be one that fails.
const NEAR_BOUND: f64 = 0.85;
/// Share of a bound on gaps above which a prefill makes a prompt a long one.
const LONG_PREFILL_SHARE: f64 = 0.25;
/// Weight of the time by which the events of a target take longer than those of others. The first
/// event is delayed by it, and every later one, which may then stall. With a weight of 1,
/// 14 % of the short streams stalled under the load of the test, and 11 % with 2.
const EXCESS_WEIGHT: u32 = 2;
/// How many times slower than the median of its service an engine is that is used last.
const MAX_SLOWNESS: f64 = 3.0;

/// How well a request fits a target; the better first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// Nothing speaks against the target.
    Good,
    /// The target is much slower than others, or its streams are near their bound on gaps. It gets a
    /// request that the good ones don't accept.
    Reluctant,
    /// The request would exceed the bound on gaps, or make other streams exceed it. The target gets a
    /// request if no better one is left.
    Unsteady,
    /// All slots are taken. The target gets a request if no better one is left.
    Full,
    /// The memory would be overfilled. The target gets no request.
    Overfull,
}

/// What is known of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measure {
    /// Learned figures of the target.
    pub figures: Figures,
    /// Expected share of the target's memory that is used with the request; 0 if unknown.
    pub memory: f64,
    /// Expected time until the answer begins, at the nominal rate.
    pub nominal: Duration,
}

/// What the fit of a request depends on, besides the measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Longest gap that the request's own route permits; zero for no limit.
    pub own_gap: Duration,
    /// Longest gap that the service's streams permit; zero for no limit.
    pub service_gap: Duration,
    /// Time to prefill the request's prompt at the nominal rate.
    pub prefill: Duration,
    /// Time to prefill the prompts ahead at the nominal rate.
    pub prefill_ahead: Duration,
    /// Whether all slots of the target are taken.
    pub is_full: bool,
}

impl Need {
    /// Returns how well the request fits a target.
    pub fn fit(&self, measure: &Measure) -> Fit {
        let figures = &measure.figures;
        if measure.memory > MAX_SHARE {
            return Fit::Overfull;
        }
        if self.is_full {
            return Fit::Full;
        }
        let by_gap = self.fit_gap(figures);
        if figures.slowness > MAX_SLOWNESS {
            return by_gap.max(Fit::Reluctant);
        }
        by_gap
    }

    fn fit_gap(&self, figures: &Figures) -> Fit {
        let is_long = self.is_long(figures.pace);
        let bound = if self.own_gap.is_zero() && is_long {
            self.service_gap
        } else {
            self.own_gap
        };
        if bound.is_zero() {
            return Fit::Good;
        }
        let reads = (self.prefill_ahead + self.prefill).mul_f64(figures.wait_factor);
        let is_pushed = figures.gap + reads > bound;
        if figures.high_gap >= bound || is_pushed {
            Fit::Unsteady
        } else if figures.high_gap >= bound.mul_f64(NEAR_BOUND) {
            Fit::Reluctant
        } else {
            Fit::Good
        }
    }

    /// Returns whether the prompt takes so long to prefill that running streams notice.
    fn is_long(&self, pace: f64) -> bool {
        let prefill = self.prefill.mul_f64(pace);
        prefill > self.service_gap.mul_f64(LONG_PREFILL_SHARE)
    }
}

/// Returns a candidate with its waits multiplied by what was learned of the target.
#[must_use]
pub fn paced(candidate: Candidate, figures: &Figures) -> Candidate {
    let factor = figures.wait_factor;
    Candidate {
        wait: candidate.wait.mul_f64(factor) + figures.excess_gap * EXCESS_WEIGHT,
        prefill_ahead: candidate.prefill_ahead.mul_f64(factor),
        prefill: candidate.prefill.mul_f64(factor),
        ..candidate
    }
}

/// Chooses where a request goes, as [`choose`] does, among the targets that fit best.
///
/// `fits` has an entry for each target, or is empty if all are equal. Reluctant targets are weighed
/// once the good ones accept no more. Unsteady ones, and then full ones, are weighed only if no
/// better target is left, and the request is then decided as if nothing were known of them.
pub fn choose_fitting(
    local: &[Candidate],
    fits: &[Fit],
    remote: &[Region],
    constraints: Constraints,
) -> Choice {
    if fits.iter().all(|fit| *fit == Fit::Good) {
        return choose(local, remote, constraints);
    }
    let fit = |at: usize| {
        // A target that fails its requests, or takes few, is no better than a slow one.
        let is_last = local[at].is_ejected || !local[at].permit_wait.is_zero();
        if is_last {
            fits[at].max(Fit::Reluctant)
        } else {
            fits[at]
        }
    };
    let up_to = |worst: Fit| -> Vec<usize> {
        let indexes = 0..local.len().min(fits.len());
        indexes.filter(|at| fit(*at) <= worst).collect()
    };
    let choose_in = |indexes: &[usize]| {
        let weighed: Vec<Candidate> = indexes.iter().map(|at| local[*at]).collect();
        match choose(&weighed, remote, constraints) {
            Choice::Local(at) => Choice::Local(indexes[at]),
            other => other,
        }
    };
    let good = up_to(Fit::Good);
    let usable = up_to(Fit::Reluctant);
    if !good.is_empty() {
        let choice = choose_in(&good);
        let is_placed = matches!(choice, Choice::Local(_) | Choice::Remote(_));
        if is_placed || good.len() == usable.len() {
            return choice;
        }
    }
    for worst in [Fit::Reluctant, Fit::Unsteady, Fit::Full] {
        let usable = up_to(worst);
        if !usable.is_empty() {
            return choose_in(&usable);
        }
    }
    choose(&[], remote, constraints)
}
