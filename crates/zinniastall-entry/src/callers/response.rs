//! Builds HTTP responses from replies and refusals.

use actix_web::{
    HttpResponse, HttpResponseBuilder,
    body::SizedStream,
    http::{ConnectionType, StatusCode, header as http},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::Serialize;
use zinniastall_http::ending::Ending;
use zinniastall_model::{
    header::{INSTANCE, OUTCOME, PLACE, REQUEST, RETRY, TARGET, TICKET},
    id,
};
use zinniastall_route::outcome::{Outcome, Refusal};

use super::reply::{Body, Reply};

/// Maximum length of a response that is buffered before it is sent. A buffered response can state
/// "answered" in its head and can be retried if it breaks.
pub const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    r#type: &'a str,
    message: String,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    ticket: Option<&'a str>,
}

/// Returns the JSON error body of a refusal.
pub fn error_json(refusal: &Refusal) -> String {
    let body = ErrorBody {
        error: ErrorDetail {
            r#type: refusal.reason.kind(),
            message: refusal.reason.to_string(),
            outcome: refusal.outcome.as_str(),
            retry_after_ms: retry_ms(refusal),
            ticket: refusal.ticket.as_deref(),
        },
    };
    // Strings and numbers always serialize.
    serde_json::to_string(&body).unwrap_or_default()
}

/// Builds the error response of a refusal.
pub fn refuse(refusal: &Refusal, request: &str, instance: &id::Instance) -> HttpResponse {
    let mut response = HttpResponse::build(status_code(refusal.status()));
    response
        .insert_header((REQUEST, request))
        .insert_header((INSTANCE, instance.as_str()))
        .insert_header((OUTCOME, refusal.outcome.as_str()));
    if let Some(millis) = retry_ms(refusal) {
        response
            .insert_header((RETRY, millis.to_string()))
            .insert_header((http::RETRY_AFTER, millis.div_ceil(1000).to_string()));
    }
    if let Some(ticket) = &refusal.ticket {
        response.insert_header((TICKET, ticket.as_str()));
    }
    response
        .content_type("application/json")
        .body(error_json(refusal))
}

/// Builds the response of a reply; `buffered` is its body if that has been buffered.
pub fn build(
    reply: Reply,
    buffered: Option<Bytes>,
    request: &str,
    instance: &id::Instance,
) -> HttpResponse {
    let mut response = HttpResponse::build(status_code(reply.status));
    for (name, value) in &reply.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response
        .insert_header((REQUEST, request))
        .insert_header((INSTANCE, instance.as_str()))
        .insert_header((TARGET, reply.served.target.as_str()))
        .insert_header((PLACE, reply.served.place.to_string()));
    let is_confirmed = reply.highest == Ending::Complete;
    let Some(bytes) = buffered else {
        let response = stream_body(&mut response, reply);
        return if is_confirmed {
            response
        } else {
            close_delimited(response)
        };
    };
    if is_confirmed {
        response.insert_header((OUTCOME, Outcome::Answered.as_str()));
        return response.body(bytes);
    }
    response.insert_header((OUTCOME, Outcome::Unknown.as_str()));
    let whole = stream::once(async { Ok::<_, Refusal>(bytes) });
    close_delimited(response.streaming(whole))
}

/// Has a response end with its connection, without a length or chunks of its own.
fn close_delimited(response: HttpResponse) -> HttpResponse {
    response.map_body(|head, body| {
        head.no_chunking(true);
        head.set_connection_type(ConnectionType::Close);
        body
    })
}

fn stream_body(response: &mut HttpResponseBuilder, reply: Reply) -> HttpResponse {
    match reply.length {
        Some(length) => response.body(SizedStream::new(length, reply.body)),
        None if reply.events => response.streaming(with_error_event(reply.body)),
        None => response.streaming(reply.body),
    }
}

/// Adds an error event to a broken event stream before the connection is aborted.
///
/// The error itself aborts the connection at once and discards what is not yet written. The task
/// therefore yields once after the error event, to let the connection be flushed.
fn with_error_event(body: Body) -> Body {
    let parts = body.flat_map(|part| match part {
        Ok(bytes) => stream::once(async { Ok(bytes) }).boxed_local(),
        Err(refusal) => {
            let event = format!("event: error\ndata: {}\n\n", error_json(&refusal));
            let abort = async move {
                tokio::task::yield_now().await;
                Err(refusal)
            };
            stream::once(async { Ok(Bytes::from(event)) })
                .chain(stream::once(abort))
                .boxed_local()
        }
    });
    parts.boxed_local()
}

fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

fn retry_ms(refusal: &Refusal) -> Option<u64> {
    let retry = refusal.retry_after?;
    Some(u64::try_from(retry.as_millis()).unwrap_or(u64::MAX))
}
