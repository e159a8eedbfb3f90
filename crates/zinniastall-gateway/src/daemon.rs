//! Starts and stops the parts of a gateway instance.

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
use zinniastall_coord::{confirmation::LEASE, retry::Division};
use zinniastall_model::{
    id,
    place::Place,
    presence::{Load, Presence},
};
use zinniastall_wire::hello::{Hello, Purpose, VERSION};

use crate::{
    clock,
    cluster_state::{Replica, State},
    freshness::Lease,
    headers::Names,
    metrics::Metrics,
    neighbours::{self, Context},
    path::{Proxy, reach, serve},
    policy::Policy,
    uplink::Uplinks,
    view::{Drain, Shared, View},
};

/// Interval of the traffic thread's housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a drain checks whether connections are still open.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of a gateway instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance, which is kept across restarts.
    pub instance: id::Instance,
    /// Incarnation of this run.
    pub incarnation: id::Incarnation,
    /// Place in which it runs.
    pub place: Place,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other instances forward requests to.
    pub forward: SocketAddr,
    /// Addresses of the first control replicas to contact.
    pub seeds: Vec<Replica>,
    /// Header field names of the deployment.
    pub names: Names,
    /// Timings and limits of the deployment.
    pub policy: Policy,
    /// Processor capacity of the instance, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
}

/// A running gateway instance.
#[derive(Debug)]
pub struct Gateway {
    /// State shared between the threads.
    pub state: Shared,
    /// Links to control replicas.
    pub uplinks: Rc<Uplinks>,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Bound address that callers connect to.
    pub callers: SocketAddr,
    drain: Option<oneshot::Sender<DrainOrder>>,
}

/// Load that the traffic thread reports to the control thread.
#[derive(Debug, Default)]
struct SharedLoad {
    load: Mutex<Vec<Load>>,
}

impl Gateway {
    /// Binds the addresses and starts all parts.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start(settings: &Settings) -> std::io::Result<Self> {
        let view = View::new(settings.instance.clone(), settings.place.clone());
        let state = Shared::new(view)
            .with_keys_lease(Lease::new(settings.policy.keys_lease))
            .with_lease(Lease::new(Some(LEASE)));
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

    /// Stops accepting requests and waits until those in progress have ended.
    ///
    /// The drain is announced first. Connections are accepted for `min_wait` more, so that callers
    /// have time to switch to other instances; the drain ends after `max_wait` at the latest.
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
    let cluster = State::new(settings.instance.clone(), settings.place.clone())
        .with_load_control(settings.policy.load_control);
    let presence = presence_source(
        hello.clone(),
        state.clone(),
        Arc::clone(shared_load),
        settings.capacity,
    );
    let seeds = settings.seeds.clone();
    let division = Division::new(settings.policy.retry_budget.window);
    Uplinks::start(hello, presence, (cluster, division), state.clone(), seeds)
}

fn presence_source(
    hello: Hello,
    state: Shared,
    shared_load: Arc<SharedLoad>,
    capacity: u32,
) -> Rc<dyn Fn() -> Presence> {
    Rc::new(move || Presence {
        instance: hello.instance.clone(),
        incarnation: hello.incarnation,
        place: hello.place.clone(),
        callers: hello.service.clone(),
        forward: hello.links.clone(),
        ready: state.is_ready(),
        checks_origins: true,
        capacity,
        load: shared_load
            .load
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
    })
}

/// Tells the traffic thread to drain.
#[derive(Debug)]
struct DrainOrder {
    min_wait: Duration,
    max_wait: Duration,
    done: oneshot::Sender<()>,
}

/// Serves callers and other instances on the traffic thread until it is told to drain.
async fn run(
    traffic: Rc<Proxy>,
    listeners: [Listener; 2],
    peer_socket: std::net::UdpSocket,
    shared_load: Arc<SharedLoad>,
    mut drain: oneshot::Receiver<DrainOrder>,
) {
    let [callers, forward] = listeners.map(TcpListener::from_std);
    let (Ok(callers), Ok(forward)) = (callers, forward) else {
        tracing::error!(
            event = "failed",
            error = "cannot register a listener with the runtime"
        );
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
                rates: Rc::clone(&traffic.rates),
                departures: Rc::clone(&traffic.departures),
                divisions: Rc::clone(&traffic.divisions),
                reach: Rc::clone(&traffic.reach),
                origins: Rc::clone(&traffic.origins),
                returns: Rc::clone(&traffic.returns),
                quotas: Rc::clone(&traffic.quotas),
                suspects: Rc::clone(&traffic.suspects),
                permits: Rc::clone(&traffic.permits),
                news: Rc::clone(&traffic.news),
                overflow: Rc::clone(&traffic.overflow),
                policy: traffic.policy,
            };
            actix::spawn(neighbours::run(Rc::new(socket), context));
        }
        Err(error) => tracing::error!(event = "neighbours-unheard", error = %error),
    }
    actix::spawn(reach::run(Rc::clone(&traffic)));
    let accepting = [
        actix::spawn(serve::accept(Rc::clone(&traffic), callers, false)),
        actix::spawn(serve::accept(Rc::clone(&traffic), forward, true)),
    ];
    let mut tick = time::interval(HOUSEKEEPING_INTERVAL);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                traffic.observe_time();
                traffic.pool.sweep(Instant::now());
                let load = traffic.tracker.borrow().load();
                let view = traffic.state.view();
                let instances = view.instances.by_name().values();
                let ready = instances.filter(|held| held.ready).count();
                traffic.metrics.set_known(view.revision(), view.targets.by_name().len(), ready);
                let age = traffic.state.lease().age(clock::now());
                traffic.metrics.set_configuration_age(age);
                let now = Instant::now();
                traffic.metrics.set_paces(&mut traffic.tracker.borrow_mut().capacity, now);
                let share = view.retry_share.map_or(0, |share| share.instances);
                traffic.metrics.set_retry_shares(share);
                traffic.metrics.set_connections(traffic.connections.open());
                traffic.keep_suspects();
                let quarantined = traffic.suspects.borrow().quarantined();
                traffic.metrics.set_quarantined(quarantined);
                traffic.metrics.set_return_promises(traffic.returns.len());
                traffic.reach.expire(&view, Instant::now());
                let pauses = traffic.pauses.borrow();
                let unreached = traffic.reach.observe(&view, &pauses, Instant::now());
                drop(pauses);
                let count = unreached.as_ref().map_or(0, |report| report.unreached.len());
                traffic.metrics.set_unreached(count);
                traffic.state.unreached().store(Arc::new(unreached));
                let is_known = |target: &str| view.targets.by_name().contains_key(target);
                let mut departures = traffic.departures.borrow_mut();
                departures.retain(is_known, now);
                let all = departures.all().into_iter().collect();
                traffic.state.departures().store(Arc::new(all));
                drop(departures);
                let mut pauses = traffic.pauses.borrow_mut();
                pauses.expire(now);
                traffic.metrics.set_paused(pauses.current(now).count());
                drop(pauses);
                let limited = traffic.rates.limited(&view, Instant::now());
                traffic.metrics.set_limited(limited);
                traffic.state.limits().store(Arc::new(traffic.rates.limits().borrow().all()));
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

/// Accepts connections until callers have learned of the drain, then waits until the open ones
/// close. Requests that are still in progress shortly before the end get their final answers then.
///
/// Connections that were accepted are served to their end. Exiting as soon as the counts read zero
/// would cut off a request that arrives between the reading and the exit.
async fn finish(traffic: &Proxy, accepting: [JoinHandle<()>; 2], order: DrainOrder) {
    let since = Instant::now();
    let end = since + order.max_wait;
    traffic.origins.hand_over(&traffic.state);
    let connections = &traffic.connections;
    let drain = traffic.state.draining();
    let last_answer = drain.map_or(end, |drain| drain.last_answer());
    sleep_while(|| Instant::now() < last_answer.min(since + order.min_wait)).await;
    for task in accepting {
        task.abort();
    }
    sleep_while(|| Instant::now() < last_answer && connections.open() > 0).await;
    traffic.end_requests();
    sleep_while(|| Instant::now() < end && connections.open() > 0).await;
    let (requests, open) = (connections.requests(), connections.open());
    tracing::info!(event = "drained", requests, connections = open);
    // The receiver may be gone.
    let _ = order.done.send(());
}

async fn sleep_while(condition: impl Fn() -> bool) {
    while condition() {
        time::sleep(POLL_INTERVAL).await;
    }
}
