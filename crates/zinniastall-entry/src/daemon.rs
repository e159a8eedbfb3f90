//! Starts the parts of an entry instance and waits for its end.

use std::{process::ExitCode, sync::Arc};

use actix::Actor;
use actix_web::{App, HttpServer};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};
use zinniastall_settings::{
    cli, log,
    metrics::Hub,
    process::{incarnation, listening},
};
use zinniastall_wire::{hello::Purpose, link};

use crate::{
    callers, follow,
    links::{self, Acceptors, Addresses, Identity},
    publish::Publisher,
    settings::Entry,
    spread::{self, actor::Surroundings},
    targets::{self, Desk},
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
    let sockets = Sockets::bind(&settings).await?;
    let identity = sockets.identity(&settings, &board.view())?;
    let hub = Hub::start("zinniastall.entry", settings.statsd)?;
    let around = Surroundings {
        identity: identity.clone(),
        board: board.clone(),
        publisher: publisher.clone(),
        recorder: hub.recorder(),
    };
    let spread = spread::start(&settings, around);
    let desk = Desk {
        place: settings.place.clone(),
        announced: spread.clone().recipient(),
        left: spread.clone().recipient(),
    };
    let limits = settings.limits.clone();
    let service = callers::Service::new(board.clone(), hub.clone(), limits, &settings.callers)
        .identity(identity.clone());
    let streams = callers::forward::Receiver::start(service.clone());
    let forwarding = streams.arbiter();
    let drained = service.clone();
    let threads = settings.threads;
    let callers = HttpServer::new(move || App::new().configure(|config| service.configure(config)))
        .workers(threads)
        .max_connections((settings.limits.connections / threads).max(1))
        .client_request_timeout(settings.limits.arrival)
        .h1_allow_half_closed(false)
        .shutdown_timeout(settings.drain.as_secs())
        .disable_signals()
        .listen(sockets.callers.into_std()?)?;
    let targets = HttpServer::new(move || App::new().configure(targets::configure(desk.clone())))
        .workers(1)
        .max_connections(targets::CONNECTIONS)
        .client_request_timeout(settings.limits.arrival)
        .disable_signals()
        .listen(sockets.targets.into_std()?)?;
    let follow = follow::start(
        &settings,
        identity.clone(),
        board.clone(),
        publisher.clone(),
        hub.clone(),
    );
    let acceptors = Acceptors::new(identity)
        .owner(Purpose::Gossip, spread::Gossip(spread.clone()))
        .owner(Purpose::Follow, follow)
        .owner(Purpose::Stream, streams);
    actix::spawn(links::serve(sockets.links, acceptors));
    let callers = callers.run();
    let targets = targets.run();
    let (callers_handle, targets_handle) = (callers.handle(), targets.handle());
    let tasks = (actix::spawn(callers), actix::spawn(targets));
    signal(SignalKind::terminate())?.recv().await;
    tracing::info!(event = "draining");
    publisher.send(crate::publish::Draining).await?;
    // The listeners stay open until nothing is in progress: a caller who comes meanwhile is told
    // where to go instead of finding a closed port.
    if tokio::time::timeout(settings.drain, drained.drained())
        .await
        .is_err()
    {
        tracing::warn!(event = "drain-cut", requests = drained.progress.count());
    }
    callers_handle.stop(true).await;
    targets_handle.stop(true).await;
    tasks.0.await??;
    tasks.1.await??;
    spread.send(spread::messages::Stop).await?;
    forwarding.stop();
    tracing::info!(event = "stopped");
    Ok(())
}

/// Sockets of an instance, bound before anything is started: each part says its addresses to others.
struct Sockets {
    callers: TcpListener,
    targets: TcpListener,
    links: TcpListener,
}

impl Sockets {
    async fn bind(settings: &Entry) -> eyre::Result<Self> {
        let listen = &settings.listen;
        let sockets = Self {
            callers: link::listen(listen.callers).await?,
            targets: link::listen(listen.targets).await?,
            links: link::listen(listen.links).await?,
        };
        listening("callers", sockets.callers.local_addr()?);
        listening("targets", sockets.targets.local_addr()?);
        listening("links", sockets.links.local_addr()?);
        Ok(sockets)
    }

    fn identity(&self, settings: &Entry, view: &View) -> eyre::Result<Identity> {
        let advertise = &settings.advertise;
        let callers = advertise.callers.unwrap_or(self.callers.local_addr()?);
        let targets = advertise.targets.unwrap_or(self.targets.local_addr()?);
        let links = advertise.links.unwrap_or(self.links.local_addr()?);
        let addresses = Addresses {
            callers: callers.to_string(),
            targets: targets.to_string(),
            links: links.to_string(),
        };
        let (instance, place) = (view.instance.clone(), view.place.clone());
        Ok(Identity::new(instance, view.incarnation, place, addresses))
    }
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
