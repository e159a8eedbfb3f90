//! HTTP client for targets.
//!
//! "Not run" must be certain. Once the HTTP library holds a connection, bytes of the request may
//! have left, so every later failure is "unknown". Only failures to connect, and typed refusals
//! from the target, are "not run". Retries and redirects in the library are disabled, since both
//! could run a request twice.

use std::time::{Duration, Instant};

use actix_service::ServiceExt;
use actix_tls::connect::{Connection, Connector as Dialer};
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
    http::{StatusCode, Uri, header},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use zinniastall_model::header::{OFFSET, OUTCOME, RETRY};
use zinniastall_route::{
    outcome::{Outcome, Reason, Refusal},
    relay::Length,
};
use zinniastall_wire::gossip;

use super::{
    call::{Call, is_forwarded},
    guard::Guard,
    reply::{Body, Reply, Served, remaining_ms},
    worker::Worker,
};

/// Maximum time to connect to a target of the zone; the request is validated before it.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a pooled connection is closed. It is shorter than the keep-alive time
/// common in HTTP servers, so that a connection is rarely found closed by the other end.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum lifetime of a connection in constant use, in multiples of the idle timeout.
const MAX_LIFETIME_IN_IDLE_TIMEOUTS: u32 = 15;

/// Connections from one thread to targets.
#[derive(Clone)]
pub struct Clients {
    pooled: Client,
    fresh: Client,
}

impl std::fmt::Debug for Clients {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Clients").finish_non_exhaustive()
    }
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            pooled: client(IDLE_TIMEOUT),
            fresh: client(Duration::ZERO),
        }
    }
}

impl Clients {
    /// Returns the HTTP client for a request.
    ///
    /// A target may close a pooled connection at the moment it is reused, and then it is unknown
    /// whether the request was read. Requests that must not be repeated would end as "unknown", so
    /// each of them gets a new connection.
    const fn client(&self, idempotent: bool) -> &Client {
        if idempotent {
            &self.pooled
        } else {
            &self.fresh
        }
    }
}

fn client(lifetime: Duration) -> Client {
    let dialer = Dialer::default().service().map(guard);
    let connector = Connector::new()
        .connector(dialer)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(lifetime)
        .conn_lifetime(lifetime.saturating_mul(MAX_LIFETIME_IN_IDLE_TIMEOUTS))
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

fn guard(connection: Connection<Uri, actix_rt::net::TcpStream>) -> Connection<Uri, Guard> {
    let (stream, rest) = connection.replace_io(());
    // Without `TCP_NODELAY`, small events would wait for acknowledgements. A failure only adds
    // latency.
    let _ = stream.set_nodelay(true);
    rest.replace_io(Guard::new(stream)).1
}

/// Sends a request to a target and waits for the response head.
///
/// # Errors
///
/// Returns a [`Refusal`] whose outcome tells whether the target may have run the request.
pub async fn send(
    worker: &Worker,
    target: &gossip::Target,
    call: &Call,
    offset: u64,
) -> Result<Reply, Refusal> {
    let url = format!("http://{}{}", target.address, call.path);
    let method = awc::http::Method::from_bytes(call.method.as_bytes()).map_err(|_| {
        Refusal::not_run(Reason::MalformedBody("the method is not known".to_owned()))
    })?;
    let client = worker.client.client(call.request.idempotent);
    let mut request = client.request(method, url);
    for (name, value) in &call.headers {
        request = request.insert_header((name.as_str(), value.as_str()));
    }
    let left = remaining_ms(call.request.deadline);
    for (name, value) in call.system_headers(left, offset) {
        request = request.insert_header((name, value));
    }
    if left == 0 {
        return Err(Refusal::not_run(Reason::DeadlineNotFeasible));
    }
    let sent_at = Instant::now();
    let response = request
        .timeout(Duration::from_millis(left))
        .send_body(call.body.clone())
        .await
        .map_err(|error| worker.failed_path(target, &error))?;
    let reach = worker.service.shared_view.paths();
    reach.heard(&target.target, !call.request.idempotent);
    let refusal = typed_refusal(&response);
    let answer = (response.headers(), refusal.is_some());
    worker.observe_rate(target, call, answer, sent_at);
    if let Some(refusal) = refusal {
        return Err(refusal);
    }
    Ok(read_head(response, target))
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
    /// Records what a send error says of the path to a target, and classifies it.
    fn failed_path(&self, target: &gossip::Target, error: &SendRequestError) -> Refusal {
        let refusal = classify(error);
        let reach = self.service.shared_view.paths();
        match refusal.reason {
            Reason::TargetUnreachable => reach.failed(&target.target, &error.to_string()),
            Reason::TargetLost => reach.broke(&target.target),
            _ => {}
        }
        refusal
    }
}

/// Classifies a send error by whether the request may have run.
fn classify(error: &SendRequestError) -> Refusal {
    match error {
        // `Disconnected` is the only connection error that the library also reports for a
        // connection that broke while in use.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Refusal::unknown(Reason::TargetLost)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            Refusal::not_run(Reason::TargetUnreachable)
        }
        SendRequestError::Timeout => Refusal::unknown(Reason::DeadlinePassed),
        _ => Refusal::unknown(Reason::TargetLost),
    }
}

fn read_head(response: ClientResponse, target: &gossip::Target) -> Reply {
    let text = |name: header::HeaderName| response.headers().get(name)?.to_str().ok();
    let length = text(header::CONTENT_LENGTH).and_then(|value| value.parse().ok());
    let events =
        text(header::CONTENT_TYPE).is_some_and(|value| value.starts_with("text/event-stream"));
    let offset = response.headers().get(OFFSET);
    let offset = offset.and_then(|value| value.to_str().ok()?.parse().ok());
    let offset = offset.unwrap_or_default();
    let headers = response.headers().iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        is_forwarded(name.as_str()).then(|| (name.as_str().to_owned(), value.to_owned()))
    });
    Reply {
        status: response.status().as_u16(),
        headers: headers.collect(),
        length: if events { None } else { length },
        events,
        offset,
        served: Served {
            target: target.target.clone(),
            place: target.place.clone(),
        },
        body: read_body(response, Length::new(length)),
    }
}

/// Recognises a target's typed refusal, which states that the request has not run.
fn typed_refusal(response: &ClientResponse) -> Option<Refusal> {
    let status = response.status();
    let refusing = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let said = response.headers().get(OUTCOME)?.to_str().ok()?;
    if !refusing.contains(&status) || said != Outcome::NotRun.as_str() {
        return None;
    }
    let refusal = Refusal::not_run(Reason::TargetRefused);
    let retry = response.headers().get(RETRY);
    let millis = retry.and_then(|value| value.to_str().ok()?.parse().ok());
    Some(match millis {
        Some(millis) => refusal.retry_after(Duration::from_millis(millis)),
        None => refusal,
    })
}

fn read_body(response: ClientResponse, length: Length) -> Body {
    let next = |state: Option<(ClientResponse, Length)>| async move {
        let (mut response, mut length) = state?;
        let part: Option<Result<Bytes, _>> = response.next().await;
        match part {
            Some(Ok(bytes)) if length.push(&bytes).is_ok() => {
                Some((Ok(bytes), Some((response, length))))
            }
            None if length.end().is_ok() => None,
            _ => Some((Err(Refusal::unknown(Reason::TargetLost)), None)),
        }
    };
    stream::unfold(Some((response, length)), next).boxed_local()
}
