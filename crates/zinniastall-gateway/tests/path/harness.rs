//! A gateway's request path between scripted targets and raw callers, on one thread.

use std::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

pub(crate) use crate::caller::{Caller, Response, get, post};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, watch},
    task::LocalSet,
    time,
};
use zinniastall_coord::{origin::Stage, retry};
use zinniastall_gateway::{
    headers::Names,
    metrics::Metrics,
    path::{Proxy, reach, serve},
    policy::Policy,
    view::{Shared, Target as KnownTarget, View},
};
use zinniastall_model::{
    place::Place,
    presence::Presence,
    routing::{Kind, Route, Service, Share, Table},
    target::{Report, State},
};
use zinniastall_wire::hub::{self, Configuration};

/// Longest time that a test, or a step of it, may take.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes after which a flood ends, so that it doesn't outlast its test.
pub(crate) const FLOOD_BYTES: usize = 24 << 20;
/// Host of all routes.
pub(crate) const HOST: &str = "maps.example";
/// Service behind all routes.
pub(crate) const SERVICE: &str = "api";
/// Software version of all targets.
pub(crate) const VERSION: &str = "v1";
/// Region and zone of the gateway.
pub(crate) const PLACE: (&str, &str) = ("patras", "patras-a");

/// A request as a target received it.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Number of requests that this target received before.
    pub(crate) index: usize,
    /// Index of the connection on which it came.
    pub(crate) connection: usize,
    /// Head as text.
    pub(crate) head: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// What a scripted target does next.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Sends bytes again and again, up to [`FLOOD_BYTES`] in all.
    Flood(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Waits, without reading meanwhile.
    Stall(Duration),
    /// Ends its direction of the connection in order.
    HalfClose,
    /// Reads whatever comes until the connection ends.
    ReadOn,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends the target's process: all connections are closed and new ones are refused.
    Crash,
    /// The same, but the listener takes this long to close after the connections.
    SlowCrash(Duration),
    /// Loses power: nothing is closed, nothing is sent any more, and no connection opens.
    PowerLoss,
}

impl Request {
    /// Returns a header field, empty if there is none.
    pub(crate) fn header(&self, name: &str) -> &str {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map_or("", |(_, value)| value)
    }

    /// Returns the request's id.
    pub(crate) fn id(&self) -> &str {
        self.header("request-id")
    }

    /// Returns whether this is a probe of the target's health, which is no caller's request.
    fn is_health(&self) -> bool {
        self.head.starts_with("GET / ") && self.id().is_empty()
    }

    /// Returns a complete response to this request.
    pub(crate) fn response(&self, body: &str) -> Vec<u8> {
        response(200, self.id(), body)
    }
}

/// Returns a complete response.
pub(crate) fn response(status: u16, id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Some\r\nrequest-id: {id}\r\nsigned: yes\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A scripted target.
#[derive(Debug)]
pub(crate) struct Target {
    /// Its address.
    pub(crate) address: SocketAddr,
    requests: Rc<RefCell<Vec<Request>>>,
    closed: Rc<RefCell<usize>>,
    probed: Rc<RefCell<usize>>,
    accepted: Rc<RefCell<usize>>,
}

type Script = dyn Fn(&Request) -> Vec<Action>;

/// How much of a request a target reads before it follows its script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reads {
    /// The head, and the part of the body that comes with it.
    Head,
    /// All of it.
    Whole,
}

impl Target {
    /// Starts a target that handles each request as a script says.
    pub(crate) async fn start(script: impl Fn(&Request) -> Vec<Action> + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::start_on(listener, Reads::Whole, script)
    }

    /// Starts a target that follows a script as soon as it has read the head of a request.
    pub(crate) async fn answering_early(
        script: impl Fn(&Request) -> Vec<Action> + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::start_on(listener, Reads::Head, script)
    }

    /// Starts a target that can lose power: its backlog of new connections is short enough to be
    /// filled.
    pub(crate) fn with_short_backlog(script: impl Fn(&Request) -> Vec<Action> + 'static) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Self::start_on(socket.listen(1).unwrap(), Reads::Whole, script)
    }

    fn start_on(
        listener: TcpListener,
        reads: Reads,
        script: impl Fn(&Request) -> Vec<Action> + 'static,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let target = Self {
            address,
            requests: Rc::default(),
            closed: Rc::default(),
            probed: Rc::default(),
            accepted: Rc::default(),
        };
        let accepted = Rc::clone(&target.accepted);
        let power_loss = Rc::new(Notify::new());
        let crash = Rc::new(watch::Sender::new(None));
        let (requests, closed) = (Rc::clone(&target.requests), Rc::clone(&target.closed));
        let probed = Rc::clone(&target.probed);
        let script: Rc<Script> = Rc::new(script);
        tokio::task::spawn_local(async move {
            let mut connection = 0;
            let mut crashed = crash.subscribe();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    () = power_loss.notified() => break,
                    Ok(delay) = crashed.wait_for(Option::is_some) => {
                        let delay: Duration = delay.unwrap_or_default();
                        if !delay.is_zero() {
                            time::sleep(delay).await;
                        }
                        return;
                    }
                };
                let (power_loss, crash) = (Rc::clone(&power_loss), Rc::clone(&crash));
                let (script, requests) = (Rc::clone(&script), Rc::clone(&requests));
                let (closed, probed) = (Rc::clone(&closed), Rc::clone(&probed));
                tokio::task::spawn_local(async move {
                    let mut crashed = crash.subscribe();
                    tokio::select! {
                        biased;
                        _ = crashed.wait_for(Option::is_some) => {}
                        () = serve_connection(
                            stream,
                            connection,
                            (reads, &*script),
                            (&requests, &probed),
                            (&power_loss, &crash),
                        ) => {}
                    }
                    *closed.borrow_mut() += 1;
                });
                connection += 1;
                *accepted.borrow_mut() = connection;
            }
            let _unaccepted = fill_backlog(address).await;
            let () = std::future::pending().await;
            drop(listener);
        });
        target
    }

    /// Starts a target that responds to every request with the same body.
    pub(crate) async fn responding_with(body: &'static str) -> Self {
        Self::start(move |request| vec![Action::Send(request.response(body))]).await
    }

    /// Returns the requests received so far.
    pub(crate) fn requests(&self) -> Vec<Request> {
        self.requests.borrow().clone()
    }

    /// Returns how many requests for its health arrived.
    pub(crate) fn probed(&self) -> usize {
        *self.probed.borrow()
    }

    /// Returns how many connections were accepted.
    pub(crate) fn accepted(&self) -> usize {
        *self.accepted.borrow()
    }

    /// Returns how many connections have ended.
    pub(crate) fn closed(&self) -> usize {
        *self.closed.borrow()
    }
}

/// Opens connections to a listener that accepts none, until its backlog is full.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut unaccepted = Vec::new();
    let longest = Duration::from_millis(50);
    while let Ok(opened) = time::timeout(longest, TcpStream::connect(address)).await {
        unaccepted.push(opened.unwrap());
    }
    unaccepted
}

async fn serve_connection(
    mut stream: TcpStream,
    connection: usize,
    (reads, script): (Reads, &Script),
    (requests, probed): (&RefCell<Vec<Request>>, &RefCell<usize>),
    (power_loss, crash): (&Notify, &watch::Sender<Option<Duration>>),
) {
    let mut input = Vec::new();
    loop {
        let read = read_request(&mut stream, reads, &mut input, connection, requests);
        let Some(request) = read.await else {
            return;
        };
        if request.is_health() {
            *probed.borrow_mut() += 1;
            // The gateway closes the connection of a probe itself.
            let _ = stream.write_all(&response(200, "", "")).await;
            return;
        }
        requests.borrow_mut().push(request.clone());
        for action in script(&request) {
            match action {
                Action::Send(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Action::Flood(bytes) => {
                    for _ in 0..FLOOD_BYTES / bytes.len() {
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                }
                Action::Wait(time) => {
                    // The peer may disconnect meanwhile, which ends the connection.
                    let mut byte = [0; 1];
                    tokio::select! {
                        () = time::sleep(time) => {}
                        read = stream.read(&mut byte) => match read {
                            Ok(0) | Err(_) => return,
                            Ok(_) => input.push(byte[0]),
                        }
                    }
                }
                Action::Stall(time) => time::sleep(time).await,
                Action::HalfClose => {
                    if stream.shutdown().await.is_err() {
                        return;
                    }
                }
                Action::ReadOn => {
                    // Whether all of it comes is what the test looks at.
                    let _ = stream.read_to_end(&mut input).await;
                    return;
                }
                Action::Close => return,
                Action::Reset => {
                    stream.set_zero_linger().unwrap();
                    return;
                }
                Action::Crash | Action::SlowCrash(_) => {
                    let delay = match action {
                        Action::SlowCrash(delay) => delay,
                        _ => Duration::ZERO,
                    };
                    crash.send_replace(Some(delay));
                    let () = std::future::pending().await;
                }
                Action::PowerLoss => {
                    power_loss.notify_one();
                    let () = std::future::pending().await;
                }
            }
        }
    }
}

async fn read_request(
    stream: &mut TcpStream,
    reads: Reads,
    input: &mut Vec<u8>,
    connection: usize,
    requests: &RefCell<Vec<Request>>,
) -> Option<Request> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let end = input.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8(input[..end].to_vec()).unwrap();
            let request = Request {
                index: requests.borrow().len(),
                connection,
                head,
                body: Vec::new(),
            };
            let length = match reads {
                Reads::Head => input.len() - end - 4,
                Reads::Whole => request.header("content-length").parse().unwrap_or(0),
            };
            if input.len() >= end + 4 + length {
                let rest = input.split_off(end + 4 + length);
                let body = input.split_off(end + 4);
                *input = rest;
                return Some(Request { body, ..request });
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => input.extend_from_slice(&buffer[..read]),
        }
    }
}

/// A running request path of a gateway.
pub(crate) struct Gateway {
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address for other instances.
    pub(crate) forward: SocketAddr,
    /// The request path itself.
    pub(crate) proxy: Rc<Proxy>,
}

/// Returns a route to the one service.
pub(crate) fn route(prefix: &str, kind: Kind, attempts: u32) -> Route {
    let mut route = Route::new(prefix.trim_matches('/'), HOST, prefix, kind).to(Share {
        service: SERVICE.to_owned(),
        weight: 1,
    });
    route.attempts = attempts;
    route.timeout_ms = 5_000;
    route
}

/// Returns the versions of the one service, all settled.
pub(crate) fn versions(names: &[&str]) -> hub::Versions {
    let settled = names.iter().map(|name| (*name, Stage::Settled));
    std::iter::once((SERVICE.to_owned(), Arc::new(settled.collect()))).collect()
}

/// Returns a view with routes and targets, as an instance in `PLACE` has it.
pub(crate) fn view(routes: Vec<Route>, targets: &[&Target]) -> View {
    let table = Table::new(1, routes, vec![Service::new(SERVICE)]);
    let mut view = View::new("edge-1".to_owned(), Place::new(PLACE.0, PLACE.1));
    view.configuration = Some(Arc::new(Configuration {
        revision: 1,
        table: Some(table),
        evacuated: Vec::new(),
        versions: Some(versions(&[VERSION])),
    }));
    let known = targets.iter().enumerate().map(|(at, target)| {
        let name = format!("target-{at}");
        (name.clone(), known_target(&name, target.address))
    });
    view.targets = Arc::new(known.collect());
    view.instances = Arc::new(
        [instance("edge-1", PLACE, "127.0.0.1:1")]
            .into_iter()
            .collect(),
    );
    view.retry_share = Some(retry_share());
    view
}

/// Returns the whole fixed number of retries, as a single instance holds it.
fn retry_share() -> retry::Share {
    let now = Instant::now();
    retry::Share {
        instances: 1,
        since: now.checked_sub(Duration::from_secs(1)).unwrap(),
        until: now + Duration::from_hours(1),
    }
}

/// Returns a gateway instance as other instances see it.
pub(crate) fn instance(name: &str, place: (&str, &str), forward: &str) -> (String, Presence) {
    let presence = Presence {
        instance: name.to_owned(),
        incarnation: 1,
        place: Place::new(place.0, place.1),
        callers: "127.0.0.1:1".to_owned(),
        forward: forward.to_owned(),
        ready: true,
        checks_origins: true,
        capacity: 0,
        load: Vec::new(),
    };
    (name.to_owned(), presence)
}

/// Returns a target as the gateway sees it.
pub(crate) fn known_target(name: &str, address: SocketAddr) -> KnownTarget {
    KnownTarget {
        report: Report {
            target: name.to_owned(),
            incarnation: 1,
            sequence: 1,
            service: SERVICE.to_owned(),
            address: address.to_string(),
            place: Place::new(PLACE.0, PLACE.1),
            version: Some(VERSION.to_owned()),
            slots: 4,
            state: State::Ready,
            cold_ms: 0,
            left_ms: None,
            age_ms: 0,
            run_age_ms: 0,
            sign_off: None,
        },
        heard_at: Instant::now(),
        cold_until: None,
        gone_at: None,
    }
}

impl Gateway {
    /// Starts the request path of an instance that has a fixed view.
    pub(crate) async fn start(view: View) -> Self {
        Self::on(Shared::new(view)).await
    }

    /// Starts the request path of an instance whose view may change.
    pub(crate) async fn on(board: Shared) -> Self {
        Self::with_names(board, Names::default()).await
    }

    /// Starts the request path of an instance in a deployment with other names.
    pub(crate) async fn with_names(board: Shared, names: Names) -> Self {
        let names = Names {
            reserved: vec![http::HeaderName::from_static("secret")],
            ..names
        };
        let mut policy = Policy::default();
        policy.retry_budget.slack = 100;
        let proxy = Rc::new(Proxy::new(board, names, policy, Metrics::new()));
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let forward = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gateway = Self {
            callers: callers.local_addr().unwrap(),
            forward: forward.local_addr().unwrap(),
            proxy: Rc::clone(&proxy),
        };
        tokio::task::spawn_local(reach::run(Rc::clone(&proxy)));
        tokio::task::spawn_local(observe_time(Rc::clone(&proxy)));
        let instances = serve::accept(Rc::clone(&proxy), forward, true);
        tokio::task::spawn_local(serve::accept(proxy, callers, false));
        tokio::task::spawn_local(instances);
        gateway
    }

    /// Opens a caller's connection.
    pub(crate) async fn connect(&self) -> Caller {
        Caller::connect(self.callers).await
    }
}

/// Does the part of the daemon's housekeeping by which an instance notices a suspension.
async fn observe_time(proxy: Rc<Proxy>) {
    loop {
        proxy.observe_time();
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// Runs a test on one thread, within `TIMEOUT`.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = LocalSet::new();
    let bounded = async { time::timeout(TIMEOUT, test).await.expect("test timed out") };
    local.block_on(&runtime, bounded);
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let since = time::Instant::now();
    while !condition() {
        assert!(since.elapsed() < TIMEOUT, "timed out waiting until {what}");
        time::sleep(Duration::from_millis(2)).await;
    }
}
