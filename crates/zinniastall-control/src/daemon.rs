//! Starts the parts of a control instance and waits for its end.

use std::{cell::RefCell, process::ExitCode, rc::Rc, sync::Arc};

use actix::{Addr, Context};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{oneshot, watch},
};
use zinniastall_model::state::State;
use zinniastall_settings::{
    cli, log,
    metrics::Hub,
    process::{incarnation, listening},
};
use zinniastall_store::Store;
use zinniastall_wire::{
    feed::Feed,
    hello::{Hello, Purpose, VERSION},
    link,
};

use crate::{
    control::{Control, Start, Stop},
    links::{Acceptor, Card},
    peers,
    rpc::{self, Operators},
    settings,
};

/// Prefix of the metrics' names.
const METRICS: &str = "zinniastall.control";

/// Runs a control instance until it is told to stop.
pub fn run(settings: settings::Control) -> ExitCode {
    log::start(&settings.log);
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

async fn serve(settings: Arc<settings::Control>) -> eyre::Result<()> {
    let (store, restored) = Store::open(&settings.data)?;
    let metrics = Hub::start(METRICS, settings.statsd)?;
    let links = link::listen(settings.listen.links).await?;
    let operators = rpc::bind(settings.listen.operators)?;
    let card = card(&settings, links.local_addr()?, operators.local_addr()?);
    listening("links", links.local_addr()?);
    listening("operators", operators.local_addr()?);
    let (feed, news) = watch::channel(Feed::new(Arc::new(State::default()), settings.limits.tail));
    let (failed, failure) = oneshot::channel();
    let start = Start {
        settings: Arc::clone(&settings),
        card: Rc::clone(&card),
        store,
        restored,
        feed,
        failed,
    };
    let control = start_actor(start)?;
    let acceptor = Acceptor {
        card: Rc::clone(&card),
        control: control.clone(),
        feed: news.clone(),
        timing: peers::Timing::new(settings.timing.election),
    };
    actix::spawn(acceptor.run(links, settings.limits.links));
    let hello = card.borrow().clone();
    let service = Operators::new(
        control.clone(),
        news,
        metrics,
        hello,
        settings.limits.watches,
    );
    let server = rpc::Server::start(service, operators)?;
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminated.recv() => {}
        Ok(failure) = failure => return Err(failure.into()),
    }
    tracing::info!(event = "draining");
    // Operators' calls are still taken while leadership passes on, and told who leads.
    control.send(Stop).await?.await?;
    server.stop().await;
    tracing::info!(event = "stopped");
    Ok(())
}

fn start_actor(start: Start) -> eyre::Result<Addr<Control>> {
    let mut context = Context::new();
    let control = Control::create(start, &mut context)?;
    Ok(context.run(control))
}

fn card(
    settings: &settings::Control,
    links: std::net::SocketAddr,
    operators: std::net::SocketAddr,
) -> Card {
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
