//! First stage of the pipeline: reads and validates a request within size and time limits.

use std::{
    cell::OnceCell,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::{HttpRequest, http::header as http, web};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Deserialize;
use zinniastall_model::{
    header::{CLASS, DEADLINE, IDEMPOTENT, LAST_EVENT_ID, REQUEST, RESUMES, TICKET},
    id,
    object::Subject,
    state::State,
};
use zinniastall_route::{
    identify::Index,
    outcome::{Reason, Refusal},
    prefix,
    request::Request,
    residency,
};

use super::call::{Call, is_forwarded};
use crate::{settings::Limits, view::View};

/// Class of a request that names none.
pub const DEFAULT_CLASS: &str = "interactive";
/// Maximum length of a class or request id.
const MAX_NAME_BYTES: usize = 64;
/// Maximum deadline that a caller may request.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The part of a chat completion request that routing needs.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

/// Reads the request body within the size and time limits.
///
/// # Errors
///
/// Returns [`Reason::BodyTooLarge`] or [`Reason::ArrivalTimeout`] if a limit is exceeded, and
/// [`Reason::MalformedBody`] if the caller disconnected.
pub async fn read_body(payload: web::Payload, limits: &Limits) -> Result<Bytes, Refusal> {
    let reading = collect(payload, limits.body_bytes);
    let body = tokio::time::timeout(limits.arrival, reading).await;
    body.unwrap_or(Err(Reason::ArrivalTimeout))
        .map_err(Refusal::not_run)
}

async fn collect(mut payload: web::Payload, limit: usize) -> Result<Bytes, Reason> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| Reason::MalformedBody("it is incomplete".to_owned()))?;
        if body.len() + part.len() > limit {
            return Err(Reason::BodyTooLarge(limit));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Identifies a request and builds the [`Call`] that the rest of the pipeline processes.
///
/// # Errors
///
/// Returns a refusal if the request is invalid or residency rules permit no region.
pub fn build_call(
    http: &HttpRequest,
    body: Bytes,
    view: &View,
    index: &Index,
    limits: &Limits,
) -> Result<Call, Refusal> {
    identify(http, body, view, index, limits).map_err(Refusal::not_run)
}

fn identify(
    http: &HttpRequest,
    body: Bytes,
    view: &View,
    index: &Index,
    limits: &Limits,
) -> Result<Call, Reason> {
    let client = index.by_key(bearer_key(http)?)?;
    let chat = index.needs_model(http.path()).then(|| parse(&body));
    let chat = chat.transpose()?;
    let route = index.route(http.path(), chat.as_ref().map(|chat| chat.model.as_str()))?;
    let regions = residency::permitted(index.rules(&client.id), &route.subject, &view.place);
    residency::check(&regions)?;
    check_begins(http, &route.subject)?;
    let ticket = header_text(http, TICKET)?.map(ToOwned::to_owned);
    let idempotent = flag(http, IDEMPOTENT)?.unwrap_or(route.idempotent);
    let request = Request {
        id: request_id(http)?,
        client: client.id.clone(),
        weight: client.weight,
        class: class(http)?,
        events: matches!(route.subject, Subject::Model(_)),
        subject: route.subject.clone(),
        // A ticket asks for at-most-once execution, whatever the route permits.
        idempotent: idempotent && ticket.is_none(),
        ticket,
        deadline: Instant::now() + deadline(http, limits)?,
        prefixes: chat.as_ref().map(prompt_prefixes).unwrap_or_default(),
        version: index.version(&route.subject).map(ToOwned::to_owned),
        regions,
        hops: vec![view.place.clone()],
        detoured: false,
        revision: index.revision(),
    };
    Ok(Call {
        request,
        method: http.method().to_string(),
        path: path(http),
        headers: headers(http),
        body,
        subjects: OnceCell::new(),
    })
}

/// Checks that a request takes up no stream: no instance of this path keeps which software version
/// began it.
///
/// What a plain service means by the id of the last event is its own matter.
fn check_begins(http: &HttpRequest, subject: &Subject) -> Result<(), Reason> {
    let has = |name| {
        let value = http.headers().get(name);
        value.is_some_and(|value| !value.is_empty())
    };
    let takes_up = has(RESUMES) || (matches!(subject, Subject::Model(_)) && has(LAST_EVENT_ID));
    if takes_up {
        return Err(Reason::VersionUnknown);
    }
    Ok(())
}

/// Returns the bearer key that identifies the client.
///
/// # Errors
///
/// Returns [`Reason::NoKey`] if there is none.
pub fn bearer_key(http: &HttpRequest) -> Result<&str, Reason> {
    let value = http.headers().get(http::AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.map(str::trim).ok_or(Reason::NoKey)
}

/// Returns the trimmed text of a header, if present.
///
/// # Errors
///
/// Returns [`Reason::MalformedHeader`] if the value is not visible ASCII.
pub fn header_text<'a>(
    http: &'a HttpRequest,
    name: &'static str,
) -> Result<Option<&'a str>, Reason> {
    let Some(value) = http.headers().get(name) else {
        return Ok(None);
    };
    let value = value.to_str().map_err(|_| Reason::MalformedHeader(name))?;
    Ok(Some(value.trim()))
}

/// Returns the id under which a request is logged, or a generated one if the caller sent none.
///
/// # Errors
///
/// Returns [`Reason::MalformedHeader`] if the id is malformed.
pub fn request_id(http: &HttpRequest) -> Result<String, Reason> {
    match header_text(http, REQUEST)? {
        Some(id) if is_valid_name(id) => Ok(id.to_owned()),
        Some(_) => Err(Reason::MalformedHeader(REQUEST)),
        None => Ok(format!("{:016x}", rand::random::<u64>())),
    }
}

fn parse(body: &[u8]) -> Result<ChatRequest, Reason> {
    serde_json::from_slice(body).map_err(|error| Reason::MalformedBody(error.to_string()))
}

/// Returns the prompt prefix digests of a body that another instance forwarded.
pub fn prefixes(subject: &Subject, body: &[u8]) -> Vec<u64> {
    if matches!(subject, Subject::Service(_)) {
        return Vec::new();
    }
    parse(body)
        .as_ref()
        .map(prompt_prefixes)
        .unwrap_or_default()
}

/// Returns the contents of a chat's messages, in order.
pub fn messages(subject: &Subject, body: &[u8]) -> Vec<String> {
    if matches!(subject, Subject::Service(_)) {
        return Vec::new();
    }
    let messages = parse(body).map(|chat| chat.messages).unwrap_or_default();
    let contents = messages.into_iter().map(|message| message.content);
    let text = |content| match content {
        serde_json::Value::String(text) => text,
        content => content.to_string(),
    };
    contents.map(text).collect()
}

fn prompt_prefixes(chat: &ChatRequest) -> Vec<u64> {
    let texts: Vec<&str> = chat
        .messages
        .iter()
        .filter_map(|message| message.content.as_str())
        .collect();
    prefix::chain(&texts.join("\n"))
}

fn class(http: &HttpRequest) -> Result<id::Class, Reason> {
    match header_text(http, CLASS)? {
        Some(class) if is_valid_name(class) => Ok(class.to_owned()),
        Some(_) => Err(Reason::MalformedHeader(CLASS)),
        None => Ok(DEFAULT_CLASS.to_owned()),
    }
}

fn deadline(http: &HttpRequest, limits: &Limits) -> Result<Duration, Reason> {
    let Some(value) = header_text(http, DEADLINE)? else {
        return Ok(limits.deadline);
    };
    match value.parse() {
        Ok(millis @ 1..=MAX_DEADLINE_MS) => Ok(Duration::from_millis(millis)),
        _ => Err(Reason::MalformedHeader(DEADLINE)),
    }
}

fn flag(http: &HttpRequest, name: &'static str) -> Result<Option<bool>, Reason> {
    match header_text(http, name)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Reason::MalformedHeader(name)),
    }
}

fn path(http: &HttpRequest) -> String {
    let uri = http.uri();
    uri.path_and_query()
        .map_or_else(|| uri.path().to_owned(), ToString::to_string)
}

fn headers(http: &HttpRequest) -> Vec<(String, String)> {
    let pairs = http.headers().iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        is_forwarded(name.as_str()).then(|| (name.as_str().to_owned(), value.to_owned()))
    });
    pairs.collect()
}

fn is_valid_name(text: &str) -> bool {
    let permitted = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(permitted)
}

/// Returns the configuration that requests are validated against.
///
/// # Errors
///
/// Returns [`Reason::NotConfigured`] until the instance holds a configuration that lists it.
pub fn configured(view: &View) -> Result<&Arc<State>, Refusal> {
    let retry = Duration::from_secs(1);
    view.state
        .as_ref()
        .ok_or_else(|| Refusal::not_run(Reason::NotConfigured).retry_after(retry))
}
