//! Serves chat completions.

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use serde_json::json;
use tokio::time::Instant;
use zinniastall_model::header;

use super::{Engine, stream};
use crate::{
    answer::Chat,
    failure::{Action, Point},
    ledger::{Entry, Run, unix_ms},
    slots::Slot,
    unframed::unframed,
};

/// Time after which a refused request may be retried.
const RETRY_AFTER_MS: u64 = 100;

/// A running request; dropping it frees its slot and ends its run in the ledger.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) engine: Arc<Engine>,
    pub(super) chat: Chat,
    pub(super) request: String,
    pub(super) offset: usize,
    pub(super) uncached_blocks: usize,
    /// When the latest token was due.
    pub(super) token_due: Instant,
    pub(super) run: Run,
    pub(super) _slot: Slot,
}

/// Serves one chat completion.
pub(super) async fn complete(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let is_unframed = engine.settings.unframed;
    let answer = answer(engine, request, body).await;
    if is_unframed {
        unframed(answer)
    } else {
        answer
    }
}

async fn answer(engine: web::Data<Engine>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(chat) = Chat::parse(&body) else {
        return HttpResponse::BadRequest().json(error_body("malformed", "not a chat request"));
    };
    if !engine.serves_model(&chat.model) {
        return refuse(&engine, &error_body("not-held", "model not held"));
    }
    let required = request.headers().get(header::SOFTWARE);
    let own = engine.settings.announce.software.as_deref();
    if required.is_some_and(|required| required.to_str().ok() != own) {
        return refuse(&engine, &error_body("other-software", "not this software"));
    }
    let Some(slot) = engine.slots.acquire().await else {
        return refuse(
            &engine,
            &error_body("full", "no slot and no place in the queue"),
        );
    };
    let engine = engine.into_inner();
    let header_text = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let offset = header_text(header::OFFSET).parse().unwrap_or(0);
    let (cached, blocks) = engine.cache_prompt(&chat.prompt);
    let run = engine.ledger.start(Entry {
        request: header_text(header::REQUEST).to_owned(),
        client: header_text(header::CLIENT).to_owned(),
        class: header_text(header::CLASS).to_owned(),
        body_digest: blake3::hash(&body).to_hex().to_string(),
        started: unix_ms(),
        finished: None,
        cancelled: false,
        offset,
        cached,
        blocks,
        call: "POST /v1/chat/completions".to_owned(),
    });
    let job = Job {
        request: header_text(header::REQUEST).to_owned(),
        engine,
        chat,
        offset,
        uncached_blocks: blocks - cached,
        token_due: Instant::now(),
        run,
        _slot: slot,
    };
    match job
        .engine
        .failure
        .trigger(Point::First, 0, &job.chat.prompt)
    {
        None => {}
        Some(Action::Hang) => std::future::pending().await,
        Some(Action::Cut | Action::End | Action::Tear) => return stream::cut_connection(),
        Some(Action::Error | Action::Die) => {
            return HttpResponse::InternalServerError().json(error_body("failed", "engine failed"));
        }
    }
    if job.chat.stream {
        stream::respond(job)
    } else {
        respond_whole(job).await
    }
}

async fn respond_whole(mut job: Job) -> HttpResponse {
    let tokens = u32::try_from(job.chat.tokens).unwrap_or(u32::MAX);
    let first = job.engine.first_token_latency(job.uncached_blocks);
    let total = first
        + job
            .engine
            .settings
            .engine
            .inter_token_latency
            .saturating_mul(tokens);
    if !total.is_zero() {
        tokio::time::sleep(total).await;
    }
    match job.engine.failure.trigger(Point::End, 0, &job.chat.prompt) {
        None => {}
        Some(Action::Hang) => std::future::pending().await,
        Some(Action::End | Action::Tear) => {
            let answer = job.chat.completion(&job.request).to_string();
            let half = answer[..answer.len() / 2].to_owned();
            return HttpResponse::Ok()
                .content_type("application/json")
                .body(half);
        }
        Some(_) => return stream::cut_connection(),
    }
    let answer = job.chat.completion(&job.request);
    job.run.finish();
    HttpResponse::Ok().json(answer)
}

/// Refuses a request before it has run.
fn refuse(engine: &Engine, body: &serde_json::Value) -> HttpResponse {
    tracing::debug!(event = "refused", busy = engine.slots.in_flight());
    HttpResponse::ServiceUnavailable()
        .insert_header((header::OUTCOME, "not-run"))
        .insert_header((header::RETRY, RETRY_AFTER_MS.to_string()))
        .json(body)
}

pub(super) fn error_body(kind: &str, message: &str) -> serde_json::Value {
    json!({"error": {"type": kind, "message": message}})
}
