//! Request pipeline from the ticket check to the response.

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

/// Retry hint when this instance is draining or the chosen one cannot be reached.
pub(super) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A response, and its body if that has been buffered.
pub type Answer = (Reply, Option<Bytes>);

/// Serves a request from a caller.
///
/// # Errors
///
/// Returns a refusal if no complete response arrived and none can be relayed.
pub async fn serve(worker: &Rc<Worker>, call: Rc<Call>) -> Result<Answer, Refusal> {
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

/// Serves a request that another instance forwarded.
///
/// # Errors
///
/// See [`serve`].
pub async fn serve_forwarded(
    worker: &Rc<Worker>,
    call: Rc<Call>,
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

/// Serves an idempotent request, unless the instance is draining.
async fn serve_idempotent(
    worker: &Rc<Worker>,
    call: Rc<Call>,
    draining: bool,
) -> Result<Answer, Refusal> {
    if draining {
        return Err(Refusal::not_run(Reason::Draining).retry_after(UNREACHABLE_RETRY_AFTER));
    }
    dispatch(worker, &call).await
}

/// Runs the request of a ticket in a separate task, or joins a run that has started.
async fn serve_once(
    worker: &Rc<Worker>,
    call: Rc<Call>,
    action: Action,
) -> Result<Answer, Refusal> {
    let (record, owner) = match action {
        Action::Run(record) => (record, true),
        Action::Join(record) => (record, false),
        Action::Issuer(_) => return Err(Refusal::unknown(Reason::IssuerGone)),
    };
    let deadline = call.request.deadline;
    if owner {
        // The task outlives the caller's connection: if the response is lost on its way, a retry of
        // the caller finds it here.
        let task = run_recorded(Rc::clone(worker), call, Writer(record.clone()));
        actix::spawn(task);
    }
    let read = async {
        let mut reply = record.read(owner).await?;
        let buffered = relay::buffer(&mut reply).await?;
        Ok((reply, buffered))
    };
    // A retry waits only until its own deadline; the run continues.
    let answer = timeout_at(deadline.into(), read).await;
    answer.map_err(|_| Refusal::unknown(Reason::DeadlinePassed))?
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

/// Forwards a retry to the instance that issued its ticket.
async fn forward_to_issuer(
    worker: &Rc<Worker>,
    call: &Call,
    issuer: &Address,
) -> Result<Answer, Refusal> {
    let gone = || Refusal::unknown(Reason::IssuerGone);
    let view = worker.view();
    let peer = view.peers.get(&issuer.instance).ok_or_else(gone)?;
    // A different incarnation has lost the record of which tickets were used.
    if peer.incarnation != issuer.incarnation || peer.instance == view.instance {
        return Err(gone());
    }
    worker
        .check_again(&call.request, &peer.place)
        .map_err(Refusal::unknown)?;
    let hops = zinniastall_route::hops::check_next(&call.request.hops, &peer.place);
    let hops = hops.map_err(Refusal::unknown)?;
    let asked = forward::send(worker, call, peer, forward::Route::to(hops)).await;
    let mut reply = asked.map_err(|refusal| match refusal.reason {
        // The issuer knows whether the request ran.
        Reason::ForwardedFailed(_) => worker.conclude(call, refusal),
        // The request may have run there earlier, although nothing got through this time.
        Reason::TargetUnreachable => gone(),
        reason => Refusal::unknown(reason),
    })?;
    let buffered = relay::buffer(&mut reply).await?;
    Ok((reply, buffered))
}
