//! Service discovery for callers: tells them which instances to use, and issues tickets.

use std::{rc::Rc, time::Duration};

use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use zinniastall_model::{id, place::Place};
use zinniastall_route::{
    locate::{self, Instance},
    outcome::{Reason, Refusal},
};

use super::{accept, response, worker::Worker};
use crate::view::View;

/// Maximum number of tickets in one response.
const MAX_TICKETS: usize = 100;

/// Query parameters.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Query {
    /// Name of a model or service.
    subject: String,
    /// Region of the caller; defaults to that of this instance.
    region: Option<id::Region>,
    /// Availability zone of the caller; defaults to that of this instance.
    zone: Option<id::Zone>,
    /// Number of tickets to issue.
    #[serde(default)]
    tickets: usize,
}

#[derive(Debug, Serialize)]
struct Answer {
    instances: Vec<Choice>,
    valid_ms: u64,
    connected: bool,
    tickets: Vec<String>,
}

#[derive(Debug, Serialize)]
struct Choice {
    instance: id::Instance,
    region: id::Region,
    zone: id::Zone,
    callers: String,
    weight: u32,
}

/// Responds with the instances to use for a model or service.
pub async fn locate(http: HttpRequest, worker: web::Data<Rc<Worker>>) -> HttpResponse {
    let view = worker.view();
    match find(&http, &worker, &view) {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(refusal) => response::refuse(&refusal, "", &view.instance),
    }
}

fn find(http: &HttpRequest, worker: &Worker, view: &View) -> Result<Answer, Refusal> {
    let state = accept::configured(view)?;
    let index = worker.index(state);
    let key = accept::bearer_key(http).map_err(Refusal::not_run)?;
    index.by_key(key).map_err(Refusal::not_run)?;
    let query = web::Query::<Query>::from_query(http.query_string())
        .map_err(|error| Refusal::not_run(Reason::MalformedQuery(error.to_string())))?;
    if index.subject(&query.subject).is_none() {
        let name: String = query.subject.chars().take(80).collect();
        return Err(Refusal::not_run(Reason::NoRoute(name)));
    }
    let caller = Place::new(
        query.region.as_ref().unwrap_or(&view.place.region),
        query.zone.as_ref().unwrap_or(&view.place.zone),
    );
    let located = locate::locate(
        &view.candidates(),
        &caller,
        view.connected,
        &mut rand::rng(),
    );
    // The ticket of a draining instance would soon have no issuer to resolve it.
    let tickets = if view.draining { 0 } else { query.tickets };
    let tickets = (0..tickets.min(MAX_TICKETS)).map(|_| worker.service.tickets.issue());
    Ok(Answer {
        instances: located.instances.into_iter().map(choice).collect(),
        valid_ms: millis(located.valid),
        connected: located.connected,
        tickets: tickets.collect(),
    })
}

fn choice(located: Instance) -> Choice {
    Choice {
        instance: located.instance,
        region: located.place.region,
        zone: located.place.zone,
        callers: located.caller_address,
        weight: located.weight,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
