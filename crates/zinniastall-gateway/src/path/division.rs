//! Division of engines between long prompts and short streams on the request path.

use std::time::{Duration, Instant};

use super::{Proxy, job::Job};
use crate::{
    decide::{
        division::{self, Side, Work},
        fit::{Fit, choose_fitting},
        place::{Candidate, Choice, Constraints, Region},
    },
    view::{Target, View},
};

/// Name of the side of an engine that takes a request of the other kind.
const OTHER_SIDE: &str = "other";

impl Proxy {
    /// Records what a request that arrived asks of the region's engines.
    pub(super) fn record_work(&self, job: &Job) {
        let view = self.state.view();
        let is_counted = view.load_control.division && job.permits(&view.place.region);
        let Some(engine) = job.engine().filter(|_| is_counted) else {
            return;
        };
        let total = job.prompt.total_tokens.unwrap_or(job.prompt.tokens);
        let answer_tokens = total.saturating_sub(job.prompt.tokens);
        let work = Work::new(self.whole_prefill(job), answer_tokens, engine.slots);
        let gap = self.tracker.borrow().min_gap(&job.service, job.arrived);
        let mut divisions = self.divisions.borrow_mut();
        divisions.record(&job.service, work, gap, job.arrived);
    }

    /// Records the expected prefill of a request at the target chosen for it.
    pub(super) fn record_prefill(&self, job: &Job, reading_us: u64) {
        let now = Instant::now();
        if job.engine().is_none() || !self.state.view().load_control.division {
            return;
        }
        let gap = self.tracker.borrow().min_gap(&job.service, now);
        let prefill = (self.whole_prefill(job), Duration::from_micros(reading_us));
        let mut divisions = self.divisions.borrow_mut();
        divisions.record_placed(&job.service, prefill, gap, now);
    }

    /// Chooses among targets of this region and other regions; returns the side of the engines if
    /// they are divided.
    pub(super) fn choose_by_side(
        &self,
        job: &Job,
        (targets, candidates, fits): (&[&Target], &[Candidate], &[Fit]),
        regions: &[Region],
        constraints: Constraints,
        (view, now): (&View, Instant),
    ) -> (Choice, Option<&'static str>) {
        let undivided = || (choose_fitting(candidates, fits, regions, constraints), None);
        if !view.load_control.division {
            return undivided();
        }
        let divisions = self.divisions.borrow();
        let Some(sides) = divisions.sides(&job.service, now) else {
            return undivided();
        };
        let side = Side::of(self.whole_prefill(job), sides.gap);
        let takes = |target: &&Target| sides.takes(&target.report.target, side);
        let is_own: Vec<bool> = targets.iter().map(takes).collect();
        let (choice, is_other) =
            division::choose((candidates, fits), (side, &is_own), regions, constraints);
        let side = if is_other { OTHER_SIDE } else { side.as_str() };
        if matches!(choice, Choice::Local(_)) {
            self.metrics.count_side(side);
        }
        (choice, Some(side))
    }

    /// Returns the expected time to prefill a prompt of which nothing is cached. The side of a
    /// request must not depend on what one instance knows of caches.
    fn whole_prefill(&self, job: &Job) -> Duration {
        self.policy.rates.expected(job.prompt.tokens, 0)
    }
}
