//! Supplies what was learned of engines to the choice of a target.

use std::time::{Duration, Instant};

use zinniastall_model::routing::Engine;

use super::{
    Proxy,
    attempt::{Attempt, Place},
    job::{Continuation, Job},
};
use crate::{
    decide::{
        capacity::Run,
        fit::{Fit, Measure, Need},
        memory::Footprint,
        place::Candidate,
    },
    view::{Target, View},
    watch::{Sent, Watch},
};

/// Retry time of a request that no engine's memory can hold: no engine will later either, and the
/// longest time that a caller may be told keeps it away.
pub(super) const TOO_LARGE_RETRY: Duration = Duration::from_secs(30);

/// What a request needs of any engine.
#[derive(Debug)]
pub(super) struct Demand {
    footprint: Footprint,
    /// Longest gap that the service's streams permit; zero for no limit.
    service_gap: Duration,
}

/// What an instance expects of a request at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expected<'a> {
    /// Candidate at the nominal rate.
    pub(super) candidate: &'a Candidate,
    /// Time to prefill the request's prompt as it is counted there, in microseconds.
    pub(super) reading_us: u64,
    /// Requests at the engine, from all instances as far as known.
    pub(super) flights: u32,
}

impl Proxy {
    /// Returns what a request needs of any engine; `None` if engines are not learned.
    pub(super) fn demand(&self, job: &Job, view: &View, now: Instant) -> Option<Demand> {
        let footprint = known_footprint(job, view)?;
        let service_gap = self.tracker.borrow().min_gap(&job.service, now);
        Some(Demand {
            footprint,
            service_gap,
        })
    }

    /// Returns what is known of a request at an engine, and how well it fits.
    pub(super) fn measure(
        &self,
        job: &Job,
        target: &Target,
        demand: &Demand,
        expected: Expected<'_>,
        now: Instant,
    ) -> (Measure, Fit) {
        let name = target.report.target.as_str();
        let mut tracker = self.tracker.borrow_mut();
        let run = Run {
            target: name,
            service: &job.service,
            incarnation: target.report.incarnation,
        };
        let figures = tracker.capacity.figures(run, now);
        let others = expected.flights.saturating_sub(tracker.in_flight(name));
        let tokens = tracker
            .memory
            .expected(name, &job.service, others, &demand.footprint);
        let engine = job.engine();
        let measure = Measure {
            figures,
            memory: engine.map_or(0.0, |engine| share(tokens, engine)),
            nominal: expected.candidate.prefill_ahead + Duration::from_micros(expected.reading_us),
        };
        let need = Need {
            own_gap: Duration::from_millis(job.route().gap_ms),
            service_gap: demand.service_gap,
            prefill: expected.candidate.prefill,
            prefill_ahead: expected.candidate.prefill_ahead,
            is_full: engine.is_some_and(|engine| expected.flights >= engine.slots),
        };
        (measure, need.fit(&measure))
    }

    /// Starts to observe an attempt, if it goes to an engine and engines are learned.
    pub(super) fn watch(&self, attempt: &Attempt<'_>, now: Instant) -> Option<Watch> {
        let Place::Target {
            target,
            incarnation,
            ..
        } = attempt.place
        else {
            return None;
        };
        let (job, measure) = (attempt.job, attempt.measure?);
        // A request that waits for a slot, or goes on with a stream, says nothing of the prefill rate.
        let has_slot = job
            .engine_slots()
            .is_some_and(|slots| attempt.ahead < slots);
        let is_plain = has_slot && job.continuation == Continuation::None;
        let sent = Sent {
            target: target.clone(),
            service: job.service.clone(),
            incarnation: *incarnation,
            footprint: footprint(job),
            nominal: is_plain.then_some(measure.nominal),
            at: now,
        };
        Some(Watch::start(&self.tracker, sent))
    }
}

/// Returns the tokens that a request takes at an engine; `None` if engines are not learned.
fn known_footprint(job: &Job, view: &View) -> Option<Footprint> {
    let is_on = view.load_control.capacity && job.engine().is_some();
    is_on.then(|| footprint(job))
}

/// Returns whether a request is larger than the memory of any engine.
pub(super) fn is_too_large(job: &Job, view: &View) -> bool {
    let footprint = known_footprint(job, view);
    let limit = job.engine().map_or(0, |engine| engine.tokens);
    limit > 0 && footprint.is_some_and(|footprint| footprint.tokens() > limit)
}

fn footprint(job: &Job) -> Footprint {
    let prompt = &job.prompt;
    let shared = prompt.parts.len().saturating_sub(1);
    let parts = prompt.parts[..shared].to_vec();
    let answer = prompt.total_tokens;
    let answer = answer.map(|total| total.saturating_sub(prompt.tokens));
    Footprint::new(parts, prompt.tokens, answer)
}

/// Returns the share of an engine's memory that some tokens take; 0 if its memory is unknown.
fn share(tokens: u64, engine: &Engine) -> f64 {
    if engine.tokens == 0 {
        return 0.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    let share = tokens as f64 / engine.tokens as f64;
    share
}
