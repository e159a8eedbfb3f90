//! Rate-limited log lines about requests, with separate limits for successes and failures.
//!
//! One line for each decision lets an engineer follow a request by its id. Under load that would
//! cost more than the requests themselves, so lines beyond a limit are left out and counted, and
//! the count is logged.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use zinniastall_coord::{
    origin::Requirement,
    rate::{Demand, Invalid, Verdict},
    retry::{Denial, Grant},
};
use zinniastall_http::{ending::Ending, retry_after};
use zinniastall_model::{fingerprint::Fingerprint, id, routing::Route};

use super::{
    decide::{
        fair_share::Exceeded,
        fit::Measure,
        quota::Excess,
        returns::schedule::{Booking, Request},
    },
    neighbours::beliefs::Belief,
    path::{
        attempt::{Ended, Place},
        job::{Charge, Job},
    },
};

/// Lines per [`WINDOW`] about requests that succeed. A line costs about ten microseconds, so this
/// is well under one percent of a core.
const MAX_SUCCESS_LINES: u32 = 60;
/// Lines per [`WINDOW`] about requests that fail, are refused or are retried.
const MAX_FAILURE_LINES: u32 = 300;
/// Targets in one line.
const MAX_LOGGED_TARGETS: usize = 8;
/// Parts of a prompt in one line.
const MAX_LOGGED_PARTS: usize = 8;
/// Period over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Estimates that a placement was based on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Basis {
    /// Expected wait at the chosen place.
    pub wait: Duration,
    /// Part of it until a permit is expected, if the place takes a limited rate.
    pub permit_wait: Duration,
    /// Expected time to read the prompt there.
    pub prefill: Duration,
    /// Longest expected wait for which the request is admitted; zero if it wasn't compared.
    pub max_wait: Duration,
    /// Requests in flight at the target, from all instances as far as known.
    pub in_flight: u32,
    /// Age of the target's last report.
    pub report_age: Duration,
    /// Number of candidates considered.
    pub candidates: usize,
    /// Whether targets that accept no request now are expected to within moments.
    pub opens_soon: bool,
    /// Targets that no known path leads to.
    pub unreached: usize,
    /// Time since the neighbour heard from the target, if the place is a neighbour.
    pub detour_age: Option<Duration>,
    /// Side of the engine, if the engines are divided between kinds of requests.
    pub side: Option<&'static str>,
    /// By which right the request goes to another region, if by one: `grant`.
    pub far_by: Option<&'static str>,
    /// What was learned of the target, if that is switched on.
    pub measure: Option<Measure>,
}

impl Basis {
    /// Returns the target's pace in thousandths of the nominal one.
    fn pace(&self) -> Option<u64> {
        self.measure
            .map(|measure| thousandths(measure.figures.pace))
    }

    /// Returns the time since the last observation of the target in milliseconds.
    fn pace_age(&self) -> Option<u64> {
        self.measure?.figures.age.map(millis)
    }

    /// Returns the high quantile of the gaps between its events in milliseconds.
    fn gap(&self) -> Option<u64> {
        self.measure.map(|measure| millis(measure.figures.high_gap))
    }

    /// Returns the expected use of its memory in thousandths.
    fn memory(&self) -> Option<u64> {
        self.measure.map(|measure| thousandths(measure.memory))
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub struct End<'a> {
    /// Outcome that the caller may rely on.
    pub outcome: &'static str,
    /// Reason for the outcome.
    pub reason: &'a str,
    /// Status that the caller received; 0 for none.
    pub status: u16,
    /// Time until the answer began.
    pub first_byte: Option<Duration>,
    /// Longest time between two pieces of the answer.
    pub longest_gap: Duration,
    /// Time from arrival to the end.
    pub duration: Duration,
}

impl End<'_> {
    /// Creates the end of a request that was refused immediately.
    pub const fn untimed(outcome: &'static str) -> Self {
        Self {
            outcome,
            reason: "",
            status: 0,
            first_byte: None,
            longest_gap: Duration::ZERO,
            duration: Duration::ZERO,
        }
    }

    /// Returns whether the caller got its answer within the limits of the route.
    fn is_success(&self, route: &Route) -> bool {
        let objective = Duration::from_millis(route.objective_ms);
        let gap = Duration::from_millis(route.gap_ms);
        let is_prompt = self
            .first_byte
            .is_some_and(|first_byte| first_byte <= objective);
        let is_steady = gap.is_zero() || self.longest_gap <= gap;
        matches!(self.outcome, "answered" | "unconfirmed")
            && self.status < 500
            && is_prompt
            && is_steady
    }
}

/// Writes rate-limited log lines about requests.
#[derive(Debug, Default)]
pub struct Log {
    successes: RefCell<Window>,
    failures: RefCell<Window>,
}

/// Lines in the current window.
#[derive(Debug, Default)]
struct Window {
    since: Option<Instant>,
    lines: u32,
    suppressed: u32,
}

impl Window {
    /// Returns whether a line may be written; logs the number of lines left out in the previous
    /// window.
    fn admit(&mut self, limit: u32, kind: &'static str) -> bool {
        let now = Instant::now();
        if self.since.is_none_or(|since| since + WINDOW <= now) {
            if self.suppressed > 0 {
                tracing::info!(event = "lines-left-out", kind, lines = self.suppressed);
            }
            *self = Self {
                since: Some(now),
                ..Self::default()
            };
        }
        if self.lines >= limit {
            self.suppressed += 1;
            return false;
        }
        self.lines += 1;
        true
    }
}

impl Log {
    /// Logs where a request is sent and the estimates behind the decision.
    pub fn placed(
        &self,
        job: &Job,
        place: &Place,
        requirement: &Requirement,
        basis: Basis,
        attempt: u32,
    ) {
        let is_first = attempt == 0;
        if !self.admits(is_first) {
            return;
        }
        tracing::info!(
            event = "placed",
            id = job.id,
            route = job.route().name,
            service = job.service,
            place = place.name(),
            version = place.version(),
            resumes = job.resumes(),
            began = requirement.origin().map(|origin| origin.version.as_str()),
            far = matches!(place, Place::Instance { detour: None, .. }),
            far_by = basis.far_by,
            detour_to = place.detour(),
            detour_age_ms = basis.detour_age.map(millis),
            unreached = basis.unreached,
            attempt,
            wait_ms = millis(basis.wait),
            permit_ms = millis(basis.permit_wait),
            read_ms = millis(basis.prefill),
            flights = basis.in_flight,
            report_age_ms = millis(basis.report_age),
            candidates = basis.candidates,
            side = basis.side,
            pace = basis.pace(),
            pace_age_ms = basis.pace_age(),
            gap_ms = basis.gap(),
            memory = basis.memory(),
            revision = job.revision(),
            left_ms = millis(job.left(Instant::now())),
        );
    }

    /// Logs that a request continues a stream, and what is known of its beginning; `source` tells from
    /// where.
    pub fn taken_up(&self, job: &Job, requirement: &Requirement, source: &'static str) {
        let origin = requirement.origin();
        if self.admits(origin.is_some()) {
            tracing::info!(
                event = "taken-up",
                id = job.id,
                route = job.route().name,
                resumes = job.resumes(),
                began = origin.map(|origin| origin.version.as_str()),
                source,
            );
        }
    }

    /// Logs the answer to a request's demand for a permit of a target that takes a limited rate.
    ///
    /// `source` returns the coordinator that was asked, and the time since the target's rate was
    /// learned, if it named one.
    pub fn permit(
        &self,
        job: &Job,
        target: &str,
        demand: Demand,
        verdict: Option<Verdict>,
        source: impl FnOnce() -> (Option<id::Instance>, Option<Duration>),
    ) {
        let (outcome, wait, next) = match verdict {
            Some(Verdict::Granted { wait, next }) => ("granted", Some(wait), Some(next)),
            Some(Verdict::Denied { next }) => ("denied", None, Some(next)),
            None => ("unanswered", None, None),
        };
        if !self.admits(outcome == "granted") {
            return;
        }
        let (coordinator, age) = source();
        tracing::info!(
            event = "permit",
            id = job.id,
            route = job.route().name,
            place = target,
            coordinator,
            rate = %demand.rate,
            age_ms = age.map(millis),
            patience_ms = millis(demand.patience),
            outcome,
            permit_ms = wait.map(millis),
            next_ms = next.map(millis),
            left_ms = millis(job.left(Instant::now())),
        );
    }

    /// Logs that others were asked about a target, since this instance may have missed messages.
    pub fn doubted(&self, job: &Job, target: &str, belief: Belief, is_admitted: bool) {
        if self.admits(is_admitted) {
            tracing::info!(
                event = "belief-doubted",
                id = job.id,
                place = target,
                belief = ?belief,
                is_admitted,
            );
        }
    }

    /// Logs that the rate which a target names can't be read.
    pub fn unreadable_rate(&self, job: &Job, target: &str, invalid: &Invalid) {
        if self.admits(false) {
            tracing::warn!(
                event = "target-limit-unreadable",
                id = job.id,
                target,
                reason = %invalid
            );
        }
    }

    /// Logs that a target wants no request from this instance for a time.
    pub fn paused(&self, job: &Job, target: &str, time: Duration) {
        if self.admits(false) {
            tracing::info!(
                event = "target-pause",
                id = job.id,
                target,
                pause_ms = millis(time),
            );
        }
    }

    /// Logs the targets that a rejected request could not go to, because they want no requests of this
    /// instance, with the time for which they don't.
    pub fn excluded(&self, job: &Job, paused: &[(&str, Duration)]) {
        if !self.admits(false) {
            return;
        }
        let named = paused.iter().take(MAX_LOGGED_TARGETS);
        let named = named.map(|(target, left)| format!("{target}:{}", millis(*left)));
        tracing::info!(
            event = "targets-paused",
            id = job.id,
            route = job.route().name,
            targets = paused.len(),
            left_ms = named.collect::<Vec<_>>().join(","),
        );
    }

    /// Logs that the pause which a target asks for can't be read.
    pub fn unreadable_pause(&self, job: &Job, target: &str, invalid: retry_after::Invalid) {
        if self.admits(false) {
            tracing::warn!(
                event = "target-pause-unreadable",
                id = job.id,
                target,
                reason = %invalid
            );
        }
    }

    /// Logs that a request exceeds its account's quota.
    pub fn exceeded(&self, job: &Job, charge: Charge, excess: Excess) {
        if !self.admits(false) {
            return;
        }
        tracing::info!(
            event = "quota-exceeded",
            id = job.id,
            account = job.account().map(|account| account.name.as_str()),
            cost = charge.cost,
            rate = charge.quota.rate,
            burst = charge.quota.burst,
            asked = excess.total.usage.asked,
            used = excess.total.usage.used,
            reserved = excess.total.reserved,
            past = excess.window_usage,
            part = excess.admitted_fraction,
            retry_after_ms = millis(excess.retry_after),
        );
    }

    /// Logs that a request's account exceeds its share of scarce capacity.
    pub fn share_exceeded(&self, job: &Job, charge: Charge, exceeded: Exceeded) {
        if !self.admits(false) {
            return;
        }
        tracing::info!(
            event = "share-exceeded",
            id = job.id,
            account = job.account().map(|account| account.name.as_str()),
            cost = charge.cost,
            level = exceeded.share.level.round(),
            demand = exceeded.share.demand.round(),
            age_ms = millis(exceeded.age),
            rejected = exceeded.rejected,
            part = exceeded.share.fraction,
            retry_after_ms = millis(exceeded.retry_after),
        );
    }

    /// Logs how an attempt ended, unless it brought a complete answer.
    pub fn attempted(&self, job: &Job, place: &Place, ended: &Ended) {
        let why = match ended {
            Ended::Delivered(Ending::Complete) => return,
            Ended::Delivered(_) => "the answer states no end of its own",
            Ended::NotSent(why) | Ended::Unknown(why) | Ended::Broken(why) | Ended::Torn(why) => {
                why.as_str()
            }
            Ended::NotRun(_) => "the target refused the request",
            Ended::Withheld => "the target wants no requests now",
            Ended::Failing(answer, _) => answer.status.as_str(),
            Ended::CallerGone(_) => "the caller is gone",
        };
        if !self.admits(matches!(ended, Ended::Delivered(_))) {
            return;
        }
        tracing::info!(
            event = "attempt",
            id = job.id,
            route = job.route().name,
            place = place.name(),
            outcome = ended.as_str(),
            why,
            left_ms = millis(job.left(Instant::now())),
        );
    }

    /// Logs whether the budget held a retry, and otherwise what exhausted it.
    pub fn retry(&self, job: &Job, granted: &Result<Grant, Denial>) {
        if !self.admits(false) {
            return;
        }
        let denial = granted.as_ref().err();
        tracing::info!(
            event = "retry",
            id = job.id,
            route = job.route().name,
            service = job.service,
            outcome = denial.map_or("granted", Denial::as_str),
            span_ms = denial.map(|denial| millis(denial.span)),
            requests = denial.map(|denial| denial.requests),
            retries = denial.map(|denial| denial.retries),
            allowed = denial.map(|denial| denial.allowed),
            instances = denial.and_then(|denial| denial.instances),
            left_ms = millis(job.left(Instant::now())),
        );
    }

    /// Logs that a target crashed with a request in flight.
    ///
    /// `in_flight` is the number of requests at the target, from all instances as far as known,
    /// `crashes` the number of crashes counted against this request so far, and `begun` the time
    /// since its answer began, if it did.
    pub fn crashed(
        &self,
        job: &Job,
        target: &str,
        in_flight: u32,
        crashes: usize,
        begun: Option<Duration>,
    ) {
        if !self.admits(false) {
            return;
        }
        let parts: Vec<&str> = job.prompt.shared().take(MAX_LOGGED_PARTS).collect();
        tracing::info!(
            event = "target-crashed",
            id = job.id,
            route = job.route().name,
            place = target,
            fingerprint = %job.fingerprint(),
            parts = parts.join(","),
            crashes,
            flights = in_flight,
            begun_ms = begun.map(millis),
            passed_on = job.is_passed_on,
        );
    }

    /// Logs that a request is quarantined, or was rejected because it is; `suspects` are the request
    /// or the parts of it that are.
    pub fn quarantined(&self, job: &Job, event: &'static str, suspects: &[Fingerprint]) {
        if !self.admits(false) {
            return;
        }
        let suspect = suspects.first();
        tracing::warn!(
            event,
            id = job.id,
            route = job.route().name,
            account = job.account().map(|account| account.name.as_str()),
            fingerprint = %job.fingerprint(),
            suspect = suspect.map(ToString::to_string),
            part = suspect.and_then(|suspect| job.part(*suspect)),
        );
    }

    /// Logs that a request tries a quarantined suspect.
    pub fn tried(&self, job: &Job, suspect: Fingerprint) {
        if self.admits(false) {
            tracing::warn!(
                event = "quarantine-tried",
                id = job.id,
                route = job.route().name,
                %suspect,
                part = job.part(suspect),
            );
        }
    }

    /// Logs that a request, or a part of it, is no longer suspected.
    pub fn cleared(&self, job: &Job, suspect: Fingerprint) {
        if self.admits(false) {
            tracing::info!(
                event = "suspect-cleared",
                id = job.id,
                fingerprint = %suspect,
                part = job.part(suspect),
            );
        }
    }

    /// Logs that no place was expected to answer a request in time.
    pub fn given_up(&self, job: &Job, basis: Basis, after: Duration) {
        if !self.admits(false) {
            return;
        }
        tracing::info!(
            event = "given-up",
            id = job.id,
            route = job.route().name,
            service = job.service,
            wait_ms = millis(basis.wait),
            max_wait_ms = millis(basis.max_wait),
            permit_ms = millis(basis.permit_wait),
            flights = basis.in_flight,
            report_age_ms = millis(basis.report_age),
            candidates = basis.candidates,
            side = basis.side,
            unreached = basis.unreached,
            pace = basis.pace(),
            pace_age_ms = basis.pace_age(),
            gap_ms = basis.gap(),
            memory = basis.memory(),
            objective_ms = job.route().objective_ms,
            left_ms = millis(job.left(Instant::now())),
            retry_after_ms = millis(after),
        );
    }

    /// Logs that a rejected request was promised room, and the room and work that it was decided on.
    pub fn return_promised(&self, job: &Job, basis: &Basis, request: &Request, booking: &Booking) {
        if !self.admits(false) {
            return;
        }
        tracing::info!(
            event = "return-promised",
            id = job.id,
            route = job.route().name,
            service = job.service,
            due_ms = millis(booking.delay),
            work = request.work,
            room = booking.room,
            priority = request.priority,
            wait_ms = millis(basis.wait),
            report_age_ms = millis(basis.report_age),
            left_ms = millis(request.left),
        );
    }

    /// Logs that a request redeemed its promise of room, and which holder confirmed it in which time.
    pub fn return_redeemed(&self, job: &Job, holder: Option<&str>, asked: Duration, basis: &Basis) {
        if !self.admits(false) {
            return;
        }
        tracing::info!(
            event = "return-redeemed",
            id = job.id,
            route = job.route().name,
            service = job.service,
            holder,
            asked_ms = millis(asked),
            wait_ms = millis(basis.wait),
            report_age_ms = millis(basis.report_age),
            left_ms = millis(job.left(Instant::now())),
        );
    }

    /// Logs that a request which may be a return found no promise, or one that isn't kept, and why.
    pub fn return_missed(&self, job: &Job, why: &'static str, holder: Option<&str>, basis: &Basis) {
        if !self.admits(false) {
            return;
        }
        tracing::info!(
            event = "return-missed",
            id = job.id,
            route = job.route().name,
            service = job.service,
            why,
            holder,
            wait_ms = millis(basis.wait),
            report_age_ms = millis(basis.report_age),
            left_ms = millis(job.left(Instant::now())),
        );
    }

    /// Logs that a request waits because no target accepts it now.
    pub fn kept(&self, job: &Job, what: &'static str) {
        if self.admits(false) {
            let took_ms = millis(job.arrived.elapsed());
            tracing::info!(
                event = "kept",
                id = job.id,
                route = job.route().name,
                what,
                took_ms
            );
        }
    }

    /// Logs how a request ended.
    pub fn ended(&self, job: &Job, end: &End<'_>) {
        if !self.admits(end.is_success(job.route())) {
            return;
        }
        tracing::info!(
            event = "request-ended",
            id = job.id,
            route = job.route().name,
            outcome = end.outcome,
            why = end.reason,
            status = end.status,
            first_ms = end.first_byte.map(millis),
            pause_ms = millis(end.longest_gap),
            took_ms = millis(end.duration),
            objective_ms = job.route().objective_ms,
            revision = job.revision(),
            may_repeat = job.may_repeat,
            passed_on = job.is_passed_on,
            detoured = job.is_detoured,
        );
    }

    /// Logs that a request was refused before it was matched to a route.
    pub fn refused(&self, id: &str, reason: &str) {
        if self.admits(false) {
            tracing::info!(event = "request-refused", id, reason);
        }
    }

    fn admits(&self, is_success: bool) -> bool {
        if is_success {
            self.successes.borrow_mut().admit(MAX_SUCCESS_LINES, "well")
        } else {
            self.failures.borrow_mut().admit(MAX_FAILURE_LINES, "badly")
        }
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a factor or share in thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a conversion of a float that is out of range saturates"
)]
pub const fn thousandths(value: f64) -> u64 {
    (value * 1_000.0) as u64
}
