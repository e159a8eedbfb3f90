//! Runs the attempts of one request until it has its final answer.

use std::{
    cell::{Cell, RefCell},
    io,
    time::{Duration, Instant},
};

use tokio::time;
use zinniastall_coord::{
    origin::Requirement,
    quarantine::{
        HELD_RETRY_AFTER, HOLD_POLL_INTERVAL, HOLD_SHARE, MAX_HOLD, may_retry_after_crash,
    },
    retry::{Denial, Grant},
};
use zinniastall_http::{ending::Ending, events::Events};

use super::{
    Proxy,
    answer::Refusal,
    attempt::{Attempt, Ended, Place},
    crash::{Clearance, Probe, may_enter},
    job::{Job, header_text},
    placement::{Placement, Tried},
    responder::{Responder, Whole},
    serve::DRAINING_RETRY_AFTER,
};
use crate::{freshness::Trust, headers::LAST_EVENT_ID, request_log::Basis};

/// Unreachable targets or instances after which a request is given up; each costs a connect
/// timeout.
const MAX_UNREACHABLE: usize = 4;
/// Retry time of a request that a target refused: about the time until a slot at a full target
/// comes free.
const REFUSED_RETRY: Duration = Duration::from_millis(300);

/// Retry time of a request that found the configuration out of date before it was sent.
const STALE_RETRY: Duration = Duration::from_millis(400);

/// Interval of the attempts to place an interrupted stream elsewhere, and their time limit: callers
/// abandon a stream after a pause of two seconds.
const RESUME_POLL: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(1_500));
/// Time for which a target gets no requests after it refused a request or a connection. A full
/// target finishes some requests in that time, and a crashed one costs one attempt per interval.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(120);

/// How a request ended.
#[derive(Debug)]
pub enum End {
    /// A target's answer was forwarded up to its end, of which this is known.
    Answered(Ending),
    /// The gateway answered by itself.
    Refused(Refusal),
    /// The answer was cut off, so that it does not look complete.
    Aborted(String),
}

/// What ends a request before its answer.
#[derive(Debug, Clone, Copy)]
enum Cut {
    /// Its deadline passes.
    Deadline,
    /// This instance stops.
    Stop,
}

impl Cut {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline exceeded",
            Self::Stop => "this instance stops",
        }
    }

    /// Returns the answer of a request whose own answer has not begun.
    const fn refusal(self, may_have_run: bool) -> Refusal {
        match self {
            Self::Deadline if may_have_run => Refusal::DeadlineExceeded,
            Self::Deadline => Refusal::Busy(REFUSED_RETRY),
            Self::Stop if may_have_run => Refusal::AnswerLost,
            Self::Stop => Refusal::Busy(DRAINING_RETRY_AFTER),
        }
    }
}

/// State of a request between two attempts.
struct State<'a> {
    job: &'a Job,
    tried: Tried,
    sent: u32,
    unreachable: usize,
    /// Whether an attempt may have run the request.
    may_have_run: &'a Cell<bool>,
    /// What the next target must satisfy, if the request continues a stream.
    continuing: Option<Requirement>,
    was_held: bool,
    interrupted_at: Option<Instant>,
    /// Whether a target crashed under the request.
    has_crashed: bool,
    /// Whether the request tries a quarantined suspect, which it does once.
    is_trial: bool,
    /// Right to send the request once more, until it is used.
    retry: RefCell<Option<Grant>>,
    server_error: Option<(Whole, Ending)>,
}

/// Next step after an attempt.
enum Step {
    Retry,
    Finish(End),
    /// Ends with this refusal, or with a target's own error answer if there is one.
    Refuse(Refusal),
}

impl Proxy {
    /// Serves a request until it has its final answer, within its deadline and before this instance
    /// stops.
    ///
    /// # Errors
    ///
    /// Fails if the caller's connection does.
    pub async fn run(&self, job: &Job, responder: &mut Responder) -> io::Result<End> {
        let may_have_run = Cell::new(false);
        let attempts = self.attempts(job, responder, &may_have_run);
        let cut = tokio::select! {
            biased;
            ended = time::timeout_at(job.deadline.into(), attempts) => match ended {
                Ok(ended) => return ended,
                Err(_) => Cut::Deadline,
            },
            () = self.until_requests_end() => Cut::Stop,
        };
        if responder.has_begun() {
            return Ok(End::Aborted(cut.as_str().to_owned()));
        }
        let refusal = cut.refusal(may_have_run.get());
        responder.refuse(refusal, &[]).await?;
        Ok(End::Refused(refusal))
    }

    async fn until_requests_end(&self) {
        let mut is_ending = self.is_ending.subscribe();
        if is_ending.wait_for(|is_ending| *is_ending).await.is_err() {
            // The sender lives as long as this.
            std::future::pending::<()>().await;
        }
    }

    async fn attempts(
        &self,
        job: &Job,
        responder: &mut Responder,
        may_have_run: &Cell<bool>,
    ) -> io::Result<End> {
        let last_event_id = header_text(&job.head.headers, &LAST_EVENT_ID).map(str::to_owned);
        let mut events = Events::resuming_after(last_event_id);
        let mut state = State {
            job,
            tried: Tried::default(),
            sent: 0,
            unreachable: 0,
            may_have_run,
            continuing: self.continuing(job).await,
            was_held: false,
            interrupted_at: None,
            has_crashed: false,
            is_trial: false,
            retry: RefCell::default(),
            server_error: None,
        };
        loop {
            let step = match self.clearance(job).await {
                Clearance::Granted(probe) => {
                    state.is_trial |= probe.as_ref().is_some_and(Probe::is_trial);
                    let probe = probe.as_ref();
                    self.step(&mut state, probe, &mut events, responder).await?
                }
                Clearance::Held { .. } if state.may_be_held() => {
                    time::sleep(HOLD_POLL_INTERVAL).await;
                    Step::Retry
                }
                Clearance::Held { is_weak: true } => {
                    self.step(&mut state, None, &mut events, responder).await?
                }
                Clearance::Held { is_weak: false } => state.no_place(responder, HELD_RETRY_AFTER),
                Clearance::Refused => {
                    if state.may_be_rejected(responder) {
                        Step::Refuse(self.record_rejection(job))
                    } else {
                        lost(responder)
                    }
                }
            };
            match step {
                Step::Retry => {}
                Step::Finish(end) => return Ok(end),
                Step::Refuse(refusal) => return self.conclude(state, refusal, responder).await,
            }
        }
    }

    /// Chooses a target and sends the request there, or finds that none is available now.
    async fn step(
        &self,
        state: &mut State<'_>,
        probe: Option<&Probe<'_>>,
        events: &mut Events,
        responder: &mut Responder,
    ) -> io::Result<Step> {
        let job = state.job;
        let requirement = state.continuing.clone();
        let requirement = requirement.unwrap_or_else(|| self.beginning(job));
        Ok(match self.place(job, &state.tried, &requirement).await {
            Placement::Unserved => {
                self.metrics.count_taken_up(unserved(&requirement).as_str());
                state.no_version(responder, unserved(&requirement))
            }
            Placement::Wait(retry_after) => {
                if !state.was_held {
                    state.was_held = true;
                    self.request_log
                        .kept(job, "no target accepts a request now");
                }
                time::sleep(retry_after).await;
                Step::Retry
            }
            // Only targets that were tried are of the version that began the stream.
            Placement::Refuse(..)
                if self.excludes_targets(job, &requirement) && state.tried.clear() =>
            {
                Step::Retry
            }
            Placement::Refuse(..) if state.may_resume(responder) => {
                time::sleep(RESUME_POLL.0).await;
                Step::Retry
            }
            Placement::Refuse(_, basis)
                if basis.candidates == 0
                    && state.may_be_rejected(responder)
                    && self.awaits_news(job) =>
            {
                time::sleep(HOLD_POLL_INTERVAL).await;
                Step::Retry
            }
            Placement::Refuse(_, basis)
                if state.may_be_rejected(responder) && self.redeem_return(job, &basis).await =>
            {
                Step::Retry
            }
            Placement::Refuse(retry_after, basis) => {
                let retry_after = if state.may_be_rejected(responder) {
                    self.book_return(job, &basis, retry_after)
                } else {
                    retry_after
                };
                self.request_log.given_up(job, basis, retry_after);
                if !responder.has_begun() {
                    self.record_no_room(job);
                }
                state.no_place(responder, retry_after)
            }
            // The key may have been revoked while the request waited.
            Placement::Send(..) if !self.is_trusted(job) => state.no_place(responder, STALE_RETRY),
            // Another strong suspect may have been sent there since the choice.
            Placement::Send(place, ..) if !may_enter(probe, &place) => {
                time::sleep(HOLD_POLL_INTERVAL).await;
                Step::Retry
            }
            Placement::Send(place, reading_us, basis, _slot) => {
                self.request_log
                    .placed(job, &place, &requirement, basis, state.sent);
                self.record_admission(job, &place, &basis);
                let began = RefCell::default();
                let attempt = Attempt {
                    job,
                    place: &place,
                    reading_us,
                    ahead: basis.in_flight,
                    is_granted: basis.far_by.is_some(),
                    measure: basis.measure,
                    may_have_run: state.may_have_run,
                    requirement: &requirement,
                    began: &began,
                    retry: &state.retry,
                };
                let before = self.known_before(job, &place);
                let ended = self.attempt(&attempt, events, responder).await;
                if let Some(next) = began.take() {
                    if state.continuing.is_some() {
                        self.metrics.count_taken_up("went-on");
                    }
                    state.continuing.get_or_insert(next);
                }
                if let Some((target, address)) = place.direct().filter(|_| ended.is_failure()) {
                    self.closings.note(target);
                    self.runs.lose(address);
                }
                let has_crashed = self
                    .update_suspicion(&attempt, &ended, &before, responder)
                    .await;
                state.has_crashed |= has_crashed;
                self.record_attempt(&attempt, &ended, has_crashed);
                if let Some(target) = place.target().filter(|_| ended.is_failure()) {
                    self.settle_path(target).await;
                }
                self.follow_up(state, &place, &basis, ended, responder)?
            }
        })
    }

    /// Sends the final answer, unless a stream has begun: the caller would take another answer
    /// behind its events for a part of it.
    async fn conclude(
        &self,
        state: State<'_>,
        refusal: Refusal,
        responder: &mut Responder,
    ) -> io::Result<End> {
        if responder.has_begun() {
            return Ok(End::Aborted(refusal.as_str().to_owned()));
        }
        if let Some((answer, ending)) = state.server_error {
            responder.send_whole(answer, ending).await?;
            return Ok(End::Answered(ending));
        }
        let suspicions = self.suspicions(state.job);
        responder.refuse(refusal, &suspicions).await?;
        Ok(End::Refused(refusal))
    }

    /// Decides the next step after an attempt.
    fn follow_up(
        &self,
        state: &mut State<'_>,
        place: &Place,
        basis: &Basis,
        ended: Ended,
        responder: &Responder,
    ) -> io::Result<Step> {
        // A target that could not be reached from here may be tried by another path.
        let is_unreached = place.target().is_some() && matches!(ended, Ended::NotSent(_));
        if !is_unreached && !matches!(ended, Ended::Withheld) {
            state.tried.add(place.name());
        }
        let job = state.job;
        Ok(match ended {
            Ended::Delivered(ending) => Step::Finish(End::Answered(ending)),
            Ended::CallerGone(error) => return Err(error),
            Ended::NotSent(_) => {
                state.unreachable += 1;
                if state.unreachable < MAX_UNREACHABLE {
                    Step::Retry
                } else {
                    state.no_place(responder, REFUSED_RETRY)
                }
            }
            Ended::Withheld => Step::Retry,
            Ended::NotRun(retry_after) => {
                state.sent += 1;
                if self.may_repeat(state) {
                    Step::Retry
                } else {
                    let default = retry_after.unwrap_or(REFUSED_RETRY);
                    let retry_after = match place {
                        Place::Instance { detour: None, .. }
                            if state.may_be_rejected(responder) =>
                        {
                            self.book_remote_return(job, basis, default)
                        }
                        _ => default,
                    };
                    state.no_place(responder, retry_after)
                }
            }
            Ended::Failing(answer, ending) => {
                state.sent += 1;
                state.server_error = Some((answer, ending));
                if self.may_repeat(state) {
                    Step::Retry
                } else {
                    Step::Refuse(Refusal::AnswerLost)
                }
            }
            Ended::Unknown(_) => {
                state.sent += 1;
                if job.is_retryable() && self.may_repeat(state) {
                    Step::Retry
                } else {
                    Step::Refuse(Refusal::AnswerLost)
                }
            }
            Ended::Torn(why) => Step::Finish(End::Aborted(why)),
            Ended::Broken(why) => {
                state.sent += 1;
                state.interrupted_at = Some(Instant::now());
                if job.is_resumable() && self.may_repeat(state) {
                    Step::Retry
                } else {
                    Step::Finish(End::Aborted(why))
                }
            }
        })
    }

    /// Returns whether a request may be retried, and if so reserves the retry in the budget.
    fn may_repeat(&self, state: &State<'_>) -> bool {
        let job = state.job;
        if job.is_passed_on || state.sent >= job.route().attempts {
            return false;
        }
        let is_strong = || !may_retry_after_crash(self.standing(job).clearance);
        if state.is_trial || (state.has_crashed && is_strong()) {
            return false;
        }
        let share = self.state.view().retry_share;
        let granted = self.retries.reserve(&job.service, share, Instant::now());
        self.request_log.retry(job, &granted);
        self.metrics.count_retry(
            &job.service,
            granted.as_ref().err().map_or("granted", Denial::as_str),
        );
        let is_granted = granted.is_ok();
        state.retry.replace(granted.ok());
        is_granted
    }

    /// Returns whether a request may still be sent according to the accounts known here. A
    /// forwarded request was authenticated by the instance that its caller connected to.
    fn is_trusted(&self, job: &Job) -> bool {
        job.is_passed_on || job.account().is_none() || self.state.keys_trust() == Trust::Fresh
    }

    /// Records what an attempt says about its target; `has_crashed` tells whether a target crashed
    /// under the request.
    fn record_attempt(&self, attempt: &Attempt<'_>, ended: &Ended, has_crashed: bool) {
        let (job, place) = (attempt.job, attempt.place);
        self.request_log.attempted(job, place, ended);
        self.metrics.count_attempt(ended.as_str());
        if place.detour().is_some() {
            self.metrics.count_detour(ended.as_str());
        }
        if attempt.is_granted {
            self.record_granted(job, place, ended);
        }
        let now = Instant::now();
        let service = match place {
            Place::Target { .. } => job.service.as_str(),
            Place::Instance { .. } => "",
        };
        let mut tracker = self.tracker.borrow_mut();
        if let (Place::Instance { region, .. }, Ended::Delivered(_)) = (place, ended) {
            tracker.unblock_region(region, &job.service);
        }
        let account = tracker.target(place.name(), service, now);
        let was_ejected = account.record.is_ejected(now);
        if matches!(ended, Ended::Delivered(_) | Ended::Failing(..)) {
            account.accepted();
        }
        if let Place::Target { slots, .. } = place {
            match ended {
                Ended::Delivered(_) => account.concurrency.on_accepted(attempt.ahead),
                Ended::NotRun(_) => account.concurrency.on_refused(attempt.ahead, *slots),
                _ => {}
            }
        }
        match ended {
            Ended::Delivered(_) => account.record.success(),
            // The path keeps what is known of a target that can't be reached.
            Ended::NotSent(_) if place.target().is_some() => return,
            Ended::Withheld => return,
            Ended::NotSent(_) => {
                account.blocked_until = Some(now + REFUSAL_BACKOFF);
                if let Place::Instance {
                    region,
                    detour: None,
                    ..
                } = place
                    && !attempt.is_granted
                {
                    tracker.block_region(region, &job.service, now);
                }
                return;
            }
            Ended::NotRun(_) => account.refused(REFUSAL_BACKOFF, now),
            // A crashed target refuses connections by now; an instance that forwarded the request
            // does not.
            _ if has_crashed && matches!(place, Place::Target { .. }) => {
                account.record.unreachable(now);
                account.blocked_until = Some(now + REFUSAL_BACKOFF);
            }
            Ended::Unknown(_) | Ended::Broken(_) | Ended::Torn(_) | Ended::Failing(..) => {
                account.record.failure(now);
                if let (Some(target), false) = (place.target(), matches!(ended, Ended::Failing(..)))
                {
                    self.reach.broke(target);
                }
            }
            Ended::CallerGone(_) => {}
        }
        if account.record.is_ejected(now) && !was_ejected {
            tracing::info!(
                event = "target-out",
                target = place.name(),
                why = ended.as_str()
            );
        }
    }
}

impl State<'_> {
    /// Returns whether an interrupted stream may still resume elsewhere.
    fn may_resume(&self, responder: &Responder) -> bool {
        let in_time = |interrupted_at: Instant| interrupted_at.elapsed() < RESUME_POLL.1;
        responder.has_begun() && self.interrupted_at.is_some_and(in_time)
    }

    /// Returns whether a suspect may still wait for another copy to end.
    fn may_be_held(&self) -> bool {
        let objective = Duration::from_millis(self.job.route().objective_ms);
        self.job.arrived.elapsed() < objective.mul_f64(HOLD_SHARE).min(MAX_HOLD)
    }

    /// Returns whether a request may be told that it is quarantined: it has certainly not run.
    const fn may_be_rejected(&self, responder: &Responder) -> bool {
        !responder.has_begun() && !self.may_have_run.get()
    }

    /// Ends a request that continues a stream which can't go on.
    fn no_version(&self, responder: &Responder, refusal: Refusal) -> Step {
        if responder.has_begun() {
            return Step::Finish(End::Aborted(refusal.as_str().to_owned()));
        }
        if self.may_have_run.get() {
            return Step::Refuse(Refusal::AnswerLost);
        }
        Step::Refuse(refusal)
    }

    /// Ends a request for which no target is available now.
    fn no_place(&self, responder: &Responder, retry_after: Duration) -> Step {
        if responder.has_begun() {
            return Step::Finish(End::Aborted("no target to resume the stream".to_owned()));
        }
        if self.may_have_run.get() {
            return Step::Refuse(Refusal::AnswerLost);
        }
        if self.sent > 0 {
            return Step::Refuse(Refusal::Refused(retry_after));
        }
        Step::Refuse(Refusal::Busy(retry_after))
    }
}

/// Ends a request that may have run and is quarantined now.
fn lost(responder: &Responder) -> Step {
    if responder.has_begun() {
        return Step::Finish(End::Aborted(Refusal::Quarantined.as_str().to_owned()));
    }
    Step::Refuse(Refusal::AnswerLost)
}

/// Returns why a stream can't go on for which no target satisfies the requirement.
const fn unserved(requirement: &Requirement) -> Refusal {
    match requirement {
        Requirement::Unknown => Refusal::VersionUnknown,
        _ => Refusal::VersionNotServed,
    }
}
