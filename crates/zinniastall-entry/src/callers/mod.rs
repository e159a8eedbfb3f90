//! Callers' HTTP interface and the request path behind it.
//!
//! `accept → identify → residency → ticket → admit → choose → dispatch → relay → settle`: the
//! decisions are in `zinniastall-route`, this module does what they say.

pub mod accept;
pub mod admission;
pub mod answer;
mod attempts;
pub mod connection;
pub mod forward;
pub mod guard;
pub mod locate;
pub mod parcel;
pub mod path;
pub mod progress;
pub mod relay;
pub mod reply;
pub mod server;
mod service;
pub mod settings;
pub mod settle;
pub mod target;
pub mod ticket;
pub mod worker;

use std::rc::Rc;

use actix_web::{HttpRequest, HttpResponse, web};
use zinniastall_model::header::TICKET;
use zinniastall_route::outcome::Refusal;

pub use service::Service;

use parcel::Parcel;
use settle::Settle;
use worker::Worker;

impl Service {
    /// Adds the callers' paths to one traffic thread's application.
    pub fn configure(&self, config: &mut web::ServiceConfig) {
        let worker = Rc::new(Worker::new(self.clone()));
        config
            .app_data(web::Data::new(worker))
            .route("/v1/locate", web::get().to(locate::locate))
            .default_service(web::to(serve));
    }
}

async fn serve(
    http: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Rc<Worker>>,
) -> HttpResponse {
    let instance = worker.view().instance.clone();
    let started = worker.service.progress.start();
    let id = accept::request_id(&http).unwrap_or_default();
    let mut settle = Settle::new(worker.recorder.clone(), started, id);
    match run(&http, payload, &worker, &mut settle).await {
        Ok((mut reply, whole)) => {
            settle.served(&reply.served.target);
            let id = settle.request().to_owned();
            if whole.is_some() {
                settle.answered();
            } else {
                reply.body = settle.follow(reply.body);
            }
            answer::answer(reply, whole, &id, &instance)
        }
        Err(refusal) => {
            settle.refused(&refusal);
            answer::refuse(&refusal, settle.request(), &instance)
        }
    }
}

async fn run(
    http: &HttpRequest,
    payload: web::Payload,
    worker: &Rc<Worker>,
    settle: &mut Settle,
) -> Result<path::Answer, Refusal> {
    let parcel = take(http, payload, worker).await.map_err(|refusal| {
        let ticket = accept::text(http, TICKET).ok().flatten();
        worker.service.tickets.turned_away(refusal, ticket, None)
    })?;
    settle.identified(&parcel.request);
    path::serve(worker, parcel).await
}

async fn take(
    http: &HttpRequest,
    payload: web::Payload,
    worker: &Rc<Worker>,
) -> Result<Parcel, Refusal> {
    let limits = &worker.service.limits;
    let body = accept::read_body(payload, limits).await?;
    // The view is read after the body: a slow body must not bring an old configuration along.
    let view = worker.view();
    let index = worker.index(accept::configured(&view)?);
    accept::parcel(http, body, &view, &index, limits)
}
