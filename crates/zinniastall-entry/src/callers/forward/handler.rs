//! Handles one forwarded request, from its arrival to the end of its response.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::{sync::mpsc, time::timeout};
use zinniastall_coord::ticket::Address;
use zinniastall_model::fingerprint::Suspect;
use zinniastall_route::outcome::Refusal;
use zinniastall_wire::stream::{self, Message, Open};

use super::{credit::Credit, failure, head, open};
use crate::callers::{call::Call, completion::Completion, pipeline, worker::Worker};

/// Maximum size of a response part in one message.
const MAX_PART_BYTES: usize = 32 * 1024;

/// Serves a forwarded request and sends the response over the same link.
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
    let mut call = None;
    let end = match run(&worker, &sender, open, &mut call, &mut completion).await {
        Ok(answer) => {
            let highest = answer.0.highest;
            let length = relay(stream, answer, &credit, &out, &mut completion).await;
            length.map(|length| (length, highest))
        }
        Err(refusal) => Err(refusal),
    };
    let last = match end {
        Ok((length, highest)) => {
            completion.answered(highest);
            Message::End { stream, length }
        }
        Err(refusal) => {
            completion.refused(&refusal);
            let suspects = call.map(|call| worker.suspicions(&call));
            let (suspect, parts) = open::split(suspects.unwrap_or_default());
            Message::Failed {
                stream,
                failure: failure(&refusal),
                suspect,
                parts,
            }
        }
    };
    // If the link is broken, the other end notices by itself.
    drop(out.send(last).await);
    // The rest of the response may take seconds over a slow link. Without waiting for it, a
    // shutdown would close the link and truncate the response.
    credit.delivered().await;
}

async fn run(
    worker: &Rc<Worker>,
    sender: &Address,
    mut open: Open,
    unpacked: &mut Option<Rc<Call>>,
    completion: &mut Completion,
) -> Result<pipeline::Answer, Refusal> {
    completion.opened(&open);
    let reported: Vec<Suspect> = open.suspect.iter().chain(&open.parts).cloned().collect();
    if !reported.is_empty() {
        let quarantine = worker.service.shared_view.quarantine();
        quarantine.hear(&sender.instance, &reported, None);
    }
    await_revision(worker, &mut open).await;
    let ticket = open.ticket.clone();
    let call = open::unpack(worker, sender, open).map_err(|refusal| {
        let tickets = &worker.service.tickets;
        tickets.rejected_early(refusal, ticket.as_deref(), Some(sender))
    })?;
    completion.identified(&call.request);
    let call = Rc::clone(unpacked.insert(Rc::new(call)));
    let answer = pipeline::serve_forwarded(worker, call, sender);
    worker.service.until_requests_end(answer).await
}

/// Waits, up to a limit, for the configuration revision that the sender used.
///
/// A request may arrive before the change that permits it. If it were judged at once, a client that
/// was just added would be reported as unknown, although the caller's region has accepted it. The
/// change is already on its way, so waiting costs less than fetching it. If it does not arrive in
/// time, the request is judged by the current configuration, and the stricter of both revisions
/// applies.
async fn await_revision(worker: &Worker, open: &mut Open) {
    let shared_view = &worker.service.shared_view;
    if shared_view.view().revision() >= open.revision {
        return;
    }
    let started = Instant::now();
    let left = Duration::from_millis(open.left_ms);
    let bound = worker.service.max_revision_wait.min(left / 2);
    // Whether or not the revision arrived, the request is judged now.
    let _ = timeout(bound, shared_view.reach(open.revision)).await;
    let waited = started.elapsed();
    open.left_ms = millis(left.saturating_sub(waited));
    let recorder = &worker.recorder;
    recorder.time("forwarded.behind", &open.client, &open.class, waited);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

async fn relay(
    stream: stream::Id,
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
        highest: reply.highest,
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

/// Sends a part as credit permits, and returns the offset after it.
async fn send(
    stream: stream::Id,
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
