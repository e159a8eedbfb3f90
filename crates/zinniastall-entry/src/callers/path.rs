//! The path of a request from admission to relay.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use tokio::time::timeout_at;
use zinniastall_coord::ticket::Address;
use zinniastall_model::id;
use zinniastall_route::{
    dispatch::{self, Next, Progress},
    outcome::{Outcome, Reason, Refusal},
};

use super::{
    admission::{Away, Flight, Verdict},
    forward,
    parcel::Parcel,
    relay,
    reply::{Body, Reply},
    target,
    ticket::{Pass, Record, Writer},
    worker::Worker,
};

/// When to come back to an instance that was chosen elsewhere but cannot be reached.
const UNREACHABLE: Duration = Duration::from_millis(500);

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
        if draining {
            return Err(Refusal::not_run(Reason::Draining).retry(UNREACHABLE));
        }
        return dispatch(worker, &Rc::new(parcel)).await;
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
        if draining {
            return Err(Refusal::not_run(Reason::Draining).retry(UNREACHABLE));
        }
        return dispatch(worker, &Rc::new(parcel)).await;
    }
    let pass = worker
        .service
        .tickets
        .admit_forwarded(&parcel, sender, draining)?;
    once(worker, parcel, pass).await
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

/// Tries targets until one answers or the request has to end.
fn dispatch<'a>(
    worker: &'a Rc<Worker>,
    parcel: &'a Rc<Parcel>,
) -> LocalBoxFuture<'a, Result<Answer, Refusal>> {
    attempts(worker, parcel).boxed_local()
}

async fn attempts(worker: &Rc<Worker>, parcel: &Rc<Parcel>) -> Result<Answer, Refusal> {
    let request = &parcel.request;
    let admission = &worker.service.admission;
    let mut earlier: Option<Refusal> = None;
    let mut tried: Vec<id::Target> = Vec::new();
    let mut made = 0;
    loop {
        let verdict = match admission.admit(request, &tried) {
            Ok(verdict) => verdict,
            // The budget has paid for one more attempt. Where no other target is left, the one that
            // lost a connection may have lost just that.
            Err(refusal) if nobody_else(&refusal, earlier.as_ref(), &tried) => {
                tried.clear();
                continue;
            }
            Err(refusal) => return Err(last(earlier, refusal)),
        };
        let attempt = match verdict {
            Verdict::Here(flight) => attempt(worker, parcel, *flight, &mut tried).await,
            Verdict::Away(away) => send_away(worker, parcel, away).await,
            Verdict::Wait(waiting) => match waiting.turn().await {
                Ok(flight) => attempt(worker, parcel, flight, &mut tried).await,
                Err(refusal) => return Err(last(earlier, refusal)),
            },
        };
        let refusal = match attempt {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        made += 1;
        let progress = Progress {
            attempts: made,
            relayed: false,
            budget: true,
        };
        let next = dispatch::next(request, &refusal, progress, Instant::now());
        let merged = dispatch::merge(earlier.take(), refusal);
        if next == Next::End || !admission.retry() {
            return Err(merged);
        }
        earlier = Some(merged);
    }
}

/// Returns whether only targets are left that have lost this request already.
fn nobody_else(refusal: &Refusal, earlier: Option<&Refusal>, tried: &[id::Target]) -> bool {
    let lost = earlier.is_some_and(|earlier| earlier.outcome == Outcome::Unknown);
    lost && !tried.is_empty() && matches!(refusal.reason, Reason::NoTarget(_))
}

/// Merges the end of a request that found nowhere else to go with that of its attempts.
fn last(earlier: Option<Refusal>, refusal: Refusal) -> Refusal {
    let retry = refusal.retry;
    match earlier {
        Some(earlier) => Refusal {
            retry: retry.or(earlier.retry),
            ..earlier
        },
        None => refusal,
    }
}

async fn attempt(
    worker: &Rc<Worker>,
    parcel: &Rc<Parcel>,
    flight: Flight,
    tried: &mut Vec<id::Target>,
) -> Result<Answer, Refusal> {
    tried.push(flight.target().clone());
    let here = worker.view().place.clone();
    worker
        .check_again(&parcel.request, &here)
        .map_err(Refusal::not_run)?;
    let report = flight.report()?;
    let flight = Rc::new(RefCell::new(flight));
    let failed = |refusal: Refusal| {
        flight.borrow_mut().failed(&refusal);
        refusal
    };
    let mut reply = target::send(&worker.client, &report, parcel, 0)
        .await
        .map_err(failed)?;
    let (events, fault) = (reply.events, reply.status >= 500);
    let stall = worker.service.stall;
    reply.body = relay::bounded(reply.body, events, parcel.request.deadline, stall);
    if events && parcel.request.events {
        reply.body = relay::events(worker, parcel, &flight, reply.body);
    }
    reply.body = holding(reply.body, &flight, fault);
    if events {
        relay::first(&mut reply).await?;
    }
    let whole = relay::gather(&mut reply).await?;
    Ok((reply, whole))
}

async fn send_away(
    worker: &Rc<Worker>,
    parcel: &Parcel,
    mut away: Away,
) -> Result<Answer, Refusal> {
    let refused = |reason| Err(Refusal::not_run(reason).retry(UNREACHABLE));
    worker
        .check_again(&parcel.request, away.place())
        .map_err(Refusal::not_run)?;
    let view = worker.view();
    let Some(peer) = forward::peer_of(&view, away.place()) else {
        return refused(Reason::Unreachable);
    };
    let hops = away.hops().to_vec();
    let sent = forward::send(worker, parcel, peer, hops).await;
    let mut reply = sent.inspect_err(|refusal| away.failed(refusal))?;
    let stall = worker.service.stall;
    let events = reply.events;
    reply.body = relay::bounded(reply.body, events, parcel.request.deadline, stall);
    reply.body = keeping(reply.body, away);
    if events {
        relay::first(&mut reply).await?;
    }
    let whole = relay::gather(&mut reply).await?;
    Ok((reply, whole))
}

/// Keeps a request counted until its body has ended or is dropped.
fn holding(body: Body, flight: &Rc<RefCell<Flight>>, fault: bool) -> Body {
    let state = (body, Rc::clone(flight));
    let next = move |(mut body, flight): (Body, Rc<RefCell<Flight>>)| async move {
        let part = body.next().await;
        match &part {
            None if !fault => flight.borrow_mut().answered(),
            None => flight
                .borrow_mut()
                .failed(&Refusal::unknown(Reason::Broken)),
            Some(Err(refusal)) => flight.borrow_mut().failed(refusal),
            Some(Ok(_)) => {}
        }
        Some((part?, (body, flight)))
    };
    stream::unfold(state, next).boxed_local()
}

/// Keeps a request counted at its place until its body has ended or is dropped.
fn keeping(body: Body, away: Away) -> Body {
    let next = |(mut body, mut away): (Body, Away)| async move {
        let part = body.next().await?;
        if let Err(refusal) = &part {
            away.failed(refusal);
        }
        Some((part, (body, away)))
    };
    stream::unfold((body, away), next).boxed_local()
}
