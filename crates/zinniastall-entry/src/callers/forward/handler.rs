//! One request of another instance, from its arrival to the end of its answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::{sync::mpsc, time::timeout};
use zinniastall_coord::ticket::Address;
use zinniastall_route::outcome::Refusal;
use zinniastall_wire::stream::{Message, Open, Stream};

use super::{credit::Credit, failure, head, open};
use crate::callers::{completion::Completion, pipeline, worker::Worker};

/// Longest part of an answer in one message, in bytes.
const MAX_PART_BYTES: usize = 32 * 1024;

/// Serves a request and sends its answer over the link on which it came.
pub(super) async fn handle(
    worker: Rc<Worker>,
    sender: Address,
    open: Open,
    credit: Rc<Credit>,
    out: mpsc::Sender<Message>,
) {
    let _progress = worker.service.progress.start();
    let stream = open.stream;
    let mut completion = Completion::forwarded(worker.recorder.clone(), &sender.instance);
    let end = match run(&worker, &sender, open, &mut completion).await {
        Ok(answer) => relay(stream, answer, &credit, &out, &mut completion).await,
        Err(refusal) => Err(refusal),
    };
    let last = match end {
        Ok(length) => {
            completion.answered();
            Message::End { stream, length }
        }
        Err(refusal) => {
            completion.refused(&refusal);
            let failure = failure(&refusal);
            Message::Failed { stream, failure }
        }
    };
    // A broken link tells its other end by itself.
    drop(out.send(last).await);
    // The rest of the answer may be on its way over a slow link for seconds. A shutdown that did not
    // wait for it would close the link under it, and a request in progress would be cut after all.
    credit.delivered().await;
}

async fn run(
    worker: &Rc<Worker>,
    sender: &Address,
    mut open: Open,
    completion: &mut Completion,
) -> Result<pipeline::Answer, Refusal> {
    completion.opened(&open);
    await_revision(worker, &mut open).await;
    let ticket = open.ticket.clone();
    let call = open::unpack(worker, sender, open).map_err(|refusal| {
        let tickets = &worker.service.tickets;
        tickets.rejected_early(refusal, ticket.as_deref(), Some(sender))
    })?;
    completion.identified(&call.request);
    pipeline::serve_forwarded(worker, call, sender).await
}

/// Waits, within bounds, for the configuration under which the sender judged a request.
///
/// A request may arrive before the change that permits it: judged at once, a client that was added a
/// moment ago would be told that it is unknown, although its own region has accepted it. The change
/// is on its way here already, so waiting costs less than fetching. If it does not come in time, the
/// request is judged by what is held, and the stricter of both revisions wins.
async fn await_revision(worker: &Worker, open: &mut Open) {
    let board = &worker.service.board;
    if board.view().revision() >= open.revision {
        return;
    }
    let started = Instant::now();
    let left = Duration::from_millis(open.left_ms);
    let bound = worker.service.max_revision_wait.min(left / 2);
    // Reached or not, the request is judged now.
    let _ = timeout(bound, board.reach(open.revision)).await;
    let waited = started.elapsed();
    open.left_ms = millis(left.saturating_sub(waited));
    let recorder = &worker.recorder;
    recorder.time("forwarded.behind", &open.client, &open.class, waited);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

async fn relay(
    stream: Stream,
    (mut reply, buffered): pipeline::Answer,
    credit: &Credit,
    out: &mpsc::Sender<Message>,
    completion: &mut Completion,
) -> Result<u64, Refusal> {
    completion.served(&reply.served.target);
    let head = Message::Head {
        stream,
        status: reply.status,
        headers: head::headers(&reply, buffered.as_ref().map(Bytes::len)),
    };
    drop(out.send(head).await);
    let mut offset = 0;
    if let Some(bytes) = buffered {
        return Ok(send(stream, offset, bytes, credit, out).await);
    }
    while let Some(part) = reply.body.next().await {
        completion.first_part();
        offset = send(stream, offset, part?, credit, out).await;
    }
    Ok(offset)
}

/// Sends a part as far as credit permits, and returns the offset after it.
async fn send(
    stream: Stream,
    mut offset: u64,
    mut bytes: Bytes,
    credit: &Credit,
    out: &mpsc::Sender<Message>,
) -> u64 {
    while !bytes.is_empty() {
        let wanted = bytes.len().min(MAX_PART_BYTES) as u64;
        let taken = credit.take(wanted).await;
        let part = bytes.split_to(usize::try_from(taken).unwrap_or(bytes.len()));
        let message = Message::Data {
            stream,
            offset,
            bytes: part.to_vec(),
        };
        offset += taken;
        drop(out.send(message).await);
    }
    offset
}
