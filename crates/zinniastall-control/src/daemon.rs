//! Starts the parts of a control instance and waits for its end.

use std::{cell::RefCell, net::SocketAddr, process::ExitCode, rc::Rc, sync::Arc, time::Duration};

use actix::{Addr, Context};
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    sync::{oneshot, watch},
    time,
};
use zinniastall_model::state::State;
use zinniastall_settings::{
    cli, log, metrics,
    process::{incarnation, listening},
};
use zinniastall_store::Store;
use zinniastall_wire::{
    feed::Feed,
    hello::{Hello, Purpose, VERSION},
    link,
};

use crate::{
    control::{Control, Failure, Members, Start, Stop},
    hub::Hub,
    links::{Acceptor, Identity},
    peers,
    recall::Registry,
    rpc::{self, Operators},
    settings,
};

/// Prefix of metric names.
const METRICS_PREFIX: &str = "zinniastall.control";
/// Interval at which the hub's list of group members is refreshed for linked instances.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a control instance until it is told to stop.
pub fn run(settings: settings::Control) -> ExitCode {
    let _log = log::start(&settings.log);
    let system = actix::System::new();
    let served = system.block_on(serve(Arc::new(settings)));
    match served {
        Ok(()) => ExitCode::from(cli::EXIT_OK),
        Err(error) => {
            tracing::error!(event = "failed", error = format!("{error:#}"));
            ExitCode::from(cli::EXIT_FAILED)
        }
    }
}

/// A running replica without an operator interface.
#[derive(Debug)]
pub struct Running {
    /// The actor that owns the control state.
    pub control: Addr<Control>,
    /// Links to gateway instances.
    pub hub: Hub,
    /// Committed configuration.
    pub feed: watch::Receiver<Feed>,
    /// Targets of this availability zone that other replicas report.
    pub registry: Registry,
    /// Receives the reason why the replica cannot go on.
    pub failure: oneshot::Receiver<Failure>,
    /// What the replica reports about itself on links.
    pub identity: Identity,
}

/// Opens the data directory and starts a replica on this thread. `service` is the address of the
/// operator interface, to which other replicas redirect operators.
///
/// # Errors
///
/// Fails if the directory cannot be opened or the address for links cannot be bound.
pub async fn start(
    settings: &Arc<settings::Control>,
    service: SocketAddr,
) -> eyre::Result<Running> {
    let (store, restored) = Store::open(&settings.data)?;
    let links = link::listen(settings.listen.links).await?;
    let datagrams = bind_datagrams(links.local_addr()?).await;
    let identity = identity(settings, links.local_addr()?, service);
    listening("links", links.local_addr()?);
    let (feed, receiver) =
        watch::channel(Feed::new(Arc::new(State::default()), settings.limits.tail));
    let (failed, failure) = oneshot::channel();
    let registry = Registry::default();
    let hub = Hub::new(receiver.clone());
    let control = start_actor(Start {
        settings: Arc::clone(settings),
        identity: Rc::clone(&identity),
        store,
        restored,
        datagrams,
        registry: registry.clone(),
        hub: hub.clone(),
        feed,
        failed,
    })?;
    actix::spawn(hub.clone().run());
    actix::spawn(hub.clone().read_index(control.clone().recipient()));
    actix::spawn(hub.clone().record_suspects(control.clone().recipient()));
    actix::spawn(hub.clone().agree_on_versions(control.clone().recipient()));
    actix::spawn(list_members(control.clone(), hub.clone()));
    let acceptor = Acceptor {
        identity: Rc::clone(&identity),
        control: control.clone(),
        feed: receiver.clone(),
        hub: hub.clone(),
        timing: peers::Timing::new(settings.timing.election),
    };
    actix::spawn(acceptor.run(links, settings.limits.links));
    Ok(Running {
        control,
        hub,
        feed: receiver,
        registry,
        failure,
        identity,
    })
}

/// Binds a datagram socket to the address of the links. A group works without datagrams, but after
/// a power loss of all replicas it then learns three round trips later what is committed.
async fn bind_datagrams(address: SocketAddr) -> Option<UdpSocket> {
    let bound = UdpSocket::bind(address).await;
    bound
        .inspect_err(
            |error| tracing::warn!(event = "no-datagrams", address = %address, error = %error),
        )
        .ok()
}

/// Keeps the hub's list of replicas up to date.
async fn list_members(control: Addr<Control>, hub: Hub) {
    loop {
        if let Ok(members) = control.send(Members).await {
            hub.set_replicas(members);
        }
        time::sleep(MEMBERS_POLL_INTERVAL).await;
    }
}

async fn serve(settings: Arc<settings::Control>) -> eyre::Result<()> {
    let metrics = metrics::Registry::start(METRICS_PREFIX, settings.statsd)?;
    let operators = rpc::bind(settings.listen.operators)?;
    let running = start(&settings, operators.local_addr()?).await?;
    listening("operators", operators.local_addr()?);
    let hello = running.identity.borrow().clone();
    let service = Operators::new(
        running.control.clone(),
        running.feed,
        metrics,
        hello,
        settings.limits.watches,
    )
    .limits(running.hub.limits().clone())
    .reach(running.hub.reach().clone());
    let server = rpc::Server::start(service, operators)?;
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminated.recv() => {}
        Ok(failure) = running.failure => return Err(failure.into()),
    }
    tracing::info!(event = "draining");
    // Operators' calls are still accepted while leadership is transferred, and answered with the
    // leader's address.
    running.control.send(Stop).await?.await?;
    server.stop().await;
    tracing::info!(event = "stopped");
    Ok(())
}

fn start_actor(start: Start) -> eyre::Result<Addr<Control>> {
    let mut context = Context::new();
    let control = Control::create(start, &mut context)?;
    Ok(context.run(control))
}

fn identity(settings: &settings::Control, links: SocketAddr, operators: SocketAddr) -> Identity {
    Rc::new(RefCell::new(Hello {
        version: VERSION,
        purpose: Purpose::Replica,
        cluster: None,
        instance: settings.instance.clone(),
        incarnation: incarnation(),
        place: settings.place.clone(),
        links: settings.advertise.links.unwrap_or(links).to_string(),
        service: settings
            .advertise
            .operators
            .unwrap_or(operators)
            .to_string(),
    }))
}
