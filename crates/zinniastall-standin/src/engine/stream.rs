//! Streamed answers, as server-sent events.

use std::time::Duration;

use actix_web::{HttpResponse, body::SizedStream, http::header::CONTENT_TYPE};
use bytes::Bytes;
use futures_util::stream;
use zinniastall_model::header::OFFSET;

use super::chat::Job;
use crate::failure::{Action, Point};

/// Time within which the HTTP server sends the events that it has buffered.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Error that ends a streamed answer before its end.
#[derive(Debug, thiserror::Error)]
#[error("connection cut by an injected failure")]
pub(super) struct Cut;

/// What a stream sends next.
enum Step {
    Event(usize),
    Done,
    Ended,
}

/// Answers with the events of a job, starting at its offset.
pub(super) fn respond(job: Job) -> HttpResponse {
    let first = Step::Event(job.offset);
    let offset = job.offset.to_string();
    let events = stream::unfold((job, first), |(mut job, step)| async move {
        match step {
            Step::Event(index) => next_event(job, index).await,
            Step::Done => {
                job.run.finish();
                Some((
                    Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                    (job, Step::Ended),
                ))
            }
            Step::Ended => None,
        }
    });
    HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, "text/event-stream"))
        .insert_header((OFFSET, offset))
        .streaming(events)
}

async fn next_event(mut job: Job, index: usize) -> Option<(Result<Bytes, Cut>, (Job, Step))> {
    let wait = match index {
        _ if index == job.offset => job.engine.first_token_latency(job.uncached_blocks),
        _ => job.engine.settings.engine.inter_token_latency,
    };
    if !wait.is_zero() && index < job.chat.tokens.max(1) {
        // Timers fire up to a millisecond late; a wait from token to token would accumulate that.
        job.token_due += wait;
        tokio::time::sleep_until(job.token_due).await;
    }
    if job.engine.failure.is_armed() {
        // A failing body discards what the server has not sent yet; the events before the point of
        // failure must be sent first.
        tokio::time::sleep(FLUSH_DELAY).await;
    }
    let sent = index - job.offset;
    let last = index >= job.chat.tokens;
    let action = job
        .engine
        .failure
        .trigger(Point::Events, sent, &job.chat.prompt);
    let action = action.or_else(|| {
        last.then(|| job.engine.failure.trigger(Point::End, 0, &job.chat.prompt))
            .flatten()
    });
    match action {
        None => {}
        Some(Action::Hang) => std::future::pending().await,
        Some(Action::End) => return None,
        Some(Action::Tear) => {
            let event = job.chat.chunk(&job.request, index).to_string();
            let half = format!("data: {}", &event[..event.len() / 2]);
            return Some((Ok(Bytes::from(half)), (job, Step::Ended)));
        }
        Some(_) => return Some((Err(Cut), (job, Step::Ended))),
    }
    let mut data = job.chat.chunk(&job.request, index);
    if let Some(software) = &job.engine.settings.announce.software {
        data["system_fingerprint"] = software.as_str().into();
    }
    let next = if last {
        Step::Done
    } else {
        Step::Event(index + 1)
    };
    Some((Ok(Bytes::from(format!("data: {data}\n\n"))), (job, next)))
}

/// Cuts the connection: the answer announces a body of one byte that is never sent.
pub(super) fn cut_connection() -> HttpResponse {
    let broken = stream::once(std::future::ready(Err::<Bytes, _>(Cut)));
    HttpResponse::Ok().body(SizedStream::new(1, Box::pin(broken)))
}
