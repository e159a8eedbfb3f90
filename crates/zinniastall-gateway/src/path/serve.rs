//! Serves the connections of callers, and of instances that forward requests.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::header::EXPECT;
use rand::Rng;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use zinniastall_http::{
    body::{Decoder, Framing},
    connection::{self, Error, Part, Reader},
    ending::Ending,
    head::{self, Request},
};
use zinniastall_model::routing::Limits;

use super::{
    Proxy,
    answer::{Outcome, Refusal},
    held::Share,
    job::{Job, Match, Trusts, header_number, header_text},
    responder::Responder,
    resumption::MAX_HOLD,
    run,
};
use crate::{
    clock::{self, Moment},
    decide::{quota::Claim, vouch::Knowledge},
    freshness::Trust,
    request_log::End,
    tracker::Demand,
};

/// Pause after a failed accept. The process is most likely out of file descriptors, and an
/// immediate retry would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which a connection is still read after its last answer. Closing a connection with
/// unread bytes resets it, and the reset can overtake the answer.
const LINGER: Duration = Duration::from_secs(1);
/// Idle timeout of a caller's connection while this instance drains. Requests already in transit
/// arrive within it.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which callers may be unaware of a drain: they cache an address for two seconds, and the
/// announcement takes up to half a second.
const DRAIN_LAG: Duration = Duration::from_millis(2_800);
/// Retry time of a request refused because this instance is stopping; any other instance accepts it
/// at once.
pub(super) const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry time of a request that a neighbour handed on while too many such requests are in progress.
const DETOUR_RETRY: Duration = Duration::from_millis(250);
/// Retry time of a request for whose body there is no memory. Those that take it end within seconds.
const BODY_RETRY: Duration = Duration::from_millis(500);
/// Interval at which a held request is matched again.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Interval at which an idle connection checks whether this instance drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Counts open connections and requests in progress.
#[derive(Debug, Default)]
pub struct Connections {
    open: Cell<usize>,
    requests: Cell<usize>,
}

impl Connections {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of requests in progress.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }
}

/// Guard that increments a counter for as long as it lives.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections forever; `from_instances` tells whether they come from instances that
/// forward requests.
pub async fn accept(proxy: Rc<Proxy>, listener: TcpListener, from_instances: bool) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let proxy = Rc::clone(&proxy);
                tokio::task::spawn_local(async move {
                    if let Err(error) = proxy.handle_connection(stream, from_instances).await {
                        tracing::debug!(event = "caller-gone", error = %error);
                    }
                });
            }
            Err(error) => {
                tracing::error!(event = "accept-failed", error = %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

impl Proxy {
    async fn handle_connection(
        &self,
        stream: TcpStream,
        from_instances: bool,
    ) -> Result<(), Error> {
        let _guard = CountGuard::new(&self.connections.open);
        let (mut reader, writer) = connection::split(stream)?;
        let mut responder = Responder::new(writer, from_instances);
        while self
            .serve_next(&mut reader, &mut responder, from_instances)
            .await?
        {
            reader.release_buffer();
        }
        responder.shut_down().await?;
        let rest = async {
            while reader.first_byte().await.is_ok_and(|has_byte| has_byte)
                && reader.discard_unread()
            {}
        };
        // A peer that keeps sending is cut off after that.
        let _ = time::timeout(LINGER, rest).await;
        Ok(())
    }

    /// Serves the next request of a connection and returns whether another one may follow.
    async fn serve_next(
        &self,
        reader: &mut Reader,
        responder: &mut Responder,
        from_instances: bool,
    ) -> Result<bool, Error> {
        responder.next_request(true, true);
        let limits = self.limits();
        if !self.wait_for_first(reader, &limits).await? {
            return Ok(false);
        }
        let _guard = CountGuard::new(&self.connections.requests);
        let arriving = Duration::from_millis(limits.head_ms);
        let read = time::timeout(arriving, reader.head::<Request>(limits.head_bytes)).await;
        let head = match read {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return Ok(false),
            Ok(Err(error)) => return self.refuse("", responder, head_refusal(&error)).await,
            Err(_) => return self.refuse("", responder, Refusal::ArrivalTimeout).await,
        };
        let arrived = Instant::now();
        let id = header_text(&head.headers, &self.header_names.request_id);
        let id = id.unwrap_or_default().to_owned();
        responder.next_request(
            head.is_http11,
            head.is_keep_alive() && !self.state.is_draining(),
        );
        let mut room = self.bodies.start();
        let read = self.read_body(&head, (reader, responder), &limits, &mut room);
        let body = match read.await {
            Ok(body) => body,
            Err(BodyError::Refused(refusal)) => return self.refuse(&id, responder, refusal).await,
            Err(BodyError::Failed(error)) => return Err(error),
        };
        let matched = self.match_route(&head, arrived, from_instances).await;
        let job = matched.and_then(|matched| matched.job(&self.header_names, head, body, arrived));
        match job {
            Ok(job) => self.serve(&job, reader, responder).await,
            Err(refusal) => {
                self.record_refusal(&id, refusal);
                responder.refuse(refusal, &[]).await?;
                Ok(responder.keeps_open())
            }
        }
    }

    /// Matches a request to its route. A request that arrives before this instance knows any routes,
    /// and the rates that targets have named to others, is held for as long as it usually takes to
    /// learn them: if it were sent away, it would find most other instances starting as well. So is one
    /// that arrives before the configuration is confirmed again after a suspension, and one that was
    /// matched by a later configuration, which is on its way here.
    async fn match_route(
        &self,
        head: &Request,
        arrived: Instant,
        from_instances: bool,
    ) -> Result<Match, Refusal> {
        let left =
            header_number(&head.headers, &self.header_names.deadline_ms).map(Duration::from_millis);
        let max_hold = left.map_or(MAX_HOLD, |left| (left / 4).min(MAX_HOLD));
        loop {
            let now = clock::now();
            self.resumption.observe(now);
            // The view is read after the leases, so it is at least as new as the one that they cover.
            let trusts = Trusts {
                configuration: self.knowledge(now),
                keys: self.state.keys_trust(),
            };
            let view = self.state.view();
            let matched = if from_instances {
                Match::of_instance(&view, head)
            } else {
                Match::of_caller(&view, trusts, head)
            };
            let is_untrusted = !from_instances && trusts.configuration.trust != Trust::Fresh;
            let waits = matches!(matched, Err(Refusal::Unconfigured | Refusal::Behind))
                || !self.rates.is_introduced()
                || (is_untrusted && self.resumption.is_recent(now));
            if !waits || arrived.elapsed() >= max_hold {
                if is_untrusted {
                    self.metrics.count_unconfirmed(decision(&matched));
                }
                return matched;
            }
            time::sleep(HOLD_POLL_INTERVAL).await;
        }
    }

    /// Returns what is known of the configuration of a view that is read after this call.
    fn knowledge(&self, now: Moment) -> Knowledge {
        let trust = self.state.trust();
        let age = self.state.lease().age(now);
        let was_heard = |age| self.resumption.ran_since(now.saturating_sub(age));
        Knowledge {
            trust,
            is_heard: trust != Trust::Unconfirmed && age.is_none_or(was_heard),
        }
    }

    /// Returns whether a request without a target waits, because this instance goes on after a suspension
    /// and is still told of targets and instances. Another instance that forwarded it may know some.
    pub(super) fn awaits_news(&self, job: &Job) -> bool {
        let max_hold = (job.patience / 4).min(MAX_HOLD);
        !job.is_passed_on
            && job.arrived.elapsed() < max_hold
            && self.resumption.has_resumed(clock::now())
    }

    /// Serves a request, unless the sender closes the connection.
    async fn serve(
        &self,
        job: &Job,
        reader: &mut Reader,
        responder: &mut Responder,
    ) -> Result<bool, Error> {
        self.record_arrival(job);
        self.sync_quarantine_if_changed();
        if job.is_passed_on {
            self.merge_suspicion(job, &job.head.headers);
        }
        let detoured = job.is_detoured.then(|| self.reach.begin_detoured());
        let is_over = matches!(detoured, Some(None));
        let admitted = if is_over {
            Err((
                Refusal::Busy(DETOUR_RETRY),
                "too many requests of neighbours",
            ))
        } else {
            self.admit(job)
        };
        if let Err((refusal, why)) = admitted {
            responder.refuse(refusal, &self.suspicions(job)).await?;
            self.record_end(job, responder, refusal.outcome().as_str(), why);
            return Ok(responder.keeps_open());
        }
        self.record_room_asked(job);
        let ended = tokio::select! {
            biased;
            ended = self.run(job, responder) => ended?,
            // Dropping the attempt closes its connection, which tells the target.
            () = reader.wait_closed() => {
                self.record_end(job, responder, "left", "the caller closed the connection");
                return Ok(false);
            }
        };
        match ended {
            run::End::Answered(ending) => {
                self.record_run_time(job);
                let (outcome, why) = answered(ending);
                self.record_end(job, responder, outcome, why);
            }
            run::End::Refused(refusal) => {
                if refusal.outcome() == Outcome::Unknown {
                    self.record_run_time(job);
                }
                self.refund(job, refusal.outcome());
                self.record_end(job, responder, refusal.outcome().as_str(), refusal.as_str());
            }
            run::End::Aborted(why) => {
                self.record_end(job, responder, "aborted", &why);
                return Err(Error::Ended);
            }
        }
        // An answer that announced keep-alive is binding, even if this instance has begun to drain
        // since: the caller may already have sent its next request.
        Ok(responder.keeps_open())
    }

    /// Admits a request, or returns why it is refused before a target is chosen.
    fn admit(&self, job: &Job) -> Result<(), (Refusal, &'static str)> {
        if self.outlasts_drain(job) {
            return Err((
                Refusal::Busy(DRAINING_RETRY_AFTER),
                "this instance stops before the request could finish",
            ));
        }
        if self.is_rejected(&self.standing(job), job) {
            let refusal = self.record_rejection(job);
            return Err((refusal, "the request, or a part of it, crashes targets"));
        }
        // The instance that the caller connected to has counted it already.
        let Some(charge) = job.charge().filter(|_| !job.is_passed_on) else {
            return Ok(());
        };
        let claim = Claim {
            cost: charge.cost,
            draw: rand::rng().random(),
        };
        let mut quotas = self.quotas.borrow_mut();
        let admitted = quotas.admit(charge.account, &charge.quota, claim, job.arrived);
        let account = job.account().map_or("", |account| account.name.as_str());
        self.metrics
            .count_units(account, charge.cost, admitted.is_ok());
        drop(quotas);
        let admitted = admitted.map_err(|excess| {
            self.request_log.exceeded(job, charge, excess);
            (
                Refusal::QuotaExceeded(excess.retry_after),
                "beyond its account's quota",
            )
        });
        admitted?;
        self.check_share(job, charge, claim.draw)
            .inspect_err(|(refusal, _)| self.refund(job, refusal.outcome()))
    }

    /// Refunds the quota of a request that has not run.
    fn refund(&self, job: &Job, outcome: Outcome) {
        if outcome == Outcome::Unknown || job.is_passed_on {
            return;
        }
        if let Some(charge) = job.charge() {
            let mut quotas = self.quotas.borrow_mut();
            quotas.refund(charge.account, charge.cost, Instant::now());
        }
    }

    /// Records the arrival of a request.
    fn record_arrival(&self, job: &Job) {
        let mut tracker = self.tracker.borrow_mut();
        let asked = Demand {
            priority: job.priority(),
            route_priority: job.route().priority,
            objective_ms: job.route().objective_ms,
            gap_ms: job.route().gap_ms,
        };
        tracker.record_demand(&job.service, asked, job.arrived);
        drop(tracker);
        self.record_work(job);
        // The instance that the caller connected to has counted it already.
        if !job.is_passed_on {
            self.retries.deposit(&job.service, job.arrived);
        }
    }

    /// Refuses a request that cannot be read and closes the connection, since whatever follows on
    /// it cannot be trusted either.
    async fn refuse(
        &self,
        id: &str,
        responder: &mut Responder,
        refusal: Refusal,
    ) -> Result<bool, Error> {
        self.record_refusal(id, refusal);
        responder.next_request(true, false);
        responder.refuse(refusal, &[]).await?;
        Ok(false)
    }

    /// Records that a request was refused before it was matched to a route.
    fn record_refusal(&self, id: &str, refusal: Refusal) {
        self.request_log.refused(id, refusal.as_str());
        let end = End::untimed(refusal.outcome().as_str());
        self.metrics.count_request("", &end);
    }

    /// Records the end of a request.
    fn record_end(&self, job: &Job, responder: &Responder, outcome: &'static str, why: &str) {
        let status = responder.status().map_or(0, |status| status.as_u16());
        let first = responder
            .begun()
            .map(|begun| begun.duration_since(job.arrived));
        let end = End {
            outcome,
            reason: why,
            status,
            first_byte: first,
            longest_gap: responder.pause(),
            duration: job.arrived.elapsed(),
        };
        self.request_log.ended(job, &end);
        self.metrics.count_request(&job.route().name, &end);
    }

    /// Records how long a request took that was sent to a target.
    fn record_run_time(&self, job: &Job) {
        let (route, now) = (&job.route().name, Instant::now());
        let took = now.saturating_duration_since(job.arrived);
        self.run_times.borrow_mut().record(route, took, now);
    }

    /// Returns whether a request might outlast this draining instance.
    ///
    /// It would get no answer of its target; refused at once, its caller finds another instance. A
    /// caller that could not yet know of the drain is served if requests of the route are known to end
    /// in time, or nothing is known of them.
    fn outlasts_drain(&self, job: &Job) -> bool {
        let Some(drain) = self.state.draining() else {
            return false;
        };
        let (now, last_answer) = (Instant::now(), drain.last_answer());
        let longest = self.run_times.borrow().longest(&job.route().name);
        let may_end = now + longest.unwrap_or_default() < last_answer;
        job.deadline > last_answer && (job.arrived > drain.since + DRAIN_LAG || !may_end)
    }

    /// Waits for the first byte of a request and returns whether one came. A connection that is
    /// idle while this instance drains is closed.
    async fn wait_for_first(&self, reader: &mut Reader, limits: &Limits) -> Result<bool, Error> {
        let since = Instant::now();
        let idle = Duration::from_millis(limits.idle_ms);
        loop {
            let polled = time::timeout(DRAIN_POLL_INTERVAL, reader.first_byte()).await;
            if let Ok(has_byte) = polled {
                return Ok(has_byte?);
            }
            let idle_limit = if self.state.is_draining() {
                DRAINING_IDLE_TIMEOUT
            } else {
                idle
            };
            if since.elapsed() >= idle_limit {
                return Ok(false);
            }
        }
    }

    async fn read_body(
        &self,
        head: &Request,
        (reader, responder): (&mut Reader, &mut Responder),
        limits: &Limits,
        room: &mut Share<'_>,
    ) -> Result<Bytes, BodyError> {
        let framing = head
            .framing()
            .map_err(|_| BodyError::Refused(Refusal::Malformed))?;
        let mut decoder = Decoder::new(framing);
        if decoder.is_done() {
            return Ok(Bytes::new());
        }
        let no_room = || BodyError::Refused(Refusal::Busy(BODY_RETRY));
        let declared = match framing {
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Chunked | Framing::Close => 0,
        };
        if declared > limits.body_bytes {
            return Err(BodyError::Refused(Refusal::BodyTooLong));
        }
        if !room.add(declared) {
            return Err(no_room());
        }
        if head.headers.contains_key(EXPECT) {
            responder
                .send_continue()
                .await
                .map_err(|error| BodyError::Failed(error.into()))?;
        }
        let mut body = BytesMut::with_capacity(declared);
        let idle = Duration::from_millis(limits.idle_ms);
        loop {
            let piece = time::timeout(idle, reader.part(&mut decoder)).await;
            let piece = piece.map_err(|_| BodyError::Refused(Refusal::ArrivalTimeout))?;
            match piece {
                Ok(Part::Piece(piece)) if body.len() + piece.len() > limits.body_bytes => {
                    return Err(BodyError::Refused(Refusal::BodyTooLong));
                }
                Ok(Part::Piece(piece)) => {
                    let is_beyond = body.len() + piece.len() > declared;
                    if is_beyond && !room.add(piece.len()) {
                        return Err(no_room());
                    }
                    body.extend_from_slice(&piece);
                }
                // A request always states its own end.
                Ok(Part::End(_)) => return Ok(body.freeze()),
                Err(Error::Body(zinniastall_http::body::Error::MalformedChunk)) => {
                    return Err(BodyError::Refused(Refusal::Malformed));
                }
                Err(error) => return Err(BodyError::Failed(error)),
            }
        }
    }

    fn limits(&self) -> Limits {
        let view = self.state.view();
        let limits = view.table().map(|table| table.limits.clone());
        limits.unwrap_or_default()
    }
}

/// Returns the outcome of a request whose answer was forwarded up to its end, and the reason.
const fn answered(ending: Ending) -> (&'static str, &'static str) {
    match ending {
        Ending::Complete => ("answered", ""),
        ending => (ending.as_str(), "the answer states no end of its own"),
    }
}

/// Returns what is decided for a request while the configuration isn't confirmed, for metrics.
const fn decision(matched: &Result<Match, Refusal>) -> &'static str {
    match matched {
        Ok(_) => "served-once",
        Err(_) => "rejected",
    }
}

/// Reason why a body was not read.
enum BodyError {
    Refused(Refusal),
    Failed(Error),
}

const fn head_refusal(error: &Error) -> Refusal {
    match error {
        Error::Head(head::Error::TooLong) => Refusal::HeadTooLong,
        _ => Refusal::Malformed,
    }
}
