//! Starts the parts of an entry instance and waits for its end.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::SystemTime};

use actix::Actor;
use actix_web::{App, HttpServer};
use tokio::signal::unix::{SignalKind, signal};
use zinniastall_settings::{cli, log, metrics::Hub};
use zinniastall_wire::link;

use crate::{
    callers,
    links::{self, Acceptors, Addresses, Identity},
    publish::Publisher,
    settings::Entry,
    targets,
    view::{Board, View},
};

/// Runs an entry instance until it is told to stop.
pub fn run(settings: Entry) -> ExitCode {
    log::start(&settings.log);
    match actix::System::new().block_on(serve(settings)) {
        Ok(()) => ExitCode::from(cli::EXIT_OK),
        Err(error) => {
            tracing::error!(event = "failed", error = format!("{error:#}"));
            ExitCode::from(cli::EXIT_FAILED)
        }
    }
}

async fn serve(settings: Entry) -> eyre::Result<()> {
    let board = Board::new(first_view(&settings));
    let publisher = Publisher::new(board.clone()).start();
    let hub = Hub::start("zinniastall.entry", settings.statsd)?;
    let service = callers::Service::new(board.clone(), hub.clone(), settings.limits.clone());
    let threads = settings.threads;
    let callers = HttpServer::new(move || App::new().configure(|config| service.configure(config)))
        .workers(threads)
        .max_connections((settings.limits.connections / threads).max(1))
        .client_request_timeout(settings.limits.arrival)
        .h1_allow_half_closed(false)
        .shutdown_timeout(settings.drain.as_secs())
        .disable_signals()
        .bind(settings.listen.callers)?;
    listening("callers", callers.addrs()[0]);
    let targets = HttpServer::new(|| App::new().configure(targets::configure))
        .workers(1)
        .disable_signals()
        .bind(settings.listen.targets)?;
    listening("targets", targets.addrs()[0]);
    let links = link::listen(settings.listen.links).await?;
    listening("links", links.local_addr()?);
    let bound = Bound {
        callers: callers.addrs()[0],
        targets: targets.addrs()[0],
        links: links.local_addr()?,
    };
    let identity = identity(&settings, &board.view(), &bound);
    let acceptors = Acceptors::new(identity);
    actix::spawn(links::serve(links, acceptors));
    let callers = callers.run();
    let targets = targets.run();
    let (callers_handle, targets_handle) = (callers.handle(), targets.handle());
    let tasks = (actix::spawn(callers), actix::spawn(targets));
    signal(SignalKind::terminate())?.recv().await;
    tracing::info!(event = "draining");
    publisher.send(crate::publish::Draining).await?;
    callers_handle.stop(true).await;
    targets_handle.stop(true).await;
    tasks.0.await??;
    tasks.1.await??;
    tracing::info!(event = "stopped");
    Ok(())
}

/// Reports a bound address: with port 0 nobody could know it otherwise.
fn listening(role: &str, address: SocketAddr) {
    tracing::info!(event = "listening", role, address = %address);
}

/// Addresses that were bound.
struct Bound {
    callers: SocketAddr,
    targets: SocketAddr,
    links: SocketAddr,
}

fn identity(settings: &Entry, view: &View, bound: &Bound) -> Identity {
    let advertise = &settings.advertise;
    let addresses = Addresses {
        callers: advertise.callers.unwrap_or(bound.callers).to_string(),
        targets: advertise.targets.unwrap_or(bound.targets).to_string(),
        links: advertise.links.unwrap_or(bound.links).to_string(),
    };
    Identity::new(
        view.instance.clone(),
        view.incarnation,
        view.place.clone(),
        addresses,
    )
}

fn first_view(settings: &Entry) -> View {
    View {
        instance: settings.instance.clone(),
        incarnation: incarnation(),
        place: settings.place.clone(),
        state: None,
        connected: false,
        draining: false,
        peers: Arc::default(),
        targets: Arc::default(),
        digests: Arc::default(),
    }
}

/// Makes a number for this run that is higher than earlier ones as long as the clock was not set
/// back; in milliseconds since the epoch.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
