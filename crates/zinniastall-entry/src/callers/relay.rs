//! Relays responses and ensures that a truncated one never looks complete.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use tokio::time::timeout_at;
use zinniastall_coord::origin::{Origin, Requirement};
use zinniastall_route::{
    dispatch::{self, Next, Progress},
    outcome::{Reason, Refusal},
    relay::Events,
};

use super::{
    call::Call,
    rate::Permit,
    reply::{Body, BodySource, Reply, lazy_body},
    response::MAX_BUFFERED_BYTES,
    suspect::Watch,
    target,
    worker::Worker,
};
use crate::reach::Guard;

/// Fails a body that stalls: a plain response at the request's deadline, an event stream after
/// `stall_timeout` without data.
///
/// A stream may outlive the deadline as long as it makes progress; the deadline bounds only its
/// first part.
pub fn with_timeouts(body: Body, events: bool, deadline: Instant, stall_timeout: Duration) -> Body {
    let next = move |state: Option<(Body, Instant)>| async move {
        let (mut body, until) = state?;
        let late = Err(Refusal::unknown(Reason::DeadlinePassed));
        match timeout_at(until.into(), body.next()).await {
            Ok(Some(Ok(bytes))) => {
                let until = if events {
                    Instant::now() + stall_timeout
                } else {
                    until
                };
                Some((Ok(bytes), Some((body, until))))
            }
            Ok(Some(Err(refusal))) => Some((Err(refusal), None)),
            Ok(None) => None,
            Err(_) => Some((late, None)),
        }
    };
    stream::unfold(Some((body, deadline)), next).boxed_local()
}

/// A body whose parts show that its target is reached.
struct OnPath {
    worker: Rc<Worker>,
    call: Rc<Call>,
    path: Guard,
    body: Body,
}

/// Records that a target is reached with each part of a body, and counts the request until its end. A
/// request that may be repeated stops waiting once the path gives no more hope.
pub(super) fn on_path(worker: &Rc<Worker>, call: &Rc<Call>, path: Guard, body: Body) -> Body {
    lazy_body(OnPath {
        worker: Rc::clone(worker),
        call: Rc::clone(call),
        path,
        body,
    })
}

impl BodySource for OnPath {
    async fn next_part(&mut self) -> Result<Option<Bytes>, Refusal> {
        let reach = self.worker.service.shared_view.paths();
        let next = self.body.next();
        let part = if self.call.request.idempotent {
            reach.until_given_up(self.path.target(), next).await
        } else {
            Some(next.await)
        };
        match part {
            Some(Some(Ok(bytes))) => {
                reach.heard(self.path.target(), false);
                Ok(Some(bytes))
            }
            Some(Some(Err(refusal))) => {
                if refusal.reason == Reason::TargetLost {
                    reach.broke(self.path.target());
                }
                Err(refusal)
            }
            Some(None) => Ok(None),
            None => Err(Refusal::unknown(Reason::TargetLost)),
        }
    }
}

/// An event stream that can be resumed at its target.
struct EventStream {
    worker: Rc<Worker>,
    call: Rc<Call>,
    watch: Rc<Watch>,
    body: Body,
    /// What a target that goes on with the stream must satisfy.
    requirement: Requirement,
    events: Events,
    attempts: u32,
}

/// Relays complete events only, and fails if the closing event is missing.
///
/// If the connection breaks in between, an idempotent stream resumes at its offset on the same
/// target, provided that the target supports it and the retry budget permits. The process behind the
/// target's address may be another by then, so both answers must state the same software.
pub(super) fn resumable_events(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    watch: &Rc<Watch>,
    software: Option<&str>,
    body: Body,
) -> Body {
    let origin = Origin::new(call.request.subject.name(), software);
    lazy_body(EventStream {
        requirement: Requirement::continuing(origin),
        worker: Rc::clone(worker),
        call: Rc::clone(call),
        watch: Rc::clone(watch),
        body,
        events: Events::default(),
        attempts: 1,
    })
}

impl BodySource for EventStream {
    async fn next_part(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            let broken = match self.body.next().await {
                Some(Ok(bytes)) => {
                    let complete = self.events.push(&bytes);
                    let complete = complete.map_err(|_| Refusal::unknown(Reason::TargetLost))?;
                    if !complete.is_empty() {
                        return Ok(Some(complete.into()));
                    }
                    continue;
                }
                // Nothing that follows the closing event belongs to the stream.
                _ if self.events.end().is_ok() => return Ok(None),
                None => Refusal::unknown(Reason::TargetLost),
                Some(Err(refusal)) => refusal,
            };
            self.resume(broken).await?;
        }
    }
}

impl EventStream {
    /// Records that the stream can't go on at its target.
    fn refuse(&self, why: &'static str) {
        self.worker.recorder.count("taken-up.refused", 1);
        tracing::info!(
            event = "not-resumed",
            request = self.call.request.id,
            target = self.watch.target().target,
            why,
        );
    }

    async fn resume(&mut self, broken: Refusal) -> Result<(), Refusal> {
        let request = &self.call.request;
        let progress = Progress {
            attempts: self.attempts,
            relayed: false,
            has_budget: true,
        };
        let next = dispatch::next(request, &broken, progress, Instant::now());
        let offset = self.events.count();
        // Before the first event, the request can start over at any target, which counts as a
        // regular retry.
        if next == Next::End || offset == 0 || !request.idempotent {
            return Err(broken);
        }
        if self.requirement == Requirement::Unknown {
            self.refuse("version-unknown");
            return Err(broken);
        }
        // The request may be what crashed the target.
        if self.watch.failed(&broken).await {
            return Err(broken);
        }
        let here = &self.worker.view().place;
        if self.worker.check_again(request, here).is_err() {
            return Err(broken);
        }
        let Ok(mut retry) = self.worker.retry(request) else {
            return Err(broken);
        };
        let target = self.watch.target();
        if self.worker.await_permit(&self.call, target, None).await == Permit::Denied {
            return Err(broken);
        }
        self.attempts += 1;
        let continues = Some((offset, &self.requirement));
        retry.set_sent(true);
        let reply = target::send(&self.worker, self.watch.target(), &self.call, continues)
            .await
            .map_err(|_| broken.clone())?;
        drop(retry);
        let subject = request.subject.name();
        if !self.requirement.admits(subject, reply.software.as_deref()) {
            self.refuse("version-not-served");
            return Err(broken);
        }
        // A target that ignores the offset starts over; relaying that would duplicate events.
        if !reply.events || reply.offset != offset {
            return Err(broken);
        }
        let stall_timeout = self.worker.service.stall_timeout;
        self.worker.recorder.count("taken-up.went-on", 1);
        self.events.resume();
        self.body = with_timeouts(
            reply.body,
            true,
            Instant::now() + stall_timeout,
            stall_timeout,
        );
        Ok(())
    }
}

/// Waits for the first part of a stream, so that a target that fails before it can still be
/// replaced.
///
/// # Errors
///
/// Returns the refusal that ended the stream.
pub async fn await_first_part(reply: &mut Reply) -> Result<(), Refusal> {
    let mut rest = std::mem::replace(&mut reply.body, stream::empty().boxed_local());
    let first = match rest.next().await {
        Some(part) => Some(part?),
        None => None,
    };
    let first = stream::iter(first.map(Ok));
    reply.body = first.chain(rest).boxed_local();
    Ok(())
}

/// Buffers a short response, so that its outcome is known before its head is sent.
///
/// Returns `None` if the response is an event stream or longer than [`MAX_BUFFERED_BYTES`]; the
/// reply then still has its full body.
///
/// # Errors
///
/// Returns the refusal that ended the response.
pub async fn buffer(reply: &mut Reply) -> Result<Option<Bytes>, Refusal> {
    let long = reply
        .length
        .is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
    if reply.events || long {
        return Ok(None);
    }
    let mut buffered = Vec::new();
    while let Some(part) = reply.body.next().await {
        buffered.extend_from_slice(&part?);
        if buffered.len() > MAX_BUFFERED_BYTES {
            let rest = std::mem::replace(&mut reply.body, stream::empty().boxed_local());
            let first = stream::once(async move { Ok(Bytes::from(buffered)) });
            reply.body = first.chain(rest).boxed_local();
            return Ok(None);
        }
    }
    Ok(Some(buffered.into()))
}
