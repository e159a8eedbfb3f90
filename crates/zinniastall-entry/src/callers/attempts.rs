//! Attempts of a request at targets and in other places, until one succeeds.

use std::{cell::RefCell, rc::Rc, time::Instant};

use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use zinniastall_model::id;
use zinniastall_route::{
    dispatch::{self, Next, Progress},
    outcome::{Outcome, Reason, Refusal},
};

use super::{
    admission::{Decision, Forwarded, InFlight},
    call::Call,
    forward,
    pipeline::{Answer, UNREACHABLE_RETRY_AFTER},
    relay,
    reply::Body,
    target,
    worker::Worker,
};

/// Attempts a request until a target responds or no further attempt is allowed.
pub(super) fn dispatch<'a>(
    worker: &'a Rc<Worker>,
    call: &'a Rc<Call>,
) -> LocalBoxFuture<'a, Result<Answer, Refusal>> {
    attempts(worker, call).boxed_local()
}

async fn attempts(worker: &Rc<Worker>, call: &Rc<Call>) -> Result<Answer, Refusal> {
    let request = &call.request;
    let admission = &worker.service.admission;
    let mut earlier: Option<Refusal> = None;
    let mut tried: Vec<id::Target> = Vec::new();
    let mut attempts_made = 0;
    loop {
        let decision = match admission.admit(request, &tried) {
            Ok(decision) => decision,
            // The retry budget has granted another attempt. If no other target is left, the target
            // that lost the request is tried again, since it may have lost only the connection.
            Err(refusal) if only_tried_left(&refusal, earlier.as_ref(), &tried) => {
                tried.clear();
                continue;
            }
            Err(refusal) => return Err(merge_last(earlier, refusal)),
        };
        let attempt = match decision {
            Decision::Local(in_flight) => attempt_local(worker, call, *in_flight, &mut tried).await,
            Decision::Forwarded(forwarded) => attempt_forwarded(worker, call, forwarded).await,
            Decision::Queued(queued) => match queued.granted().await {
                Ok(in_flight) => attempt_local(worker, call, in_flight, &mut tried).await,
                Err(refusal) => return Err(merge_last(earlier, refusal)),
            },
        };
        let refusal = match attempt {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        attempts_made += 1;
        let progress = Progress {
            attempts: attempts_made,
            relayed: false,
            has_budget: true,
        };
        let next = dispatch::next(request, &refusal, progress, Instant::now());
        let merged = dispatch::merge(earlier.take(), refusal);
        if next == Next::End || !admission.retry() {
            return Err(merged);
        }
        earlier = Some(merged);
    }
}

/// Returns whether the only targets left are those that lost this request.
fn only_tried_left(refusal: &Refusal, earlier: Option<&Refusal>, tried: &[id::Target]) -> bool {
    let lost = earlier.is_some_and(|earlier| earlier.outcome == Outcome::Unknown);
    lost && !tried.is_empty() && matches!(refusal.reason, Reason::NoTarget(_))
}

/// Returns the outcome of earlier attempts, if any, with the retry hint of the last refusal.
fn merge_last(earlier: Option<Refusal>, refusal: Refusal) -> Refusal {
    let retry = refusal.retry_after;
    match earlier {
        Some(earlier) => Refusal {
            retry_after: retry.or(earlier.retry_after),
            ..earlier
        },
        None => refusal,
    }
}

async fn attempt_local(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    in_flight: InFlight,
    tried: &mut Vec<id::Target>,
) -> Result<Answer, Refusal> {
    tried.push(in_flight.target().clone());
    let here = worker.view().place.clone();
    worker
        .check_again(&call.request, &here)
        .map_err(Refusal::not_run)?;
    let report = in_flight.report()?;
    let in_flight = Rc::new(RefCell::new(in_flight));
    let failed = |refusal: Refusal| {
        in_flight.borrow_mut().failed(&refusal);
        refusal
    };
    let mut reply = target::send(&worker.client, &report, call, 0)
        .await
        .map_err(failed)?;
    let (events, fault) = (reply.events, reply.status >= 500);
    let stall_timeout = worker.service.stall_timeout;
    reply.body = relay::with_timeouts(reply.body, events, call.request.deadline, stall_timeout);
    if events && call.request.events {
        reply.body = relay::resumable_events(worker, call, &in_flight, reply.body);
    }
    reply.body = track_in_flight(reply.body, &in_flight, fault);
    if events {
        relay::await_first_part(&mut reply).await?;
    }
    let buffered = relay::buffer(&mut reply).await?;
    Ok((reply, buffered))
}

async fn attempt_forwarded(
    worker: &Rc<Worker>,
    call: &Call,
    mut forwarded: Forwarded,
) -> Result<Answer, Refusal> {
    let refused = |reason| Err(Refusal::not_run(reason).retry_after(UNREACHABLE_RETRY_AFTER));
    worker
        .check_again(&call.request, forwarded.place())
        .map_err(Refusal::not_run)?;
    let view = worker.view();
    let Some(peer) = forward::choose_peer(&view, forwarded.place()) else {
        return refused(Reason::TargetUnreachable);
    };
    let hops = forwarded.hops().to_vec();
    let sent = forward::send(worker, call, peer, hops).await;
    let mut reply = sent.inspect_err(|refusal| forwarded.failed(refusal))?;
    let stall_timeout = worker.service.stall_timeout;
    let events = reply.events;
    reply.body = relay::with_timeouts(reply.body, events, call.request.deadline, stall_timeout);
    reply.body = track_forwarded(reply.body, forwarded);
    if events {
        relay::await_first_part(&mut reply).await?;
    }
    let buffered = relay::buffer(&mut reply).await?;
    Ok((reply, buffered))
}

/// Counts a request at its target until the body ends or is dropped.
fn track_in_flight(body: Body, in_flight: &Rc<RefCell<InFlight>>, fault: bool) -> Body {
    let state = (body, Rc::clone(in_flight));
    let next = move |(mut body, in_flight): (Body, Rc<RefCell<InFlight>>)| async move {
        let part = body.next().await;
        match &part {
            None if !fault => in_flight.borrow_mut().answered(),
            None => in_flight
                .borrow_mut()
                .failed(&Refusal::unknown(Reason::TargetLost)),
            Some(Err(refusal)) => in_flight.borrow_mut().failed(refusal),
            Some(Ok(_)) => {}
        }
        Some((part?, (body, in_flight)))
    };
    stream::unfold(state, next).boxed_local()
}

/// Counts a forwarded request at its place until the body ends or is dropped.
fn track_forwarded(body: Body, forwarded: Forwarded) -> Body {
    let next = |(mut body, mut forwarded): (Body, Forwarded)| async move {
        let part = body.next().await?;
        if let Err(refusal) = &part {
            forwarded.failed(refusal);
        }
        Some((part, (body, forwarded)))
    };
    stream::unfold((body, forwarded), next).boxed_local()
}
