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
    ledger::{Entry, Run, now},
    slots::Slot,
};

/// When to come back to a full engine, in milliseconds.
const RETRY: u64 = 100;

/// One request as it runs: its slot and its line of the ledger end with it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) engine: Arc<Engine>,
    pub(super) chat: Chat,
    pub(super) request: String,
    pub(super) offset: usize,
    pub(super) uncached: usize,
    /// When the last token was due.
    pub(super) due: Instant,
    pub(super) run: Run,
    pub(super) _slot: Slot,
}

/// Serves one chat completion.
pub(super) async fn complete(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let Some(chat) = Chat::parse(&body) else {
        return HttpResponse::BadRequest().json(error("malformed", "not a chat request"));
    };
    if !engine.holds(&chat.model) {
        return refuse(&engine, &error("not-held", "model not held"));
    }
    let Some(slot) = engine.slots.take().await else {
        return refuse(&engine, &error("full", "no slot and no place in the queue"));
    };
    let engine = engine.into_inner();
    let text = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let offset = text(header::OFFSET).parse().unwrap_or(0);
    let (cached, blocks) = engine.warm(&chat.prompt);
    let run = engine.ledger.start(Entry {
        request: text(header::REQUEST).to_owned(),
        client: text(header::CLIENT).to_owned(),
        class: text(header::CLASS).to_owned(),
        body_digest: blake3::hash(&body).to_hex().to_string(),
        started: now(),
        finished: None,
        cancelled: false,
        offset,
        cached,
        blocks,
        call: "POST /v1/chat/completions".to_owned(),
    });
    let job = Job {
        request: text(header::REQUEST).to_owned(),
        engine,
        chat,
        offset,
        uncached: blocks - cached,
        due: Instant::now(),
        run,
        _slot: slot,
    };
    match job.engine.failure.meet(Point::First, 0) {
        None => {}
        Some(Action::Hang) => std::future::pending().await,
        Some(Action::Cut) => return stream::cut(),
        Some(Action::Error | Action::Die) => {
            return HttpResponse::InternalServerError().json(error("failed", "engine failed"));
        }
    }
    if job.chat.stream {
        stream::answer(job)
    } else {
        whole(job).await
    }
}

async fn whole(mut job: Job) -> HttpResponse {
    let tokens = u32::try_from(job.chat.tokens).unwrap_or(u32::MAX);
    let first = job.engine.first(job.uncached);
    let all = first + job.engine.settings.engine.token.saturating_mul(tokens);
    if !all.is_zero() {
        tokio::time::sleep(all).await;
    }
    match job.engine.failure.meet(Point::End, 0) {
        None => {}
        Some(Action::Hang) => std::future::pending().await,
        Some(_) => return stream::cut(),
    }
    let answer = job.chat.whole(&job.request);
    job.run.finish();
    HttpResponse::Ok().json(answer)
}

/// Refuses a request that did not run.
fn refuse(engine: &Engine, body: &serde_json::Value) -> HttpResponse {
    tracing::debug!(event = "refused", busy = engine.slots.busy());
    HttpResponse::ServiceUnavailable()
        .insert_header((header::OUTCOME, "not-run"))
        .insert_header((header::RETRY, RETRY.to_string()))
        .json(body)
}

pub(super) fn error(kind: &str, message: &str) -> serde_json::Value {
    json!({"error": {"type": kind, "message": message}})
}
