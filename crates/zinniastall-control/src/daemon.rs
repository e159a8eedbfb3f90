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
    links::{Acceptor, Card},
    peers,
    recall::Told,
    rpc::{self, Operators},
    settings,
};

/// Prefix of the metrics' names.
const METRICS: &str = "zinniastall.control";
/// Time between two looks at the group's members, for those that are linked with this replica.
const MEMBERS: Duration = Duration::from_secs(1);

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

/// A running replica, without an interface for operators.
#[derive(Debug)]
pub struct Running {
    /// The actor that owns control state.
    pub control: Addr<Control>,
    /// Links to gateway instances.
    pub hub: Hub,
    /// Configuration as it is committed.
    pub feed: watch::Receiver<Feed>,
    /// What other replicas say of the targets of this availability zone.
    pub told: Told,
    /// Says why the replica cannot go on.
    pub failure: oneshot::Receiver<Failure>,
    /// What the replica says of itself on links.
    pub card: Card,
}

/// Opens the data folder and starts a replica on this thread; `service` is the address of the
/// interface for operators, to which other replicas send them.
///
/// # Errors
///
/// Fails when the folder cannot be opened or the address for links cannot be bound.
pub async fn start(
    settings: &Arc<settings::Control>,
    service: SocketAddr,
) -> eyre::Result<Running> {
    let (store, restored) = Store::open(&settings.data)?;
    let links = link::listen(settings.listen.links).await?;
    let datagrams = bind_datagrams(links.local_addr()?).await;
    let card = card(settings, links.local_addr()?, service);
    listening("links", links.local_addr()?);
    let (feed, news) = watch::channel(Feed::new(Arc::new(State::default()), settings.limits.tail));
    let (failed, failure) = oneshot::channel();
    let told = Told::default();
    let control = start_actor(Start {
        settings: Arc::clone(settings),
        card: Rc::clone(&card),
        store,
        restored,
        datagrams,
        told: told.clone(),
        feed,
        failed,
    })?;
    let hub = Hub::new(news.clone());
    actix::spawn(hub.clone().run());
    actix::spawn(hub.clone().vouch(control.clone().recipient()));
    actix::spawn(hub.clone().keep(control.clone().recipient()));
    actix::spawn(list_members(control.clone(), hub.clone()));
    let acceptor = Acceptor {
        card: Rc::clone(&card),
        control: control.clone(),
        feed: news.clone(),
        hub: hub.clone(),
        timing: peers::Timing::new(settings.timing.election),
    };
    actix::spawn(acceptor.run(links, settings.limits.links));
    Ok(Running {
        control,
        hub,
        feed: news,
        told,
        failure,
        card,
    })
}

/// Binds datagrams to the address of the links. A group works without them: after a loss of all power its
/// replicas then know what is committed three round trips later.
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
        time::sleep(MEMBERS).await;
    }
}

async fn serve(settings: Arc<settings::Control>) -> eyre::Result<()> {
    let metrics = metrics::Registry::start(METRICS, settings.statsd)?;
    let operators = rpc::bind(settings.listen.operators)?;
    let running = start(&settings, operators.local_addr()?).await?;
    listening("operators", operators.local_addr()?);
    let hello = running.card.borrow().clone();
    let service = Operators::new(
        running.control.clone(),
        running.feed,
        metrics,
        hello,
        settings.limits.watches,
    );
    let server = rpc::Server::start(service, operators)?;
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminated.recv() => {}
        Ok(failure) = running.failure => return Err(failure.into()),
    }
    tracing::info!(event = "draining");
    // Operators' calls are still taken while leadership passes on, and told who leads.
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

fn card(settings: &settings::Control, links: SocketAddr, operators: SocketAddr) -> Card {
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
