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
    cluster_state::{Replica, State},
    freshness::Lease,
    headers::Names,
    metrics::Metrics,
    neighbours::{self, Context},
    path::{Proxy, serve},
    policy::Policy,
    uplink::Uplinks,
    view::{Drain, Shared, View},
};

/// Time between two rounds of housekeeping on the traffic thread.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at whether nothing is in progress any more.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    pub state: Shared,
    /// Links to control replicas.
    pub uplinks: Rc<Uplinks>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Address for callers, as it was bound.
    pub callers: SocketAddr,
    drain: Option<oneshot::Sender<DrainOrder>>,
}

/// What the traffic thread tells the control thread.
#[derive(Debug, Default)]
struct SharedLoad {
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
        let state = Shared::new(view).with_lease(Lease::new(settings.policy.lease));
        let shared_load = Arc::new(SharedLoad::default());
        let metrics = Metrics::new();
        let callers = bind(settings.callers)?;
        let forward = bind(settings.forward)?;
        let addresses = (callers.local_addr()?, forward.local_addr()?);
        let peer_socket = std::net::UdpSocket::bind(addresses.1)?;
        peer_socket.set_nonblocking(true)?;
        tracing::info!(event = "listening", callers = %addresses.0, forward = %addresses.1);
        let traffic = (
            state.clone(),
            settings.names.clone(),
            settings.policy,
            metrics.clone(),
        );
        let load = Arc::clone(&shared_load);
        let (drain, drain_orders) = oneshot::channel();
        Arbiter::new().spawn_fn(move || {
            let (state, names, policy, metrics) = traffic;
            let traffic = Rc::new(Proxy::new(state, names, policy, metrics));
            actix::spawn(run(
                traffic,
                [callers, forward],
                peer_socket,
                load,
                drain_orders,
            ));
        });
        let uplinks = start_uplinks(settings, addresses, &state, &shared_load);
        Ok(Self {
            state,
            uplinks,
            metrics,
            callers: addresses.0,
            drain: Some(drain),
        })
    }

    /// Takes no more requests: says so to all, waits until callers have had time to turn elsewhere and
    /// none is in progress, `longest` at most.
    pub async fn drain(&mut self, min_wait: Duration, max_wait: Duration) {
        let since = Instant::now();
        let end = since + max_wait;
        self.state.drain(Drain { since, end });
        self.uplinks.announce();
        let Some(drain) = self.drain.take() else {
            return;
        };
        let (done, ended) = oneshot::channel();
        let order = DrainOrder {
            min_wait,
            max_wait,
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

fn start_uplinks(
    settings: &Settings,
    addresses: (SocketAddr, SocketAddr),
    state: &Shared,
    shared_load: &Arc<SharedLoad>,
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
    let cluster = State::new(settings.instance.clone(), settings.place.clone());
    let presence = presence_source(hello.clone(), state.clone(), Arc::clone(shared_load));
    let seeds = settings.seeds.clone();
    Uplinks::start(hello, presence, cluster, state.clone(), seeds)
}

fn presence_source(
    hello: Hello,
    state: Shared,
    shared_load: Arc<SharedLoad>,
) -> Rc<dyn Fn() -> Presence> {
    Rc::new(move || Presence {
        instance: hello.instance.clone(),
        incarnation: hello.incarnation,
        place: hello.place.clone(),
        callers: hello.service.clone(),
        forward: hello.links.clone(),
        ready: state.is_ready(),
        load: shared_load
            .load
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
    })
}

/// Tells the traffic thread to end.
#[derive(Debug)]
struct DrainOrder {
    min_wait: Duration,
    max_wait: Duration,
    done: oneshot::Sender<()>,
}

/// Serves callers and instances on the traffic thread until it is told to end.
async fn run(
    traffic: Rc<Proxy>,
    listeners: [Listener; 2],
    peer_socket: std::net::UdpSocket,
    shared_load: Arc<SharedLoad>,
    mut drain: oneshot::Receiver<DrainOrder>,
) {
    let [callers, forward] = listeners.map(TcpListener::from_std);
    let (Ok(callers), Ok(forward)) = (callers, forward) else {
        tracing::error!(event = "failed", error = "a listener cannot be registered");
        actix::System::current().stop_with_code(1);
        return;
    };
    match UdpSocket::from_std(peer_socket) {
        Ok(socket) => {
            let context = Context {
                state: traffic.state.clone(),
                tracker: Rc::clone(&traffic.tracker),
                neighbours: Rc::clone(&traffic.neighbours),
                claims: Rc::clone(&traffic.claims),
                quotas: Rc::clone(&traffic.quotas),
                suspects: Rc::clone(&traffic.suspects),
                news: Rc::clone(&traffic.suspects_changed),
            };
            actix::spawn(neighbours::run(Rc::new(socket), context));
        }
        Err(error) => tracing::error!(event = "neighbours-unheard", error = %error),
    }
    let accepting = [
        actix::spawn(serve::accept(Rc::clone(&traffic), callers, false)),
        actix::spawn(serve::accept(Rc::clone(&traffic), forward, true)),
    ];
    let mut tick = time::interval(HOUSEKEEPING_INTERVAL);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                traffic.pool.sweep(Instant::now());
                let load = traffic.tracker.borrow().load();
                let view = traffic.state.view();
                let instances = view.instances.by_name().values();
                let ready = instances.filter(|held| held.ready).count();
                traffic.metrics.set_known(view.revision(), view.targets.by_name().len(), ready);
                traffic.metrics.set_connections(traffic.connections.open());
                traffic.keep_suspects();
                let quarantined = traffic.suspects.borrow().quarantined();
                traffic.metrics.set_quarantined(quarantined);
                *shared_load.load.lock().unwrap_or_else(PoisonError::into_inner) = load;
            }
            order = &mut drain => {
                if let Ok(order) = order {
                    finish(&traffic, accepting, order).await;
                }
                return;
            }
        }
    }
}

/// Ends in order. Connections are taken for as long as callers may not know of the end, and those that
/// were taken are served to theirs: a process that stopped right after a look at its counts would cut
/// the request that came between.
async fn finish(traffic: &Proxy, accepting: [JoinHandle<()>; 2], order: DrainOrder) {
    let since = Instant::now();
    let connections = &traffic.connections;
    let is_expired = |since: Instant| since.elapsed() >= order.max_wait;
    while !is_expired(since) && since.elapsed() < order.min_wait {
        time::sleep(POLL_INTERVAL).await;
    }
    for task in accepting {
        task.abort();
    }
    while !is_expired(since) && connections.open() > 0 {
        time::sleep(POLL_INTERVAL).await;
    }
    let (requests, open) = (connections.requests(), connections.open());
    tracing::info!(event = "drained", requests, connections = open);
    // Whoever gave the order may have gone.
    let _ = order.done.send(());
}
