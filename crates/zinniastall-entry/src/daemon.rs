//! Starts the components of an entry instance and shuts them down.

use std::{process::ExitCode, time::Duration};

use actix::Actor;
use actix_web::{
    App, HttpServer,
    dev::{Server, ServerHandle},
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time::timeout,
};
use zinniastall_settings::{
    cli, log, metrics,
    process::{incarnation, listening},
};
use zinniastall_wire::{hello::Purpose, link};

use crate::{
    callers, follow,
    links::{self, Acceptors, Addresses, Identity},
    publish::{Draining, Publisher},
    settings::Entry,
    spread::{self, actor::Dependencies},
    targets,
    view::{Shared, View},
};

/// Runs an entry instance until it receives a termination signal.
pub fn run(settings: Entry) -> ExitCode {
    let _log = log::start(&settings.log);
    match actix::System::new().block_on(serve(settings)) {
        Ok(()) => ExitCode::from(cli::EXIT_OK),
        Err(error) => {
            tracing::error!(event = "failed", error = format!("{error:#}"));
            ExitCode::from(cli::EXIT_FAILED)
        }
    }
}

async fn serve(settings: Entry) -> eyre::Result<()> {
    let shared_view = Shared::new(initial_view(&settings));
    let division = settings.callers.policy.retry_division();
    let publisher = Publisher::new(shared_view.clone(), division).start();
    let sockets = Sockets::bind(&settings).await?;
    let identity = sockets.identity(&settings, &shared_view.view())?;
    let metrics = metrics::Registry::start("zinniastall.entry", settings.statsd)?;
    let dependencies = Dependencies {
        identity: identity.clone(),
        shared_view: shared_view.clone(),
        publisher: publisher.clone(),
        recorder: metrics.recorder(),
    };
    let spread = spread::start(&settings, dependencies);
    let registry = targets::Registry {
        place: settings.place.clone(),
        announced: spread.clone().recipient(),
        left: spread.clone().recipient(),
    };
    let limits = settings.limits.clone();
    let service = callers::Service::new(
        shared_view.clone(),
        metrics.clone(),
        limits,
        &settings.callers,
    )
    .identity(identity.clone());
    let streams = callers::forward::Receiver::start(service.clone());
    let forwarding = streams.arbiter();
    let servers = Servers {
        callers: callers::server::start(
            &service,
            sockets.callers.into_std()?,
            settings.threads,
            settings.drain,
        )?,
        targets: serve_targets(&settings, registry, sockets.targets)?,
    };
    let follow = follow::start(
        &settings,
        identity.clone(),
        shared_view,
        publisher.clone(),
        metrics,
    );
    let acceptors = Acceptors::new(identity)
        .owner(Purpose::Gossip, spread::Gossip(spread.clone()))
        .owner(Purpose::Follow, follow)
        .owner(Purpose::Stream, streams);
    actix::spawn(links::serve(sockets.links, acceptors));
    let running = servers.start();
    signal(SignalKind::terminate())?.recv().await;
    tracing::info!(event = "draining");
    publisher.send(Draining).await?;
    drain(&service, settings.drain).await;
    running.stop().await?;
    spread.send(spread::messages::Stop).await?;
    forwarding.stop();
    tracing::info!(event = "stopped");
    Ok(())
}

/// Creates the targets' HTTP server, which runs on its own thread.
fn serve_targets(
    settings: &Entry,
    registry: targets::Registry,
    listener: TcpListener,
) -> eyre::Result<Server> {
    let server =
        HttpServer::new(move || App::new().configure(targets::configure(registry.clone())))
            .workers(1)
            .max_connections(targets::MAX_CONNECTIONS)
            .client_request_timeout(settings.limits.arrival)
            .disable_signals()
            .listen(listener.into_std()?)?;
    Ok(server.run())
}

/// Waits until no request is in progress, or until the limit is reached; requests that are still in
/// progress then are answered as unknown.
///
/// The listeners stay open meanwhile, so that new callers are redirected instead of finding a
/// closed port.
async fn drain(service: &callers::Service, limit: Duration) {
    if timeout(limit, service.drained()).await.is_err() {
        tracing::warn!(event = "drain-cut", requests = service.progress.count());
        service.end_requests();
    }
}

/// HTTP servers of an instance.
struct Servers {
    callers: Server,
    targets: Server,
}

/// Running HTTP servers, the callers' server first.
struct Running(Vec<(ServerHandle, JoinHandle<std::io::Result<()>>)>);

impl Servers {
    fn start(self) -> Running {
        let servers = [self.callers, self.targets];
        let start = |server: Server| (server.handle(), actix::spawn(server));
        Running(servers.into_iter().map(start).collect())
    }
}

impl Running {
    /// Stops the servers one after the other; each completes its requests first.
    async fn stop(self) -> eyre::Result<()> {
        for (handle, task) in self.0 {
            handle.stop(true).await;
            task.await??;
        }
        Ok(())
    }
}

/// Sockets of an instance. They are bound before anything is started, because the other components
/// advertise their addresses.
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

fn initial_view(settings: &Entry) -> View {
    View::new(
        settings.instance.clone(),
        incarnation(),
        settings.place.clone(),
    )
}
