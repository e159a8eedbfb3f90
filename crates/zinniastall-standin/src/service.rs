//! A plain service: answers any method and path, and keeps the same ledger as an engine.

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use serde_json::json;
use zinniastall_model::header;

use crate::{
    failure::{Action, Injector, Point},
    ledger::{Entry, Ledger, unix_ms},
    settings::Standin,
    slots::Slots,
    unframed::unframed,
};

/// A plain service, shared by all threads.
#[derive(Debug)]
pub struct Service {
    settings: Standin,
    slots: Slots,
    ledger: Ledger,
    failure: Injector,
}

impl Service {
    /// Creates a service.
    pub fn new(settings: &Standin, slots: Slots, ledger: Ledger, failure: Injector) -> Self {
        Self {
            settings: settings.clone(),
            slots,
            ledger,
            failure,
        }
    }

    /// Registers the service's handler with a server.
    pub fn configure(config: &mut web::ServiceConfig) {
        config.default_service(web::to(handle));
    }
}

async fn handle(service: web::Data<Service>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let is_unframed = service.settings.unframed;
    let answer = answer(service, request, body).await;
    if is_unframed {
        unframed(answer)
    } else {
        answer
    }
}

async fn answer(service: web::Data<Service>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(slot) = service.slots.acquire().await else {
        return HttpResponse::ServiceUnavailable()
            .insert_header((header::OUTCOME, "not-run"))
            .json(json!({"error": {"type": "full", "message": "no place in the queue"}}));
    };
    let header_text = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let call = format!("{} {}", request.method(), request.uri());
    let body_digest = blake3::hash(&body).to_hex().to_string();
    let mut run = service.ledger.start(Entry {
        request: header_text(header::REQUEST).to_owned(),
        client: header_text(header::CLIENT).to_owned(),
        class: header_text(header::CLASS).to_owned(),
        body_digest: body_digest.clone(),
        started: unix_ms(),
        finished: None,
        cancelled: false,
        offset: 0,
        cached: 0,
        blocks: 0,
        call: call.clone(),
    });
    match service
        .failure
        .trigger(Point::First, 0, &String::from_utf8_lossy(&body))
    {
        None => {}
        Some(Action::Hang) => std::future::pending().await,
        Some(_) => return HttpResponse::InternalServerError().json(json!({"error": {}})),
    }
    if !service.settings.service.service_time.is_zero() {
        tokio::time::sleep(service.settings.service.service_time).await;
    }
    run.finish();
    drop(slot);
    HttpResponse::Ok().json(json!({
        "service": service.settings.service.name,
        "target": service.settings.announce.target,
        "call": call,
        "body_digest": body_digest,
    }))
}
