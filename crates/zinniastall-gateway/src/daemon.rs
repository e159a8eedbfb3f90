//! Starts the parts of a gateway instance.

use std::{
    net::{SocketAddr, TcpListener as Listener},
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use actix::Arbiter;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::oneshot,
    task::JoinHandle,
    time,
};
use zinniastall_model::{
    id,
    place::Place,
    presence::{Load, Presence},
};
use zinniastall_wire::hello::{Hello, Purpose, VERSION};

use crate::{
    figures::Figures,
    freshness::Lease,
    knowledge::{Knowledge, Replica},
    names::Names,
    neighbours::{self, Shared},
    path::{Proxy, serve},
    policy::Policy,
    uplink::Uplinks,
    view::{Board, Drain, View},
};

/// Time between two rounds of housekeeping on the traffic thread.
const HOUSEKEEPING: Duration = Duration::from_millis(250);
/// Time between two looks at whether nothing is in progress any more.
const LOOK: Duration = Duration::from_millis(50);

/// What a gateway instance starts from.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance; it survives restarts.
    pub instance: id::Instance,
    /// Number of this run.
    pub incarnation: id::Incarnation,
    /// Where it runs.
    pub place: Place,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for instances that pass requests on.
    pub forward: SocketAddr,
    /// Links of control replicas.
    pub seeds: Vec<Replica>,
    /// Names of header fields.
    pub names: Names,
    /// Times and weights of the deployment.
    pub policy: Policy,
}

/// A running gateway instance.
#[derive(Debug)]
pub struct Gateway {
    /// What it knows of the rest of the system.
    pub board: Board,
    /// Links to control replicas.
    pub uplinks: Rc<Uplinks>,
    /// Counters and histograms.
    pub figures: Figures,
    /// Address for callers, as it was bound.
    pub callers: SocketAddr,
    drain: Option<oneshot::Sender<Ending>>,
}

/// What the traffic thread tells the control thread.
#[derive(Debug, Default)]
struct Told {
    load: Mutex<Vec<Load>>,
}

impl Gateway {
    /// Binds the addresses and starts all parts.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn start(settings: &Settings) -> std::io::Result<Self> {
        let view = View::new(settings.instance.clone(), settings.place.clone());
        let board = Board::new(view).leased(Lease::new(settings.policy.lease));
        let told = Arc::new(Told::default());
        let figures = Figures::new();
        let callers = bind(settings.callers)?;
        let forward = bind(settings.forward)?;
        let addresses = (callers.local_addr()?, forward.local_addr()?);
        let words = std::net::UdpSocket::bind(addresses.1)?;
        words.set_nonblocking(true)?;
        tracing::info!(event = "listening", callers = %addresses.0, forward = %addresses.1);
        let traffic = (
            board.clone(),
            settings.names.clone(),
            settings.policy,
            figures.clone(),
        );
        let shared = Arc::clone(&told);
        let (drain, ordered) = oneshot::channel();
        Arbiter::new().spawn_fn(move || {
            let (board, names, policy, figures) = traffic;
            let traffic = Rc::new(Proxy::new(board, names, policy, figures));
            actix::spawn(run(traffic, [callers, forward], words, shared, ordered));
        });
        let uplinks = link(settings, addresses, &board, &told);
        Ok(Self {
            board,
            uplinks,
            figures,
            callers: addresses.0,
            drain: Some(drain),
        })
    }

    /// Takes no more requests: says so to all, waits until callers have had time to turn elsewhere and
    /// none is in progress, `longest` at most.
    pub async fn drain(&mut self, least: Duration, longest: Duration) {
        let since = Instant::now();
        let end = since + longest;
        self.board.drain(Drain { since, end });
        self.uplinks.announce();
        let Some(drain) = self.drain.take() else {
            return;
        };
        let (done, ended) = oneshot::channel();
        let order = Ending {
            least,
            longest,
            done,
        };
        // Without a traffic thread there is nothing to wait for.
        if drain.send(order).is_ok() {
            let _ = ended.await;
        }
    }
}

fn bind(address: SocketAddr) -> std::io::Result<Listener> {
    let listener = Listener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn link(
    settings: &Settings,
    addresses: (SocketAddr, SocketAddr),
    board: &Board,
    told: &Arc<Told>,
) -> Rc<Uplinks> {
    let hello = Hello {
        version: VERSION,
        purpose: Purpose::Hub,
        cluster: None,
        instance: settings.instance.clone(),
        incarnation: settings.incarnation,
        place: settings.place.clone(),
        links: addresses.1.to_string(),
        service: addresses.0.to_string(),
    };
    let knowledge = Knowledge::new(settings.instance.clone(), settings.place.clone());
    let present = present(hello.clone(), board.clone(), Arc::clone(told));
    let seeds = settings.seeds.clone();
    Uplinks::start(hello, present, knowledge, board.clone(), seeds)
}

fn present(hello: Hello, board: Board, told: Arc<Told>) -> Rc<dyn Fn() -> Presence> {
    Rc::new(move || Presence {
        instance: hello.instance.clone(),
        incarnation: hello.incarnation,
        place: hello.place.clone(),
        callers: hello.service.clone(),
        forward: hello.links.clone(),
        ready: board.is_ready(),
        load: told
            .load
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
    })
}

/// Tells the traffic thread to end.
#[derive(Debug)]
struct Ending {
    least: Duration,
    longest: Duration,
    done: oneshot::Sender<()>,
}

/// Serves callers and instances on the traffic thread until it is told to end.
async fn run(
    traffic: Rc<Proxy>,
    listeners: [Listener; 2],
    words: std::net::UdpSocket,
    told: Arc<Told>,
    mut drain: oneshot::Receiver<Ending>,
) {
    let [callers, forward] = listeners.map(TcpListener::from_std);
    let (Ok(callers), Ok(forward)) = (callers, forward) else {
        tracing::error!(event = "failed", error = "a listener cannot be registered");
        actix::System::current().stop_with_code(1);
        return;
    };
    match UdpSocket::from_std(words) {
        Ok(socket) => {
            let shared = Shared {
                board: traffic.state.clone(),
                books: Rc::clone(&traffic.tracker),
                neighbours: Rc::clone(&traffic.neighbours),
                claims: Rc::clone(&traffic.claims),
                quotas: Rc::clone(&traffic.quotas),
                suspects: Rc::clone(&traffic.suspects),
                news: Rc::clone(&traffic.suspects_changed),
            };
            actix::spawn(neighbours::run(Rc::new(socket), shared));
        }
        Err(error) => tracing::error!(event = "neighbours-unheard", error = %error),
    }
    let accepting = [
        actix::spawn(serve::accept(Rc::clone(&traffic), callers, false)),
        actix::spawn(serve::accept(Rc::clone(&traffic), forward, true)),
    ];
    let mut tick = time::interval(HOUSEKEEPING);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                traffic.pool.sweep(Instant::now());
                let load = traffic.tracker.borrow().load();
                let view = traffic.state.view();
                let instances = view.instances.by_name().values();
                let ready = instances.filter(|held| held.ready).count();
                traffic.metrics.know(view.revision(), view.targets.by_name().len(), ready);
                traffic.metrics.connect(traffic.connections.open());
                traffic.keep_suspects();
                let quarantined = traffic.suspects.borrow().quarantined();
                traffic.metrics.quarantine(quarantined);
                *told.load.lock().unwrap_or_else(PoisonError::into_inner) = load;
            }
            order = &mut drain => {
                if let Ok(order) = order {
                    end(&traffic, accepting, order).await;
                }
                return;
            }
        }
    }
}

/// Ends in order. Connections are taken for as long as callers may not know of the end, and those that
/// were taken are served to theirs: a process that stopped right after a look at its counts would cut
/// the request that came between.
async fn end(traffic: &Proxy, accepting: [JoinHandle<()>; 2], order: Ending) {
    let since = Instant::now();
    let connections = &traffic.connections;
    let over = |since: Instant| since.elapsed() >= order.longest;
    while !over(since) && since.elapsed() < order.least {
        time::sleep(LOOK).await;
    }
    for task in accepting {
        task.abort();
    }
    while !over(since) && connections.open() > 0 {
        time::sleep(LOOK).await;
    }
    let (requests, open) = (connections.requests(), connections.open());
    tracing::info!(event = "drained", requests, connections = open);
    // Whoever gave the order may have gone.
    let _ = order.done.send(());
}
