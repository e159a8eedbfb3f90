//! The path of a request from its ticket to its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::timeout_at;
use zinniastall_coord::ticket::Address;
use zinniastall_route::outcome::{Reason, Refusal};

use super::{
    attempts::dispatch,
    call::Call,
    forward, relay,
    reply::Reply,
    ticket::{Action, Record, Writer},
    worker::Worker,
};

/// When to come back to an instance that was chosen elsewhere but cannot be reached.
pub(super) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An answer, and its body if that was gathered.
pub type Answer = (Reply, Option<Bytes>);

/// Serves a caller's request.
///
/// # Errors
///
/// The end of a request for which no whole answer arrived and nothing can be relayed.
pub async fn serve(worker: &Rc<Worker>, call: Call) -> Result<Answer, Refusal> {
    let draining = worker.view().draining;
    if call.request.idempotent {
        return serve_idempotent(worker, call, draining).await;
    }
    let action = worker.service.tickets.admit(&call, draining);
    let answer = match action {
        Ok(Action::Issuer(issuer)) => forward_to_issuer(worker, &call, &issuer).await,
        Ok(action) => serve_once(worker, call, action).await,
        Err(refusal) => Err(refusal),
    };
    answer.map_err(|refusal| worker.service.with_ticket(refusal))
}

/// Serves a request that another instance sent.
///
/// # Errors
///
/// See [`serve`].
pub async fn serve_forwarded(
    worker: &Rc<Worker>,
    call: Call,
    sender: &Address,
) -> Result<Answer, Refusal> {
    let draining = worker.view().draining;
    if call.request.idempotent {
        return serve_idempotent(worker, call, draining).await;
    }
    let action = worker
        .service
        .tickets
        .admit_forwarded(&call, sender, draining)?;
    serve_once(worker, call, action).await
}

/// Serves a request that may be repeated, unless the instance takes no more.
async fn serve_idempotent(
    worker: &Rc<Worker>,
    call: Call,
    draining: bool,
) -> Result<Answer, Refusal> {
    if draining {
        return Err(Refusal::not_run(Reason::Draining).retry(UNREACHABLE_RETRY_AFTER));
    }
    dispatch(worker, &Rc::new(call)).await
}

/// Runs a ticket's request in a task of its own, or joins it.
async fn serve_once(worker: &Rc<Worker>, call: Call, action: Action) -> Result<Answer, Refusal> {
    let (record, owner) = match action {
        Action::Run(record) => (record, true),
        Action::Join(record) => (record, false),
        Action::Issuer(_) => return Err(Refusal::unknown(Reason::IssuerGone)),
    };
    let deadline = call.request.deadline;
    if owner {
        // The task outlives the caller's connection: when the answer is lost on its way, the
        // resend finds it here.
        let task = run_recorded(Rc::clone(worker), Rc::new(call), Writer(record.clone()));
        actix::spawn(task);
    }
    let read = async {
        let mut reply = record.read(owner).await?;
        let buffered = relay::buffer(&mut reply).await?;
        Ok((reply, buffered))
    };
    // A resend waits for its own deadline only; the run goes on.
    let answer = timeout_at(deadline.into(), read).await;
    answer.map_err(|_| Refusal::unknown(Reason::Deadline))?
}

async fn run_recorded(worker: Rc<Worker>, call: Rc<Call>, writer: Writer) {
    let progress = worker.service.progress.start();
    let end = match dispatch(&worker, &call).await {
        Ok(answer) => record_answer(answer, &writer.0).await,
        Err(refusal) => Err(refusal),
    };
    writer.0.end(end);
    worker.service.tickets.enforce_kept_limit();
    drop(progress);
}

async fn record_answer((mut reply, buffered): Answer, record: &Record) -> Result<(), Refusal> {
    record.set_head(&reply);
    if let Some(bytes) = buffered {
        record.push(bytes).await;
        return Ok(());
    }
    while let Some(part) = reply.body.next().await {
        record.push(part?).await;
    }
    Ok(())
}

/// Passes a resend to the instance that issued its ticket.
async fn forward_to_issuer(
    worker: &Rc<Worker>,
    call: &Call,
    issuer: &Address,
) -> Result<Answer, Refusal> {
    let gone = || Refusal::unknown(Reason::IssuerGone);
    let view = worker.view();
    let peer = view.peers.get(&issuer.instance).ok_or_else(gone)?;
    // Another run has lost the marks of the one that issued it.
    if peer.incarnation != issuer.incarnation || peer.instance == view.instance {
        return Err(gone());
    }
    worker
        .check_again(&call.request, &peer.place)
        .map_err(Refusal::unknown)?;
    let hops = zinniastall_route::hops::check_next(&call.request.hops, &peer.place);
    let hops = hops.map_err(Refusal::unknown)?;
    let asked = forward::send(worker, call, peer, hops).await;
    let mut reply = asked.map_err(|refusal| match refusal.reason {
        // The issuer knows whether it ran.
        Reason::Forwarded(_) => refusal,
        // It may have run there earlier, although this time nothing got through.
        Reason::Unreachable => gone(),
        reason => Refusal::unknown(reason),
    })?;
    let buffered = relay::buffer(&mut reply).await?;
    Ok((reply, buffered))
}
