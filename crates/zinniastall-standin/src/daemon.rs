//! Starts a stand-in and runs it until SIGTERM.

use std::{future::ready, net::SocketAddr, process::ExitCode, sync::Arc};

use actix_web::{
    App, HttpResponse, HttpServer,
    dev::{Server, ServerHandle, Service as _},
    http::header::{HeaderName, HeaderValue},
    web,
};
use futures_util::future::Either;
use serde_json::{Value, json};
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
};
use zinniastall_model::header::SOFTWARE;
use zinniastall_settings::{cli, log};

use crate::{
    announce::{Announcer, Capabilities, HEALTH_PATH},
    engine::Engine,
    failure::{Failure, Injector},
    ledger::Ledger,
    said::{Fields, Said},
    service::Service,
    settings::{Kind, Standin},
    slots::Slots,
    statsd::Sink,
    weights::Store,
};

/// Longest request body that a stand-in accepts.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Longest wait for in-flight requests at shutdown.
const DRAIN_TIMEOUT_SECS: u64 = 600;

/// Runs a stand-in until SIGTERM.
pub fn run(settings: Standin) -> ExitCode {
    let _log = log::start(&settings.log);
    match actix_web::rt::System::new().block_on(serve(settings)) {
        Ok(()) => ExitCode::from(cli::EXIT_OK),
        Err(error) => {
            tracing::error!(event = "failed", error = format!("{error:#}"));
            ExitCode::from(cli::EXIT_FAILED)
        }
    }
}

async fn serve(settings: Standin) -> eyre::Result<()> {
    let slots = Slots::new(settings.slots, settings.queue);
    let ledger = match &settings.ledger_file {
        Some(path) => Ledger::open(settings.max_ledger_entries, path)?,
        None => Ledger::new(settings.max_ledger_entries),
    };
    let failure = Injector::new(settings.failure.clone());
    let shared = Shared {
        ledger: ledger.clone(),
        failure: failure.clone(),
        said: Said::default(),
    };
    match settings.kind {
        Kind::Engine => {
            let engine = Engine::new(&settings, slots.clone(), ledger, failure);
            let data = web::Data::from(Arc::clone(&engine));
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Engine::configure);
            };
            let (server, address) = bind(&settings, shared, configure)?;
            serve_announced(&settings, server, address, slots, engine).await
        }
        Kind::Service => {
            let service = Service::new(&settings, slots.clone(), ledger, failure);
            let data = web::Data::new(service);
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Service::configure);
            };
            let (server, address) = bind(&settings, shared, configure)?;
            let capabilities = Arc::new(PlainService(settings.service.name.clone()));
            serve_announced(&settings, server, address, slots, capabilities).await
        }
        Kind::Weights => {
            let data = web::Data::new(Store::new(&settings.weights));
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Store::configure);
            };
            let (server, _) = bind(&settings, shared, configure)?;
            run_until_terminated(server, async |handle| handle.stop(false).await).await
        }
        Kind::Statsd => {
            let sink = Sink::default();
            let socket = UdpSocket::bind(settings.listen).await?;
            log_address("statsd", socket.local_addr()?);
            actix_web::rt::spawn(sink.clone().receive(socket));
            let data = web::Data::new(sink);
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Sink::configure);
            };
            let (server, _) = bind(&settings, shared, configure)?;
            run_until_terminated(server, async |handle| handle.stop(false).await).await
        }
    }
}

/// Paths that every kind of stand-in serves to tests.
const CONTROL_PATHS: [&str; 5] = [
    SAID_PATH,
    REJECTED_PATH,
    HEALTH_PATH,
    LEDGER_PATH,
    FAILURE_PATH,
];
const SAID_PATH: &str = "/said";
const REJECTED_PATH: &str = "/rejected";
const LEDGER_PATH: &str = "/ledger";
const FAILURE_PATH: &str = "/failure";

/// State behind [`CONTROL_PATHS`].
#[derive(Clone)]
struct Shared {
    ledger: Ledger,
    failure: Injector,
    said: Said,
}

fn bind(
    settings: &Standin,
    shared: Shared,
    configure: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> std::io::Result<(Server, SocketAddr)> {
    let said = shared.said.clone();
    let software = settings.announce.software.as_deref();
    let software = software.and_then(|software| HeaderValue::try_from(software).ok());
    let shared = web::Data::new(shared);
    let server = HttpServer::new(move || {
        let said = said.clone();
        let software = software.clone();
        App::new()
            .wrap_fn(move |request, service| {
                let is_controlled = CONTROL_PATHS.contains(&request.path());
                let rejection = if is_controlled { None } else { said.reject() };
                let answer = match rejection {
                    Some(rejection) => Either::Left(ready(Ok(request.into_response(rejection)))),
                    None => Either::Right(service.call(request)),
                };
                let (said, software) = (said.clone(), software.clone());
                async move {
                    let mut answer = answer.await?;
                    if let Some(software) = software {
                        let name = HeaderName::from_static(SOFTWARE);
                        answer.headers_mut().insert(name, software);
                    }
                    said.add_to(answer.headers_mut());
                    Ok(answer)
                }
            })
            .app_data(shared.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route(SAID_PATH, web::post().to(set_said))
            .route(REJECTED_PATH, web::get().to(list_rejected))
            .route(HEALTH_PATH, web::get().to(HttpResponse::Ok))
            .route(LEDGER_PATH, web::get().to(list_ledger))
            .route(FAILURE_PATH, web::post().to(set_failure))
            .configure(configure.clone())
    })
    // A caller that disconnects cancels its request, even before the answer has begun.
    .h1_allow_half_closed(false)
    .workers(settings.threads)
    .disable_signals()
    .shutdown_timeout(DRAIN_TIMEOUT_SECS)
    .bind(settings.listen)?;
    let address = server.addrs()[0];
    log_address("http", address);
    Ok((server.run(), address))
}

async fn list_ledger(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.ledger.entries())
}

async fn set_failure(shared: web::Data<Shared>, failure: web::Json<Failure>) -> HttpResponse {
    shared.failure.set(failure.into_inner());
    HttpResponse::Ok().json(json!({}))
}

async fn set_said(shared: web::Data<Shared>, fields: web::Json<Fields>) -> HttpResponse {
    if shared.said.set(fields.into_inner()) {
        HttpResponse::Ok().json(json!({}))
    } else {
        HttpResponse::BadRequest().json(json!({}))
    }
}

async fn list_rejected(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.said.rejected())
}

/// Serves an announced target until SIGTERM, then withdraws it and drains its requests.
async fn serve_announced(
    settings: &Standin,
    server: Server,
    address: SocketAddr,
    slots: Slots,
    capabilities: Arc<dyn Capabilities>,
) -> eyre::Result<()> {
    let announcer = Announcer::new(&settings.announce, address, slots.clone(), capabilities);
    let renewal = actix_web::rt::spawn(announcer.clone().run());
    let leave = async |handle: ServerHandle| {
        announcer.leave().await;
        renewal.abort();
        // Requests may still arrive for a moment; they are served, since leaving must not lose any.
        while slots.in_flight() > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        handle.stop(true).await;
    };
    run_until_terminated(server, leave).await
}

/// Runs a server until SIGTERM, then shuts it down with `stop`.
async fn run_until_terminated(
    server: Server,
    stop: impl AsyncFnOnce(ServerHandle),
) -> eyre::Result<()> {
    let handle = server.handle();
    let task = actix_web::rt::spawn(server);
    signal(SignalKind::terminate())?.recv().await;
    tracing::info!(event = "draining");
    stop(handle).await;
    task.await??;
    tracing::info!(event = "stopped");
    Ok(())
}

/// Logs a bound address; with port 0 only the log tells it.
fn log_address(role: &str, address: SocketAddr) {
    tracing::info!(event = "listening", role, address = %address);
}

impl Capabilities for Engine {
    fn role(&self) -> String {
        self.state().role
    }

    fn serves(&self) -> Value {
        let describe = |model: &crate::settings::Model| json!({"model": model.model, "version": model.version, "adapters": model.adapters});
        self.state().models.iter().map(describe).collect()
    }

    fn prefixes(&self) -> Vec<u64> {
        let cache = self.cache.lock();
        cache
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .newest()
    }
}

/// Capabilities of the plain service with this name.
struct PlainService(String);

impl Capabilities for PlainService {
    fn role(&self) -> String {
        "both".to_owned()
    }

    fn serves(&self) -> Value {
        json!([{"service": self.0, "version": ""}])
    }

    fn prefixes(&self) -> Vec<u64> {
        Vec::new()
    }
}
