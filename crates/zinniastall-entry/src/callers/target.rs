//! Sends requests to targets and reads their answers.
//!
//! "Not run" must be certain. Once a connection is open, bytes of the request may have left, so every
//! later failure is "unknown". Only failures to connect, and typed refusals from the target, are "not
//! run".

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use tokio::time::timeout_at;
use zinniastall_coord::origin::Requirement;
use zinniastall_http::{
    body::{Decoder, Framing},
    client::{Exchange, Rest},
    coding,
    connection::Part,
    ending::Ending,
    events::{self, Events},
    head::{self, Response},
    pool::Connection,
};
use zinniastall_model::header::{OFFSET, OUTCOME, RETRY, SOFTWARE};
use zinniastall_route::outcome::{Outcome, Reason, Refusal};
use zinniastall_wire::gossip;

use super::{
    call::{Call, is_forwarded},
    reply::{BodySource, Reply, Served, lazy_body, remaining_ms},
    worker::Worker,
};

/// Maximum time to connect to a target of the zone; the request is validated before it.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request to a target and waits for the head of its answer.
///
/// A request that `continues` a stream names the event at which it does, and what the target must
/// satisfy to run it.
///
/// # Errors
///
/// Returns a [`Refusal`] whose outcome tells whether the target may have run the request.
pub async fn send(
    worker: &Rc<Worker>,
    target: &gossip::Target,
    call: &Call,
    continues: Option<(u64, &Requirement)>,
) -> Result<Reply, Refusal> {
    let left = remaining_ms(call.request.deadline);
    let request = encode(call, &target.address, left, continues)?;
    if left == 0 {
        return Err(Refusal::not_run(Reason::DeadlineNotFeasible));
    }
    let deadline = Instant::now() + Duration::from_millis(left);
    let sent_at = Instant::now();
    let mut connection = worker.connect(target, call, deadline).await?;
    // Since it was chosen, the target may have answered another request.
    if !worker
        .service
        .shared_view
        .notices()
        .enter(target, Instant::now())
    {
        return Err(Refusal::not_run(Reason::TargetPaused));
    }
    let Connection { reader, writer, .. } = &mut connection;
    let mut exchange = Exchange::start(reader, writer, [request.freeze(), Bytes::new()]);
    let head = timeout_at(deadline.into(), exchange.next_head()).await;
    let (is_clean, rest) = (exchange.is_reusable(), exchange.rest());
    drop(exchange);
    let head = head.map_err(|_| Refusal::unknown(Reason::DeadlinePassed))?;
    let head = head.map_err(|error| worker.lost(target, call, &error.to_string()))?;
    let reach = worker.service.shared_view.paths();
    reach.heard(&target.target, !connection.is_used);
    let refusal = typed_refusal(&head);
    worker.observe_notices(target, call, &head, sent_at);
    let answer = (&head.headers, refusal.is_some());
    worker.observe_rate(target, call, answer, sent_at);
    if let Some(refusal) = refusal {
        return Err(refusal);
    }
    if !call.accepts_coding_of(&head) {
        return Err(worker.lost(target, call, "a content coding that wasn't asked for"));
    }
    let framing = head.framing(call.method == Method::HEAD.as_str());
    let framing = framing.map_err(|error| worker.lost(target, call, &error.to_string()))?;
    let body = TargetBody {
        worker: Rc::clone(worker),
        request: call.request.id.clone(),
        target: target.clone(),
        connection: Some(connection),
        rest,
        is_reusable: is_clean,
        framing,
        decoder: Decoder::new(framing),
        events: Events::default(),
        head,
    };
    Ok(body.reply())
}

/// Encodes a request for a target.
fn encode(
    call: &Call,
    address: &str,
    left: u64,
    continues: Option<(u64, &Requirement)>,
) -> Result<BytesMut, Refusal> {
    let malformed = |what: &str| Refusal::not_run(Reason::MalformedBody(what.to_owned()));
    let method = Method::from_bytes(call.method.as_bytes());
    let method = method.map_err(|_| malformed("the method is not known"))?;
    let mut headers = HeaderMap::new();
    let own = call.system_headers(left, continues);
    let own = own.iter().map(|(name, value)| (*name, value.as_str()));
    let callers = call.headers.iter();
    let callers = callers.map(|(name, value)| (name.as_str(), value.as_str()));
    for (name, value) in callers.chain(own).chain([("host", address)]) {
        let name = HeaderName::try_from(name).map_err(|_| malformed("a header name"))?;
        let value = HeaderValue::try_from(value).map_err(|_| malformed("a header value"))?;
        headers.append(name, value);
    }
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    let mut output = BytesMut::with_capacity(1024 + call.body.len());
    head::write_request(&mut output, &method, &call.path, &headers);
    output.extend_from_slice(&call.body);
    Ok(output)
}

/// Waits for a target's work on a request; if the request may be repeated, only for as long as the path
/// to the target gives hope.
///
/// # Errors
///
/// Returns the work's refusal, or "unknown" if it was given up.
pub async fn while_reachable<T>(
    worker: &Worker,
    target: &gossip::Target,
    call: &Call,
    work: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    if !call.request.idempotent {
        return work.await;
    }
    let reach = worker.service.shared_view.paths();
    let done = reach.until_given_up(&target.target, work).await;
    done.unwrap_or_else(|| Err(Refusal::unknown(Reason::TargetLost)))
}

impl Worker {
    /// Takes or opens a connection to a target.
    ///
    /// A target may close a pooled connection at the moment it is reused, and then it is unknown
    /// whether the request was read. Requests that must not be repeated would end as "unknown", so
    /// each of them gets a new connection.
    async fn connect(
        &self,
        target: &gossip::Target,
        call: &Call,
        deadline: Instant,
    ) -> Result<Connection, Refusal> {
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = left.min(CONNECT_TIMEOUT);
        let connected = if call.request.idempotent {
            self.connections
                .connect(&target.address, true, timeout)
                .await
        } else {
            Connection::open(&target.address, timeout).await
        };
        connected.map_err(|error| {
            let reach = self.service.shared_view.paths();
            reach.failed(&target.target, &error.to_string());
            Refusal::not_run(Reason::TargetUnreachable)
        })
    }

    /// Records that the connection to a target broke.
    fn lost(&self, target: &gossip::Target, call: &Call, why: &str) -> Refusal {
        self.service.shared_view.paths().broke(&target.target);
        tracing::info!(
            event = "answer-lost",
            request = call.request.id,
            target = target.target,
            why,
        );
        Refusal::unknown(Reason::TargetLost)
    }
}

impl Call {
    fn accepts_coding_of(&self, answer: &Response) -> bool {
        let is_accept = |name: &str| name.eq_ignore_ascii_case(header::ACCEPT_ENCODING.as_str());
        let fields = self.headers.iter().filter(|(name, _)| is_accept(name));
        let accepted: Vec<&str> = fields.map(|(_, value)| value.as_str()).collect();
        coding::is_accepted(&accepted, &answer.headers)
    }
}

/// Recognises a target's typed refusal, which states that the request has not run.
fn typed_refusal(head: &Response) -> Option<Refusal> {
    let refusing = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let said = head.headers.get(OUTCOME)?.to_str().ok()?;
    if !refusing.contains(&head.status) || said != Outcome::NotRun.as_str() {
        return None;
    }
    let refusal = Refusal::not_run(Reason::TargetRefused);
    let retry = head.headers.get(RETRY);
    let millis = retry.and_then(|value| value.to_str().ok()?.parse().ok());
    Some(match millis {
        Some(millis) => refusal.retry_after(Duration::from_millis(millis)),
        None => refusal,
    })
}

/// Body of a target's answer; dropping it before its end closes the connection.
struct TargetBody {
    worker: Rc<Worker>,
    request: String,
    target: gossip::Target,
    /// Connection, until the body has ended.
    connection: Option<Connection>,
    /// What was not written of the request when the answer began.
    rest: Rest,
    /// Whether the target has read the whole request, so that the next one would not be taken for a
    /// part of it.
    is_reusable: bool,
    framing: Framing,
    decoder: Decoder,
    /// Splits a series of events, to recognise one that was broken off.
    events: Events,
    head: Response,
}

impl TargetBody {
    fn text(&self, name: impl header::AsHeaderName) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the most that can be known of the end of the body.
    fn highest(&self) -> Ending {
        match self.framing {
            Framing::Close => Ending::Unconfirmed,
            _ => Ending::Complete,
        }
    }

    fn is_events(&self) -> bool {
        let kind = self.text(header::CONTENT_TYPE);
        kind.is_some_and(|kind| events::is_event_stream(kind.as_bytes()))
    }

    fn reply(self) -> Reply {
        let offset = self.text(OFFSET).and_then(|value| value.parse().ok());
        let headers = self.head.headers.iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            is_forwarded(name.as_str()).then(|| (name.as_str().to_owned(), value.to_owned()))
        });
        let events = self.is_events();
        Reply {
            status: self.head.status.as_u16(),
            headers: headers.collect(),
            length: match self.framing {
                Framing::Length(length) if !events => Some(length),
                _ => None,
            },
            highest: self.highest(),
            events,
            offset: offset.unwrap_or_default(),
            served: Served {
                target: self.target.target.clone(),
                place: self.target.place.clone(),
            },
            software: self.text(SOFTWARE).map(ToOwned::to_owned),
            body: lazy_body(self),
        }
    }

    /// Records how the body ended, and returns the connection to the pool if it may serve another
    /// request.
    fn ended(&mut self, ending: Ending, why: &str) {
        let name = match ending {
            Ending::Complete => "answers.complete",
            Ending::Unconfirmed => "answers.unconfirmed",
            Ending::Incomplete => "answers.incomplete",
        };
        self.worker.recorder.count(name, 1);
        if ending != Ending::Complete {
            tracing::info!(
                event = "answer-ended",
                request = self.request,
                target = self.target.target,
                framing = self.framing.as_str(),
                ending = ending.as_str(),
                why,
            );
        }
        let is_reusable = self.is_reusable && ending == Ending::Complete;
        if let Some(connection) = self.connection.take().filter(|_| is_reusable) {
            let pool = &self.worker.connections;
            pool.release(&self.target.address, connection, &self.head);
        }
    }

    fn broken(&mut self, why: &str) -> Refusal {
        self.ended(Ending::Incomplete, why);
        Refusal::unknown(Reason::TargetLost)
    }
}

impl BodySource for TargetBody {
    async fn next_part(&mut self) -> Result<Option<Bytes>, Refusal> {
        let is_events = self.is_events();
        let Some(connection) = &mut self.connection else {
            return Err(Refusal::unknown(Reason::TargetLost));
        };
        match connection.reader.part(&mut self.decoder).await {
            Ok(Part::Piece(bytes)) => {
                if is_events && let Err(torn) = self.events.push(&bytes) {
                    return Err(self.broken(&torn.to_string()));
                }
                Ok(Some(bytes))
            }
            Ok(Part::End(_)) if is_events && let Err(torn) = self.events.finish() => {
                Err(self.broken(&torn.to_string()))
            }
            Ok(Part::End(Ending::Unconfirmed))
                if let Err(error) = std::mem::take(&mut self.rest)
                    .confirm(&mut connection.writer)
                    .await =>
            {
                let why = format!("ended before the request was read: {error}");
                Err(self.broken(&why))
            }
            Ok(Part::End(ending)) => {
                self.ended(ending, "the answer states no end of its own");
                Ok(None)
            }
            Err(error) => Err(self.broken(&error.to_string())),
        }
    }
}
