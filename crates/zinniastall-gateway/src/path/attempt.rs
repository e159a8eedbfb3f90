//! One attempt: sends a request to one target or instance and forwards its answer.

use std::{
    cell::{Cell, RefCell},
    io,
    time::{Duration, Instant},
};

use http::StatusCode;
use zinniastall_coord::{origin::Requirement, rate::Rate, retry::Grant};
use zinniastall_http::{
    body::Decoder,
    client::{Exchange, Rest},
    ending::Ending,
    events::Events,
    head::Response,
    pool::{CONNECT_TIMEOUT, Connection, REMOTE_CONNECT_TIMEOUT},
};
use zinniastall_model::id;

use super::{
    Proxy,
    answer::Outcome,
    job::{Job, header_number, header_text},
    outgoing::Encoded,
    responder::{Responder, Whole},
    transfer::{drain_body, drain_refusal},
};
use crate::{
    decide::fit::Measure,
    headers::{OUTCOME, RETRY_MS},
    reach,
    tracker::Guard,
};

/// Answers to other requests that are skipped on a connection before it counts as broken.
const MAX_STRAY_ANSWERS: usize = 2;

/// Destination of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// A target of this region.
    Target {
        /// Name of the target.
        target: id::Target,
        /// Address of the target.
        address: String,
        /// Requests that the target processes at once.
        slots: u32,
        /// Address of a target from which it fetches the prompt's KV cache, as far as it lacks it.
        source: Option<String>,
        /// Run of its process.
        incarnation: id::Incarnation,
        /// Version of its software, if it states one.
        version: Option<id::Version>,
        /// Rate that it takes from all instances together, if that is limited.
        rate: Option<Rate>,
    },
    /// An instance of another region, or one of this region that reaches what this instance doesn't;
    /// it chooses one of its targets.
    Instance {
        /// Name of the instance.
        instance: id::Instance,
        /// Region of the instance.
        region: id::Region,
        /// Address of the instance for forwarded requests.
        address: String,
        /// Target for which an instance of this region was chosen, because it reaches the target and
        /// this instance doesn't.
        detour: Option<id::Target>,
    },
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Ended {
    /// The answer was forwarded up to its end, of which this is known.
    Delivered(Ending),
    /// Nothing was sent.
    NotSent(Why),
    /// Nothing was sent, because the target has come to want no requests since it was chosen.
    Withheld,
    /// The request was sent and has not run; it may be retried after the given time, if there is
    /// one.
    NotRun(Option<Duration>),
    /// The target answered with an error of its own.
    Failing(Whole, Ending),
    /// The request was sent, and it is unknown whether it ran.
    Unknown(Why),
    /// Part of the answer was forwarded, and no more comes from this target.
    Broken(Why),
    /// The same in the middle of an event, so that no other target can continue the stream.
    Torn(Why),
    /// The caller's connection failed.
    CallerGone(io::Error),
}

impl Ended {
    /// Returns whether no answer came, or none to its end, for a reason other than the caller.
    pub const fn is_failure(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::Unknown(_) | Self::Broken(_) | Self::Torn(_)
        )
    }

    /// Returns the name used in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Delivered(Ending::Complete) => "delivered",
            Self::Delivered(_) => "unconfirmed",
            Self::NotSent(_) => "not-sent",
            Self::Withheld => "withheld",
            Self::NotRun(_) => "not-run",
            Self::Failing(..) => "failing",
            Self::Unknown(_) => "unknown",
            Self::Broken(_) => "broken",
            Self::Torn(_) => "torn",
            Self::CallerGone(_) => "left",
        }
    }
}

/// Reason why an attempt failed, for logs.
pub type Why = String;

/// Parameters of an attempt.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// Request to send.
    pub job: &'a Job,
    /// Destination.
    pub place: &'a Place,
    /// Expected prefill time of the prompt there, in microseconds.
    pub reading_us: u64,
    /// Requests that are expected to be at the target already.
    pub ahead: u32,
    /// What is known of the request there, if its speed and memory are learned.
    pub measure: Option<Measure>,
    /// Whether the request may have run.
    pub may_have_run: &'a Cell<bool>,
    /// Whether the request goes to another region under a grant.
    pub is_granted: bool,
    /// What the destination must satisfy.
    pub requirement: &'a Requirement,
    /// What another destination must satisfy, once the first event was forwarded.
    pub began: &'a RefCell<Option<Requirement>>,
    /// Right to send the request once more, if it was sent before.
    pub retry: &'a RefCell<Option<Grant>>,
}

impl Attempt<'_> {
    fn set_retry_sent(&self, is_sent: bool) {
        if let Some(retry) = self.retry.borrow_mut().as_mut() {
            retry.set_sent(is_sent);
        }
    }

    /// Ends the retry: its target has answered, or isn't waited for any more.
    fn end_retry(&self) {
        self.retry.take();
    }
}

impl Place {
    fn address(&self) -> &str {
        match self {
            Self::Target { address, .. } | Self::Instance { address, .. } => address,
        }
    }

    /// Returns the target of an attempt that goes there directly.
    pub const fn target(&self) -> Option<&id::Target> {
        match self {
            Self::Target { target, .. } => Some(target),
            Self::Instance { .. } => None,
        }
    }

    /// Returns the target of an attempt that goes there directly, and the run of its process.
    pub const fn run(&self) -> Option<(&id::Target, id::Incarnation)> {
        match self {
            Self::Target {
                target,
                incarnation,
                ..
            } => Some((target, *incarnation)),
            Self::Instance { .. } => None,
        }
    }

    /// Returns the name and address of the target of an attempt that goes there directly.
    pub fn direct(&self) -> Option<(&str, &str)> {
        match self {
            Self::Target {
                target, address, ..
            } => Some((target, address)),
            Self::Instance { .. } => None,
        }
    }

    /// Returns the version of the target's software, if the attempt goes there directly and the target
    /// states one.
    pub fn version(&self) -> Option<&str> {
        match self {
            Self::Target { version, .. } => version.as_deref(),
            Self::Instance { .. } => None,
        }
    }

    /// Returns the target that will run the request, if this instance chose one.
    pub fn destined_target(&self) -> Option<&str> {
        self.target().map(String::as_str).or_else(|| self.detour())
    }

    /// Returns the target for which a neighbour was chosen that reaches it, if the place is one.
    pub fn detour(&self) -> Option<&str> {
        match self {
            Self::Instance { detour, .. } => detour.as_deref(),
            Self::Target { .. } => None,
        }
    }

    /// Returns the name of the target or instance.
    pub fn name(&self) -> &str {
        match self {
            Self::Target { target, .. } => target,
            Self::Instance { instance, .. } => instance,
        }
    }
}

impl Proxy {
    /// Sends a request to one destination and forwards its answer.
    pub async fn attempt(
        &self,
        attempt: &Attempt<'_>,
        events: &mut Events,
        responder: &mut Responder,
    ) -> Ended {
        let (job, place) = (attempt.job, attempt.place);
        let timeout = match place {
            Place::Instance { detour: None, .. } => REMOTE_CONNECT_TIMEOUT,
            _ => CONNECT_TIMEOUT,
        };
        let repeats = job.is_retryable();
        let connected = self.pool.connect(place.address(), repeats, timeout).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => return self.not_connected(place, &error),
        };
        let name = place.name();
        let now = Instant::now();
        if !self.enter(place, now) {
            return Ended::Withheld;
        }
        let service = match place {
            Place::Target { .. } => job.service.as_str(),
            // A request that runs in another region is part of that region's load.
            Place::Instance { .. } => "",
        };
        let mut flight = Guard::start(&self.tracker, name, service, attempt.reading_us, now);
        flight.watch = self.watch(attempt, now);
        let _path = self.begin_path(place);
        let direct = place.direct();
        let _run = direct.map(|(_, address)| self.runs.hold(address, connection.opened));
        let output = self.encode(attempt, events.last_id());
        let may_have_run_before = attempt.may_have_run.replace(true);
        attempt.set_retry_sent(true);
        let is_new = !connection.is_used;
        let exchange = self.exchange(attempt, &mut connection, &output);
        let received = self.while_reachable(attempt, exchange).await;
        let (response, is_clean, rest) = match received {
            Ok(received) => received,
            Err(why) => {
                attempt.end_retry();
                return Ended::Unknown(why);
            }
        };
        self.heard(place, is_new);
        if let Some(target) = place.target() {
            self.rates.observe_answer(target, connection.opened, now);
        }
        self.observe_rate(attempt, &response, now, connection.is_used);
        self.observe_departure(attempt, &response);
        self.observe_pause(attempt, &response, now, connection.is_used);
        let refusal = self.refusal(attempt, &response, connection.is_used, may_have_run_before);
        if matches!(refusal, Some(Ended::NotSent(_))) {
            attempt.set_retry_sent(false);
        } else {
            attempt.end_retry();
        }
        if let Some(ended) = refusal {
            if is_clean && drain_refusal(&response, &mut connection.reader).await {
                self.pool.release(place.address(), connection, &response);
            }
            return ended;
        }
        if let Some(ended) = self.reject_answer(attempt, &response, responder) {
            return ended;
        }
        let is_stream = job.is_stream() && response.status.is_success();
        if responder.has_begun() && !is_stream {
            return Ended::Broken(format!(
                "status {} instead of the resumed stream",
                response.status
            ));
        }
        let ended = if is_stream {
            self.forward_stream(
                attempt,
                &response,
                (&mut connection, rest),
                &mut flight,
                events,
                responder,
            )
            .await
        } else {
            flight.answer_started();
            let ended = self
                .forward_whole(attempt, &response, (&mut connection, rest), responder)
                .await;
            self.record_service_time(attempt, &ended, now.elapsed());
            ended
        };
        if is_clean && matches!(ended, Ended::Delivered(_) | Ended::Failing(..)) {
            self.pool.release(place.address(), connection, &response);
        }
        ended
    }

    /// Ends an attempt for which no connection could be opened.
    fn not_connected(&self, place: &Place, error: &io::Error) -> Ended {
        match place {
            Place::Target { target, .. } => {
                self.path_failed(target, &error.to_string());
                self.observe_refusal(target, error);
            }
            Place::Instance {
                instance, detour, ..
            } if detour.is_some() => {
                self.reach.distrust(instance);
            }
            Place::Instance { .. } => {}
        }
        Ended::NotSent(format!("connect: {error}"))
    }

    /// Counts the request on its path, until the guard is dropped.
    fn begin_path(&self, place: &Place) -> Option<reach::Guard> {
        match place {
            Place::Target { target, .. } => Some(self.reach.begin(target)),
            Place::Instance {
                instance, detour, ..
            } => detour.is_some().then(|| self.reach.begin_detour(instance)),
        }
    }

    /// Records that part of the answer arrived.
    pub(super) fn heard(&self, place: &Place, is_new: bool) {
        if let Some(target) = place.target() {
            self.path_heard(target, is_new);
        }
    }

    /// Waits for the answer; if the request may be repeated, only for as long as its path gives hope.
    ///
    /// Otherwise the only hope is that the answer comes before the deadline.
    pub(super) async fn while_reachable<T>(
        &self,
        attempt: &Attempt<'_>,
        work: impl Future<Output = Result<T, Why>>,
    ) -> Result<T, Why> {
        if !attempt.job.is_retryable() {
            return work.await;
        }
        let outcome = match attempt.place {
            Place::Target { target, .. } => self.reach.until_given_up(target, work).await,
            Place::Instance { detour: None, .. } => return work.await,
            Place::Instance { instance, .. } => self.reach.until_silent(instance, work).await,
        };
        outcome.unwrap_or_else(|| Err("silent and not reached from here".to_owned()))
    }

    /// Writes the request and reads the head of its answer.
    ///
    /// A target may answer before it has read a long body. Such an answer counts, but the
    /// connection is not reused: the target would take the next request for the rest of that body.
    async fn exchange(
        &self,
        attempt: &Attempt<'_>,
        connection: &mut Connection,
        output: &Encoded,
    ) -> Result<(Response, bool, Rest), Why> {
        let job = attempt.job;
        let Connection { reader, writer, .. } = connection;
        let mut exchange =
            Exchange::start(reader, writer, [output.head.clone(), output.body.clone()]);
        let mut stray_answers = 0;
        let response = loop {
            let response = exchange.next_head().await;
            let response = response.map_err(|error| error.to_string())?;
            let echoed = header_text(&response.headers, &self.header_names.request_id);
            if echoed.is_none_or(|echoed| echoed == job.id) {
                break response;
            }
            // A late answer to an earlier request; the answer to this request follows it.
            stray_answers += 1;
            tracing::info!(event = "stray-answer", id = job.id, other = echoed);
            let framing = response.framing(false).map_err(|fault| fault.to_string())?;
            if stray_answers > MAX_STRAY_ANSWERS
                || exchange.has_failed()
                || !drain_body(exchange.reader(), Decoder::new(framing)).await
            {
                return Err("answers to other requests".to_owned());
            }
        };
        // An instance reads the whole request first.
        let is_clean = match attempt.place {
            Place::Target { .. } => exchange.is_reusable(),
            Place::Instance { .. } => exchange.is_sent(),
        };
        Ok((response, is_clean && stray_answers == 0, exchange.rest()))
    }

    /// Returns the end of the attempt if the answer says that the request has not run.
    /// `may_have_run_before` tells whether an earlier attempt may have run it, which a refusal of
    /// this one does not undo.
    fn refusal(
        &self,
        attempt: &Attempt<'_>,
        response: &Response,
        is_used: bool,
        may_have_run_before: bool,
    ) -> Option<Ended> {
        let headers = &response.headers;
        if matches!(attempt.place, Place::Instance { .. }) {
            let outcome = header_text(headers, &OUTCOME).and_then(Outcome::parse)?;
            self.merge_suspicion(attempt.job, headers);
            let retry_after = header_number(headers, &RETRY_MS).map(Duration::from_millis);
            if outcome == Outcome::Unknown {
                return Some(Ended::Unknown(
                    "the other instance does not know the outcome".to_owned(),
                ));
            }
            attempt.may_have_run.set(may_have_run_before);
            return Some(match outcome {
                Outcome::NotSent => Ended::NotSent("the other instance did not send it".to_owned()),
                _ => Ended::NotRun(retry_after),
            });
        }
        let says_not_run = headers.contains_key(&self.header_names.not_run)
            || response.status == StatusCode::MISDIRECTED_REQUEST;
        if !says_not_run {
            return None;
        }
        // Without the echoed id it may be a late refusal of an earlier request on the same
        // connection.
        let is_for_this_request = headers.contains_key(&self.header_names.request_id) || !is_used;
        if !is_for_this_request && !attempt.job.is_retryable() {
            return Some(Ended::Unknown("a refusal without a request id".to_owned()));
        }
        attempt.may_have_run.set(may_have_run_before);
        Some(Ended::NotRun(None))
    }

    /// Updates the service time of a plain service from an answer.
    fn record_service_time(&self, attempt: &Attempt<'_>, ended: &Ended, took: Duration) {
        let Place::Target { slots, .. } = attempt.place else {
            return;
        };
        if matches!(ended, Ended::Delivered(_)) {
            let mut tracker = self.tracker.borrow_mut();
            tracker.record_service_time(&attempt.job.service, took, attempt.ahead, *slots);
        }
    }
}
