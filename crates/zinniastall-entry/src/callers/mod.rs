//! HTTP interface for callers and the request pipeline behind it.
//!
//! `accept → identify → residency → ticket → admit → choose → dispatch → relay → complete`:
//! `zinniastall-route` makes the decisions and this module carries them out.

pub mod accept;
pub mod admission;
mod attempts;
pub mod call;
pub mod completion;
pub mod connection;
pub mod forward;
pub mod locate;
mod notice;
pub mod pipeline;
pub mod progress;
mod rate;
pub mod relay;
pub mod reply;
pub mod response;
pub mod server;
mod service;
pub mod settings;
mod suspect;
pub mod target;
pub mod ticket;
pub mod worker;

use std::rc::Rc;

use actix_web::{HttpRequest, HttpResponse, web};
use zinniastall_model::header::TICKET;
use zinniastall_route::outcome::Refusal;

pub use service::Service;

use call::Call;
use completion::Completion;
use worker::Worker;

impl Service {
    /// Registers the callers' routes with one traffic thread's application.
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
    let mut completion = Completion::new(worker.recorder.clone(), started, id);
    match respond(&http, payload, &worker, &mut completion).await {
        Ok((mut reply, buffered)) => {
            completion.served(&reply.served.target);
            let id = completion.request().to_owned();
            if buffered.is_some() {
                completion.answered(reply.highest);
            } else {
                reply.body = completion.track_body(reply.body, reply.highest);
            }
            response::build(reply, buffered, &id, &instance)
        }
        Err(refusal) => {
            completion.refused(&refusal);
            response::refuse(&refusal, completion.request(), &instance)
        }
    }
}

async fn respond(
    http: &HttpRequest,
    payload: web::Payload,
    worker: &Rc<Worker>,
    completion: &mut Completion,
) -> Result<pipeline::Answer, Refusal> {
    let call = read_call(http, payload, worker).await.map_err(|refusal| {
        let ticket = accept::header_text(http, TICKET).ok().flatten();
        worker.service.tickets.rejected_early(refusal, ticket, None)
    })?;
    completion.identified(&call.request);
    let answer = pipeline::serve(worker, Rc::new(call));
    worker.service.until_requests_end(answer).await
}

async fn read_call(
    http: &HttpRequest,
    payload: web::Payload,
    worker: &Rc<Worker>,
) -> Result<Call, Refusal> {
    let limits = &worker.service.limits;
    let body = accept::read_body(payload, limits).await?;
    // The view is loaded after the body, so that a slow upload is not judged by an outdated
    // configuration.
    let view = worker.view();
    let index = worker.index(accept::configured(&view)?);
    accept::build_call(http, body, &view, &index, limits)
}
