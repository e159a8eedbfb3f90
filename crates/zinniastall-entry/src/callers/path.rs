//! The path of a request from its ticket to its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::timeout_at;
use zinniastall_coord::ticket::Address;
use zinniastall_route::outcome::{Reason, Refusal};

use super::{
    attempts::dispatch,
    forward,
    parcel::Parcel,
    relay,
    reply::Reply,
    ticket::{Pass, Record, Writer},
    worker::Worker,
};

/// When to come back to an instance that was chosen elsewhere but cannot be reached.
pub(super) const UNREACHABLE: Duration = Duration::from_millis(500);

/// An answer, and its body if that was gathered.
pub type Answer = (Reply, Option<Bytes>);

/// Serves a caller's request.
///
/// # Errors
///
/// The end of a request for which no whole answer arrived and nothing can be relayed.
pub async fn serve(worker: &Rc<Worker>, parcel: Parcel) -> Result<Answer, Refusal> {
    let draining = worker.view().draining;
    if parcel.request.idempotent {
        return any_time(worker, parcel, draining).await;
    }
    let pass = worker.service.tickets.admit(&parcel, draining);
    let answer = match pass {
        Ok(Pass::Issuer(issuer)) => ask_issuer(worker, &parcel, &issuer).await,
        Ok(pass) => once(worker, parcel, pass).await,
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
    parcel: Parcel,
    sender: &Address,
) -> Result<Answer, Refusal> {
    let draining = worker.view().draining;
    if parcel.request.idempotent {
        return any_time(worker, parcel, draining).await;
    }
    let pass = worker
        .service
        .tickets
        .admit_forwarded(&parcel, sender, draining)?;
    once(worker, parcel, pass).await
}

/// Serves a request that may be repeated, unless the instance takes no more.
async fn any_time(worker: &Rc<Worker>, parcel: Parcel, draining: bool) -> Result<Answer, Refusal> {
    if draining {
        return Err(Refusal::not_run(Reason::Draining).retry(UNREACHABLE));
    }
    dispatch(worker, &Rc::new(parcel)).await
}

/// Runs a ticket's request in a task of its own, or joins it.
async fn once(worker: &Rc<Worker>, parcel: Parcel, pass: Pass) -> Result<Answer, Refusal> {
    let (record, owner) = match pass {
        Pass::Run(record) => (record, true),
        Pass::Join(record) => (record, false),
        Pass::Issuer(_) => return Err(Refusal::unknown(Reason::IssuerGone)),
    };
    let deadline = parcel.request.deadline;
    if owner {
        // The task outlives the caller's connection: when the answer is lost on its way, the
        // resend finds it here.
        let run = run(Rc::clone(worker), Rc::new(parcel), Writer(record.clone()));
        actix::spawn(run);
    }
    let read = async {
        let mut reply = record.read(owner).await?;
        let whole = relay::gather(&mut reply).await?;
        Ok((reply, whole))
    };
    // A resend waits for its own deadline only; the run goes on.
    let answer = timeout_at(deadline.into(), read).await;
    answer.map_err(|_| Refusal::unknown(Reason::Deadline))?
}

async fn run(worker: Rc<Worker>, parcel: Rc<Parcel>, writer: Writer) {
    let progress = worker.service.progress.start();
    let end = match dispatch(&worker, &parcel).await {
        Ok(answer) => copy(answer, &writer.0).await,
        Err(refusal) => Err(refusal),
    };
    writer.0.end(end);
    worker.service.tickets.ended();
    drop(progress);
}

async fn copy((mut reply, whole): Answer, record: &Record) -> Result<(), Refusal> {
    record.head(&reply);
    if let Some(bytes) = whole {
        record.part(bytes).await;
        return Ok(());
    }
    while let Some(part) = reply.body.next().await {
        record.part(part?).await;
    }
    Ok(())
}

/// Passes a resend to the instance that issued its ticket.
async fn ask_issuer(
    worker: &Rc<Worker>,
    parcel: &Parcel,
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
        .check_again(&parcel.request, &peer.place)
        .map_err(Refusal::unknown)?;
    let hops = zinniastall_route::hops::check_next(&parcel.request.hops, &peer.place);
    let hops = hops.map_err(Refusal::unknown)?;
    let asked = forward::send(worker, parcel, peer, hops).await;
    let mut reply = asked.map_err(|refusal| match refusal.reason {
        // The issuer knows whether it ran.
        Reason::Forwarded(_) => refusal,
        // It may have run there earlier, although this time nothing got through.
        Reason::Unreachable => gone(),
        reason => Refusal::unknown(reason),
    })?;
    let whole = relay::gather(&mut reply).await?;
    Ok((reply, whole))
}
