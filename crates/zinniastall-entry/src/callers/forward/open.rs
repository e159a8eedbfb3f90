//! Conversion of requests to and from the message that opens a stream.

use std::{
    cell::OnceCell,
    rc::Rc,
    time::{Duration, Instant},
};

use zinniastall_coord::{quarantine::Key, ticket::Address};
use zinniastall_model::{fingerprint::Suspect, object::Subject, place::Place};
use zinniastall_route::{
    hops,
    outcome::{Reason, Refusal},
    request::Request,
    residency,
};
use zinniastall_wire::stream::Open;

use super::Route;
use crate::callers::{accept, call::Call, reply::remaining_ms, worker::Worker};

/// Separates a request from the parts of its prompt; the request comes first.
pub(super) fn split(mut suspects: Vec<Suspect>) -> (Option<Suspect>, Vec<Suspect>) {
    let is_request = suspects.first().is_some_and(|(first, _)| !first.is_part());
    let request = is_request.then(|| suspects.remove(0));
    (request, suspects)
}

/// Creates the message that opens a stream; the link assigns its number.
pub(super) fn pack(call: &Call, route: Route, suspects: Vec<Suspect>) -> Open {
    let (suspect, parts) = split(suspects);
    let request = &call.request;
    Open {
        stream: 0,
        request: request.id.clone(),
        hops: route.hops,
        detoured: route.is_detour,
        revision: request.revision,
        client: request.client.clone(),
        class: request.class.clone(),
        subject: request.subject.clone(),
        regions: request.regions.clone(),
        idempotent: request.idempotent,
        ticket: request.ticket.clone(),
        suspect,
        parts,
        left_ms: remaining_ms(request.deadline),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.to_vec(),
    }
}

/// Validates a forwarded request and builds the [`Call`] that is served here.
///
/// The sender may hold an older or a newer configuration. The request must be permitted by both, so
/// a rule that has reached either instance is enforced.
///
/// # Errors
///
/// Returns a "not run" refusal if the request is not permitted.
pub(super) fn unpack(worker: &Rc<Worker>, sender: &Address, open: Open) -> Result<Call, Refusal> {
    validate(worker, sender, open).map_err(|reason| {
        let retry = Duration::from_millis(500);
        Refusal::not_run(reason).retry_after(retry)
    })
}

fn validate(worker: &Rc<Worker>, sender: &Address, open: Open) -> Result<Call, Reason> {
    let view = worker.view();
    let from = Place::new(sender.region.clone(), sender.zone.clone());
    hops::check_arrived(&open.hops, &from, &view.place)?;
    let state = view.state.as_ref().ok_or(Reason::NotConfigured)?;
    let index = worker.index(state);
    let client = index.client(&open.client)?;
    let received = open.hops.first().ok_or(Reason::TooManyHops)?;
    let own = residency::permitted(index.rules(&client.id), &open.subject, received);
    let regions = residency::stricter(&open.regions, &own);
    residency::check_place(&regions, &view.place)?;
    let request = Request {
        id: open.request,
        client: client.id.clone(),
        weight: client.weight,
        class: open.class,
        version: index.version(&open.subject).map(ToOwned::to_owned),
        events: matches!(open.subject, Subject::Model(_)),
        prefixes: accept::prefixes(&open.subject, &open.body),
        subject: open.subject,
        idempotent: open.idempotent && open.ticket.is_none(),
        ticket: open.ticket,
        deadline: Instant::now() + Duration::from_millis(open.left_ms),
        regions,
        hops: open.hops,
        detoured: open.detoured,
        revision: index.revision(),
    };
    Ok(Call {
        request,
        method: open.method,
        path: open.path,
        headers: open.headers,
        body: open.body.into(),
        subjects: OnceCell::new(),
    })
}
