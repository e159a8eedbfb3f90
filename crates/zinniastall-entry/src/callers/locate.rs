//! Tells callers which instances to use.

use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};
use zinniastall_model::id;
use zinniastall_route::outcome::{Reason, Refusal};

use super::{accept, answer, worker::Worker};
use crate::view::View;

/// How long an answer may be used, in milliseconds.
const VALID_MS: u64 = 2_000;

/// What a caller asks for.
#[derive(Debug, Deserialize)]
pub struct Query {
    subject: String,
}

#[derive(Debug, Serialize)]
struct Located {
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
    weight: f64,
}

/// Answers which instances to use for a model or service.
pub async fn locate(
    http: HttpRequest,
    query: web::Query<Query>,
    worker: web::Data<Worker>,
) -> HttpResponse {
    let view = worker.view();
    match instances(&http, &query, &worker, &view) {
        Ok(located) => HttpResponse::Ok().json(located),
        Err(refusal) => answer::refuse(&refusal, "", &view.instance),
    }
}

fn instances(
    http: &HttpRequest,
    query: &Query,
    worker: &Worker,
    view: &View,
) -> Result<Located, Refusal> {
    let state = accept::configured(view)?;
    let index = worker.index(state);
    let key = accept::key(http).map_err(Refusal::not_run)?;
    index.by_key(key).map_err(Refusal::not_run)?;
    if index.subject(&query.subject).is_none() {
        return Err(Refusal::not_run(Reason::NoRoute(query.subject.clone())));
    }
    let mut peers: Vec<_> = view.peers.values().filter(|peer| !peer.draining).collect();
    let distance = |peer: &zinniastall_wire::gossip::Peer| {
        let zone = peer.place != view.place;
        let region = peer.place.region != view.place.region;
        (region, zone, peer.load)
    };
    peers.sort_by_key(|peer| distance(peer));
    let instances = peers.into_iter().map(|peer| Choice {
        instance: peer.instance.clone(),
        region: peer.place.region.clone(),
        zone: peer.place.zone.clone(),
        callers: peer.callers.clone(),
        weight: 1.0,
    });
    Ok(Located {
        instances: instances.collect(),
        valid_ms: VALID_MS,
        connected: view.connected,
        tickets: Vec::new(),
    })
}
