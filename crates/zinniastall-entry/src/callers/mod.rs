//! Callers' HTTP interface and the request path behind it.
//!
//! `accept → identify → residency → ticket → admit → choose → dispatch → relay → settle`: the
//! decisions are in `zinniastall-route`, this module does what they say.

pub mod accept;
pub mod answer;
pub mod guard;
pub mod locate;
pub mod parcel;
pub mod path;
pub mod relay;
pub mod reply;
pub mod settle;
pub mod target;
pub mod traffic;
pub mod worker;

use std::sync::Arc;

use actix_web::{HttpRequest, HttpResponse, web};
use zinniastall_route::outcome::Refusal;
use zinniastall_settings::metrics::Hub;

use crate::{
    settings::Limits,
    view::{Board, View},
};
use parcel::Parcel;
use settle::Settle;
use traffic::Traffic;
use worker::Worker;

/// What all traffic threads share.
#[derive(Debug, Clone)]
pub struct Service {
    board: Board,
    hub: Hub,
    limits: Arc<Limits>,
    traffic: Traffic,
}

impl Service {
    /// Creates the service of an instance.
    pub fn new(board: Board, hub: Hub, limits: Limits) -> Self {
        Self {
            board,
            hub,
            limits: Arc::new(limits),
            traffic: Traffic::default(),
        }
    }

    /// Adds the callers' paths to one traffic thread's application.
    pub fn configure(&self, config: &mut web::ServiceConfig) {
        let worker = web::Data::new(Worker::new(self.clone()));
        config
            .app_data(worker)
            .route("/v1/locate", web::get().to(locate::locate))
            .default_service(web::to(serve));
    }
}

async fn serve(
    http: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Worker>,
) -> HttpResponse {
    let view = worker.view();
    let id = accept::request_id(&http).unwrap_or_default();
    let mut settle = Settle::new(worker.recorder.clone(), id.clone());
    match run(&http, payload, &worker, &view, &mut settle).await {
        Ok((mut reply, whole)) => {
            settle.served(&reply.served.target);
            if whole.is_some() {
                settle.answered();
            } else {
                reply.body = settle.follow(reply.body);
            }
            answer::answer(reply, whole, &id, &view.instance)
        }
        Err(refusal) => {
            settle.refused(&refusal);
            answer::refuse(&refusal, &id, &view.instance)
        }
    }
}

async fn run(
    http: &HttpRequest,
    payload: web::Payload,
    worker: &Worker,
    view: &View,
    settle: &mut Settle,
) -> Result<path::Answer, Refusal> {
    let state = accept::configured(view)?;
    let index = worker.index(state);
    let body = accept::read_body(payload, &worker.service.limits).await?;
    let parcel: Parcel = accept::parcel(http, body, view, &index, &worker.service.limits)?;
    settle.identified(&parcel.request);
    path::serve(worker, &parcel).await
}
