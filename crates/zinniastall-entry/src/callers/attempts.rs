//! Attempts of a request at targets and in other places, until one succeeds.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use tokio::time;
use zinniastall_coord::quarantine::{
    HELD_RETRY_AFTER, HOLD_POLL_INTERVAL, HOLD_SHARE, MAX_HOLD, has_new_crash,
    may_retry_after_crash,
};
use zinniastall_coord::retry::Grant;
use zinniastall_http::ending::Ending;
use zinniastall_model::id;
use zinniastall_route::{
    dispatch::{self, Next, Progress},
    outcome::{Outcome, Reason, Refusal},
};
use zinniastall_wire::gossip::Peer;

use super::{
    admission::{Decision, Forwarded, InFlight},
    call::Call,
    forward,
    pipeline::{Answer, UNREACHABLE_RETRY_AFTER},
    rate::Permit,
    relay,
    reply::Body,
    suspect::Watch,
    target,
    worker::Worker,
};
use crate::{quarantine::Probe, reach::Path};

/// Permits that are asked for one request in vain until it is refused. Without a bound, a request would
/// be held until its deadline by a coordinator that does not answer.
const MAX_DENIED: u32 = 8;
/// Shortest time after which a request should return that got no permit.
const MIN_PERMIT_RETRY: Duration = Duration::from_millis(100);

/// A request that has a place to go.
enum Started {
    /// To a target of this zone.
    Here(Box<InFlight>),
    /// To another zone or region.
    Elsewhere(Forwarded),
}

/// Attempts a request until a target responds or no further attempt is allowed.
pub(super) fn dispatch<'a>(
    worker: &'a Rc<Worker>,
    call: &'a Rc<Call>,
) -> LocalBoxFuture<'a, Result<Answer, Refusal>> {
    let attempts = attempts(worker, call);
    let ended = async move {
        attempts
            .await
            .map_err(|refusal| worker.conclude(call, refusal))
    };
    ended.boxed_local()
}

async fn attempts(worker: &Rc<Worker>, call: &Rc<Call>) -> Result<Answer, Refusal> {
    let request = &call.request;
    let admission = &worker.service.admission;
    let mut earlier: Option<Refusal> = None;
    let mut tried: Vec<id::Target> = Vec::new();
    let mut attempts_made = 0;
    let mut denied = 0;
    admission.begin(request);
    let mut retry: Option<Grant> = None;
    let left = request.deadline.saturating_duration_since(Instant::now());
    let hold_until = Instant::now() + left.mul_f64(HOLD_SHARE).min(MAX_HOLD);
    loop {
        let probe = match worker.wait_until_clear(call, hold_until).await {
            Ok(probe) => probe,
            Err(refusal) => return Err(dispatch::merge(earlier, refusal)),
        };
        let known_before = worker.suspicions(call);
        let mut avoided = worker.occupied(call);
        let is_crowded = !avoided.is_empty();
        avoided.extend(tried.iter().cloned());
        let decision = match admission.admit(request, &avoided) {
            Ok(decision) => decision,
            Err(refusal) if is_crowded && matches!(refusal.reason, Reason::NoTarget(_)) => {
                if hold_until <= Instant::now() {
                    return Err(merge_last(earlier, refusal.retry_after(HELD_RETRY_AFTER)));
                }
                drop(probe);
                time::sleep(HOLD_POLL_INTERVAL).await;
                continue;
            }
            // The retry budget has granted another attempt. If no other target is left, the target
            // that lost the request is tried again, since it may have lost only the connection.
            Err(refusal) if only_tried_left(&refusal, earlier.as_ref(), &tried) => {
                tried.clear();
                continue;
            }
            Err(refusal) => return Err(merge_last(earlier, refusal)),
        };
        let started = match decision {
            Decision::Local(in_flight) => Started::Here(in_flight),
            Decision::Forwarded(forwarded) => Started::Elsewhere(forwarded),
            Decision::Queued(queued) => match queued.granted().await {
                // While it waited, the request may have crashed a target elsewhere.
                Ok(_) if !worker.may_still_be_sent(call, probe.as_ref()) => continue,
                Ok(in_flight) => Started::Here(Box::new(in_flight)),
                Err(refusal) => return Err(merge_last(earlier, refusal)),
            },
        };
        let attempt = match started {
            // Another strong suspect has been sent there since the choice.
            Started::Here(in_flight) if !may_enter(probe.as_ref(), &in_flight) => continue,
            Started::Here(in_flight) => {
                let target = in_flight.target().clone();
                let reach = worker.service.shared_view.paths();
                let path = reach.path(&worker.view(), &target, request, Instant::now());
                if path == Path::Direct
                    && let Some(wait) = denial(worker, call, &in_flight).await?
                {
                    denied += 1;
                    if denied == MAX_DENIED {
                        return Err(merge_last(earlier, no_permit(wait)));
                    }
                    continue;
                }
                attempt_on(path, worker, call, *in_flight, probe, &mut tried).await
            }
            Started::Elsewhere(forwarded) => {
                attempt_forwarded(worker, call, forwarded, probe).await
            }
        };
        let is_paused = |refusal: &Refusal| refusal.reason == Reason::TargetPaused;
        if attempt.as_ref().err().is_some_and(is_paused) {
            continue;
        }
        end_retry(retry.take(), &attempt);
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
        let has_crashed = refusal.outcome == Outcome::Unknown
            && has_new_crash(&known_before, &worker.suspicions(call));
        let merged = dispatch::merge(earlier.take(), refusal);
        let is_strong = || !may_retry_after_crash(worker.standing(call).clearance);
        let is_last = next == Next::End || (has_crashed && is_strong());
        if is_last {
            return Err(merged);
        }
        retry = worker.retry(request).ok();
        if retry.is_none() {
            return Err(merged);
        }
        earlier = Some(merged);
    }
}

/// Returns whether a request may share its target with the suspects that are there.
fn may_enter(probe: Option<&Probe>, in_flight: &InFlight) -> bool {
    probe.is_none_or(|probe| probe.enter(in_flight.target()))
}

/// Waits for a permit to send a request to the target that was chosen. If there is none, returns the
/// time until the next one; the request is then admitted anew.
async fn denial(
    worker: &Rc<Worker>,
    call: &Call,
    in_flight: &InFlight,
) -> Result<Option<Duration>, Refusal> {
    let report = in_flight.report()?;
    let permit = worker.await_permit(call, &report, in_flight.limit()).await;
    let rates = worker.service.shared_view.rates();
    let next = || {
        rates
            .limited(&report, Instant::now())
            .map(|limited| limited.wait)
    };
    Ok((permit == Permit::Denied).then(|| next().unwrap_or_default()))
}

/// Refuses a request that got no permit; `wait` is the time until the next one.
fn no_permit(wait: Duration) -> Refusal {
    Refusal::not_run(Reason::DeadlineNotFeasible).retry_after(wait.max(MIN_PERMIT_RETRY))
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

/// Sends a request to the target that was chosen, by the path that reaches it.
async fn attempt_on(
    path: Path,
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    in_flight: InFlight,
    probe: Option<Probe>,
    tried: &mut Vec<id::Target>,
) -> Result<Answer, Refusal> {
    match path {
        Path::Direct => attempt_local(worker, call, in_flight, probe, tried).await,
        Path::Detour(peer) => attempt_detour(worker, call, in_flight, &peer, probe).await,
        Path::None => {
            let refusal = Refusal::not_run(Reason::TargetUnreachable);
            Err(refusal.retry_after(UNREACHABLE_RETRY_AFTER))
        }
    }
}

/// Ends a retry, which counts unless nothing was sent.
fn end_retry(retry: Option<Grant>, attempt: &Result<Answer, Refusal>) {
    let failure = attempt.as_ref().err();
    if let Some(mut retry) = retry {
        retry.set_sent(failure.is_none_or(|refusal| refusal.reason != Reason::TargetUnreachable));
    }
}

async fn attempt_local(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    in_flight: InFlight,
    probe: Option<Probe>,
    tried: &mut Vec<id::Target>,
) -> Result<Answer, Refusal> {
    tried.push(in_flight.target().clone());
    let here = worker.view().place.clone();
    worker
        .check_again(&call.request, &here)
        .map_err(Refusal::not_run)?;
    let report = in_flight.report()?;
    let in_flight = Rc::new(RefCell::new(in_flight));
    let reach = worker.service.shared_view.paths();
    let path = reach.begin(&report.target);
    let watch = Rc::new(Watch::new(worker, call, report, probe));
    let sent = target::send(worker, watch.target(), call, None);
    let sent = target::while_reachable(worker, watch.target(), call, sent).await;
    let mut reply = match sent {
        Ok(reply) => reply,
        Err(refusal) if refusal.reason == Reason::TargetPaused => {
            tried.retain(|name| *name != watch.target().target);
            return Err(refusal);
        }
        Err(refusal) if refusal.reason == Reason::TargetUnreachable => {
            // It may be reached by another path.
            tried.retain(|name| *name != watch.target().target);
            reach
                .settle(&worker.view(), &watch.target().target, &call.request)
                .await;
            return Err(refusal);
        }
        Err(refusal) => {
            watch.failed(&refusal).await;
            in_flight.borrow_mut().failed(&refusal);
            return Err(refusal);
        }
    };
    reply.body = relay::on_path(worker, call, path, reply.body);
    let (events, status) = (reply.events, reply.status);
    let stall_timeout = worker.service.stall_timeout;
    reply.body = relay::with_timeouts(reply.body, events, call.request.deadline, stall_timeout);
    if events && call.request.events {
        let software = reply.software.take();
        reply.body = relay::resumable_events(worker, call, &watch, software.as_deref(), reply.body);
        // The closing event confirms the end, whatever the framing.
        reply.highest = Ending::Complete;
    }
    reply.body = track_in_flight(reply.body, &in_flight, &watch, status);
    if events {
        relay::await_first_part(&mut reply).await?;
    }
    let buffered = relay::buffer(&mut reply).await?;
    Ok((reply, buffered))
}

/// Sends a request by another instance of this place, which reaches a target that this one doesn't.
async fn attempt_detour(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    in_flight: InFlight,
    peer: &Peer,
    probe: Option<Probe>,
) -> Result<Answer, Refusal> {
    let here = worker.view().place.clone();
    worker
        .check_again(&call.request, &here)
        .map_err(Refusal::not_run)?;
    tracing::info!(
        event = "detour",
        request = call.request.id,
        target = in_flight.target(),
        peer = peer.instance,
    );
    worker.recorder.count("detours", 1);
    let sent = forward::send(worker, call, peer, forward::Route::detour(here)).await;
    let mut reply = match sent {
        Ok(reply) => reply,
        Err(refusal) => {
            worker.recorder.count("detours.failed", 1);
            if refusal.reason == Reason::TargetUnreachable {
                worker.service.shared_view.paths().distrust(&peer.instance);
            }
            worker.share_if_strong(call).await;
            return Err(refusal);
        }
    };
    let (events, stall_timeout) = (reply.events, worker.service.stall_timeout);
    reply.body = relay::with_timeouts(reply.body, events, call.request.deadline, stall_timeout);
    let remote = Remote {
        counted: Counted::Detour(Box::new(in_flight)),
        worker: Rc::clone(worker),
        call: Rc::clone(call),
        status: reply.status,
        _probe: probe,
    };
    reply.body = track_forwarded(reply.body, remote);
    if events {
        relay::await_first_part(&mut reply).await?;
    }
    let buffered = relay::buffer(&mut reply).await?;
    Ok((reply, buffered))
}

async fn attempt_forwarded(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    mut forwarded: Forwarded,
    probe: Option<Probe>,
) -> Result<Answer, Refusal> {
    let refused = |reason| Err(Refusal::not_run(reason).retry_after(UNREACHABLE_RETRY_AFTER));
    worker
        .check_again(&call.request, forwarded.place())
        .map_err(Refusal::not_run)?;
    let view = worker.view();
    let Some(peer) = forward::choose_peer(&view, forwarded.place()) else {
        return refused(Reason::TargetUnreachable);
    };
    let route = forward::Route::to(forwarded.hops().to_vec());
    let mut reply = match forward::send(worker, call, peer, route).await {
        Ok(reply) => reply,
        Err(refusal) => {
            forwarded.failed(&refusal);
            worker.share_if_strong(call).await;
            return Err(refusal);
        }
    };
    let stall_timeout = worker.service.stall_timeout;
    let events = reply.events;
    reply.body = relay::with_timeouts(reply.body, events, call.request.deadline, stall_timeout);
    let remote = Remote {
        counted: Counted::Forwarded(forwarded),
        worker: Rc::clone(worker),
        call: Rc::clone(call),
        status: reply.status,
        _probe: probe,
    };
    reply.body = track_forwarded(reply.body, remote);
    if events {
        relay::await_first_part(&mut reply).await?;
    }
    let buffered = relay::buffer(&mut reply).await?;
    Ok((reply, buffered))
}

/// Counts a request at its target until the body ends or is dropped, and records what its end says
/// about the request.
fn track_in_flight(
    body: Body,
    in_flight: &Rc<RefCell<InFlight>>,
    watch: &Rc<Watch>,
    status: u16,
) -> Body {
    let state = (body, Rc::clone(in_flight), Rc::clone(watch));
    let next = move |(mut body, in_flight, watch): (Body, Rc<RefCell<InFlight>>, Rc<Watch>)| async move {
        let part = body.next().await;
        match &part {
            None if status < 500 => in_flight.borrow_mut().answered(),
            None => in_flight
                .borrow_mut()
                .failed(&Refusal::unknown(Reason::TargetLost)),
            Some(Err(refusal)) => {
                watch.failed(refusal).await;
                in_flight.borrow_mut().failed(refusal);
            }
            Some(Ok(_)) => watch.progressed(),
        }
        if part.is_none() && is_success(status) {
            watch.succeeded();
        }
        Some((part?, (body, in_flight, watch)))
    };
    stream::unfold(state, next).boxed_local()
}

/// Where a request in flight at another instance is counted.
enum Counted {
    /// At another place.
    Forwarded(Forwarded),
    /// At the target for which it was handed on. Its end says nothing of the target's service time.
    Detour(#[expect(dead_code, reason = "counts until it is dropped")] Box<InFlight>),
}

/// A request in flight at another instance.
struct Remote {
    counted: Counted,
    worker: Rc<Worker>,
    call: Rc<Call>,
    status: u16,
    _probe: Option<Probe>,
}

/// Counts a forwarded request at its place until the body ends or is dropped, and records what its
/// end says about the request.
fn track_forwarded(body: Body, remote: Remote) -> Body {
    let next = |(mut body, mut remote): (Body, Remote)| async move {
        let part = body.next().await;
        match &part {
            None if is_success(remote.status) => remote.worker.record_success(&remote.call),
            Some(Err(refusal)) => {
                if let Counted::Forwarded(forwarded) = &mut remote.counted {
                    forwarded.failed(refusal);
                }
                remote.worker.share_if_strong(&remote.call).await;
            }
            _ => {}
        }
        Some((part?, (body, remote)))
    };
    stream::unfold((body, remote), next).boxed_local()
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}
