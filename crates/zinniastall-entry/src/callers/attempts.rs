//! Attempts: a request at targets and in other places, until one answers.

use std::{cell::RefCell, rc::Rc, time::Instant};

use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use zinniastall_model::id;
use zinniastall_route::{
    dispatch::{self, Next, Progress},
    outcome::{Outcome, Reason, Refusal},
};

use super::{
    admission::{Away, Flight, Verdict},
    forward,
    parcel::Parcel,
    path::{Answer, UNREACHABLE},
    relay,
    reply::Body,
    target,
    worker::Worker,
};

/// Tries targets until one answers or the request has to end.
pub(super) fn dispatch<'a>(
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
