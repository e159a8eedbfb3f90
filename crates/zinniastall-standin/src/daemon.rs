//! Starts a stand-in and waits for its end.

use std::{net::SocketAddr, process::ExitCode, sync::Arc};

use actix_web::{
    App, HttpResponse, HttpServer,
    dev::{Server, ServerHandle},
    web,
};
use serde_json::{Value, json};
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
};
use zinniastall_settings::{cli, log};

use crate::{
    announce::{Announcer, Offer},
    engine::Engine,
    failure::{Failure, Switch},
    ledger::Ledger,
    service::Service,
    settings::{Kind, Standin},
    slots::Slots,
    statsd::Sink,
    weights::Store,
};

/// Longest body that a stand-in takes, in bytes.
const BODY: usize = 64 << 20;
/// Longest wait for requests in progress at a shutdown, in seconds.
const DRAIN: u64 = 600;

/// Runs a stand-in until it is told to stop.
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
        Some(path) => Ledger::open(settings.ledger, path)?,
        None => Ledger::new(settings.ledger),
    };
    let failure = Switch::new(settings.failure);
    let base = Base {
        ledger: ledger.clone(),
        failure: failure.clone(),
    };
    match settings.kind {
        Kind::Engine => {
            let engine = Engine::new(&settings, slots.clone(), ledger, failure);
            let data = web::Data::from(Arc::clone(&engine));
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Engine::configure);
            };
            let (server, address) = bind(&settings, base, configure)?;
            announce(&settings, server, address, slots, engine).await
        }
        Kind::Service => {
            let service = Service::new(&settings, slots.clone(), ledger, failure);
            let data = web::Data::new(service);
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Service::configure);
            };
            let (server, address) = bind(&settings, base, configure)?;
            let offer = Arc::new(Plain(settings.service.name.clone()));
            announce(&settings, server, address, slots, offer).await
        }
        Kind::Weights => {
            let data = web::Data::new(Store::new(&settings.weights));
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Store::configure);
            };
            let (server, _) = bind(&settings, base, configure)?;
            until_told(server, async |handle| handle.stop(false).await).await
        }
        Kind::Statsd => {
            let sink = Sink::default();
            let socket = UdpSocket::bind(settings.listen).await?;
            listening("statsd", socket.local_addr()?);
            actix_web::rt::spawn(sink.clone().receive(socket));
            let data = web::Data::new(sink);
            let configure = move |config: &mut web::ServiceConfig| {
                config.app_data(data.clone()).configure(Sink::configure);
            };
            let (server, _) = bind(&settings, base, configure)?;
            until_told(server, async |handle| handle.stop(false).await).await
        }
    }
}

/// What every kind of stand-in offers to tests.
#[derive(Clone)]
struct Base {
    ledger: Ledger,
    failure: Switch,
}

fn bind(
    settings: &Standin,
    base: Base,
    configure: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> std::io::Result<(Server, SocketAddr)> {
    let base = web::Data::new(base);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(base.clone())
            .app_data(web::PayloadConfig::new(BODY))
            .route("/ledger", web::get().to(ledger))
            .route("/failure", web::post().to(fail))
            .configure(configure.clone())
    })
    // A caller that goes away cancels its request, also while the answer has not begun.
    .h1_allow_half_closed(false)
    .workers(settings.threads)
    .disable_signals()
    .shutdown_timeout(DRAIN)
    .bind(settings.listen)?;
    let address = server.addrs()[0];
    listening("http", address);
    Ok((server.run(), address))
}

async fn ledger(base: web::Data<Base>) -> HttpResponse {
    HttpResponse::Ok().json(base.ledger.entries())
}

async fn fail(base: web::Data<Base>, failure: web::Json<Failure>) -> HttpResponse {
    base.failure.set(failure.into_inner());
    HttpResponse::Ok().json(json!({}))
}

async fn announce(
    settings: &Standin,
    server: Server,
    address: SocketAddr,
    slots: Slots,
    offer: Arc<dyn Offer>,
) -> eyre::Result<()> {
    let announcer = Announcer::new(&settings.announce, address, slots.clone(), offer);
    let renewing = actix_web::rt::spawn(announcer.clone().run());
    let leave = async |handle: ServerHandle| {
        announcer.leave().await;
        renewing.abort();
        // New work may still arrive for a moment; it is served, since leaving must not lose any.
        while slots.busy() > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        handle.stop(true).await;
    };
    until_told(server, leave).await
}

async fn until_told(server: Server, stop: impl AsyncFnOnce(ServerHandle)) -> eyre::Result<()> {
    let handle = server.handle();
    let task = actix_web::rt::spawn(server);
    signal(SignalKind::terminate())?.recv().await;
    tracing::info!(event = "draining");
    stop(handle).await;
    task.await??;
    tracing::info!(event = "stopped");
    Ok(())
}

/// Reports a bound address: with port 0 nobody could know it otherwise.
fn listening(role: &str, address: SocketAddr) {
    tracing::info!(event = "listening", role, address = %address);
}

impl Offer for Engine {
    fn role(&self) -> String {
        self.state().role
    }

    fn serves(&self) -> Value {
        let serving = |held: &crate::settings::Model| json!({"model": held.model, "version": held.version, "adapters": held.adapters});
        self.state().models.iter().map(serving).collect()
    }

    fn prefixes(&self) -> Vec<u64> {
        let cache = self.cache.lock();
        cache
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .newest()
    }
}

/// A plain service's offer.
struct Plain(String);

impl Offer for Plain {
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
