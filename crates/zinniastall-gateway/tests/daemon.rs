//! A complete gateway instance with a scripted control replica.
#![expect(
    clippy::unwrap_used,
    reason = "a failing helper fails its test, as the test's own lines do"
)]

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use zinniastall_gateway::{
    daemon::{Gateway, Settings},
    headers::Names,
    policy::Policy,
};
use zinniastall_model::{
    place::Place,
    routing::{Kind, Route, Service, Share, Table},
    target::{Report, State},
};
use zinniastall_wire::{
    frame::Frame,
    hello::{Hello, Purpose, VERSION},
    hub::{Configuration, Message, Versions},
    link::Link,
};

const ANY_PORT: &str = "127.0.0.1:0";
const TIMEOUT: Duration = Duration::from_secs(20);

/// A control replica that sends the messages a test gives it.
struct Replica {
    address: SocketAddr,
    messages: mpsc::UnboundedSender<Message>,
    heard: Heard,
}

/// Messages that a replica has received, except questions for the configuration.
type Heard = Rc<RefCell<Vec<Message>>>;

impl Replica {
    async fn start(held: Configuration) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (messages, queued) = mpsc::unbounded_channel();
        let heard = Heard::default();
        actix::spawn(serve(listener, held, queued, Rc::clone(&heard)));
        Self {
            address,
            messages,
            heard,
        }
    }

    /// Forgets what was received before, and waits until a version is reported; returns whether that
    /// came before a heartbeat.
    async fn hears_early(&self, version: &str) -> bool {
        let names = |message: &Message| {
            let Message::Versions(names) = message else {
                return false;
            };
            names.iter().any(|(_, stated)| stated == version)
        };
        self.heard.borrow_mut().clear();
        wait_until("the version is reported", || {
            self.heard.borrow().iter().any(names)
        })
        .await;
        let heard = self.heard.borrow();
        let mut before = heard.iter().take_while(|message| !names(message));
        !before.any(|message| matches!(message, Message::Present(_)))
    }
}

async fn serve(
    listener: TcpListener,
    held: Configuration,
    mut messages: mpsc::UnboundedReceiver<Message>,
    heard: Heard,
) {
    let (stream, _) = listener.accept().await.unwrap();
    let hello = |peer: &Hello| {
        Ok(Hello {
            version: VERSION,
            purpose: peer.purpose,
            cluster: None,
            instance: "core-1".to_owned(),
            incarnation: 1,
            place: Place::new("patras", "patras-a"),
            links: String::new(),
            service: String::new(),
        })
    };
    let link = Link::accept(stream, hello).await.unwrap();
    assert_eq!(link.purpose(), Purpose::Hub);
    let (mut sender, mut receiver) = link.split();
    let mut alive = time::interval(Duration::from_millis(200));
    loop {
        let message = tokio::select! {
            Some(message) = messages.recv() => message,
            _ = alive.tick() => Message::Reached(held.revision),
            frame = receiver.next() => match frame {
                Some(Ok(Frame::Hub(Message::Fetch(_)))) => {
                    Message::Configuration(Box::new(held.clone()))
                }
                Some(Ok(Frame::Hub(Message::ReadIndex(stamp)))) => Message::ReadIndexAnswer {
                    stamp,
                    revision: held.revision,
                },
                Some(Ok(Frame::Hub(message))) => {
                    heard.borrow_mut().push(message);
                    continue;
                }
                Some(Ok(_)) => continue,
                _ => return,
            },
        };
        if sender.send(Frame::Hub(message)).await.is_err() {
            return;
        }
    }
}

fn configuration(revision: u64, number: u64) -> Configuration {
    let route = Route::new("plans", "maps.example", "/plans/", Kind::Once).to(Share {
        service: "api".to_owned(),
        weight: 1,
    });
    Configuration {
        revision,
        table: Some(Table::new(number, vec![route], vec![Service::new("api")])),
        evacuated: Vec::new(),
        versions: None,
    }
}

fn report(address: SocketAddr) -> Report {
    Report {
        target: "target-1".to_owned(),
        incarnation: 1,
        sequence: 1,
        service: "api".to_owned(),
        address: address.to_string(),
        place: Place::new("patras", "patras-a"),
        version: Some("v1".to_owned()),
        slots: 64,
        state: State::Ready,
        cold_ms: 0,
        left_ms: None,
        age_ms: 0,
        run_age_ms: 0,
        sign_off: None,
    }
}

/// Starts a target that responds after as many milliseconds as the path names, five at least.
async fn target() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    actix::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix::spawn(async move {
                let mut buffer = [0; 4096];
                while let Ok(read) = stream.read(&mut buffer).await {
                    if read == 0 {
                        return;
                    }
                    let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
                    let path = head
                        .split(' ')
                        .nth(1)
                        .and_then(|path| path.rsplit('/').next());
                    let millis: u64 = path.and_then(|name| name.parse().ok()).unwrap_or(0);
                    time::sleep(Duration::from_millis(millis.max(5))).await;
                    let line = head.lines().find(|line| line.starts_with("request-id"));
                    let line = line.unwrap_or("x-health: good");
                    let answer =
                        format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 2\r\n\r\nok");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn gateway(seeds: Vec<String>) -> Gateway {
    let any: SocketAddr = ANY_PORT.parse().unwrap();
    let settings = Settings {
        instance: "edge-1".to_owned(),
        incarnation: 1,
        place: Place::new("patras", "patras-a"),
        callers: any,
        forward: any,
        seeds,
        names: Names::default(),
        policy: Policy::default(),
        capacity: 0,
    };
    Gateway::start(&settings).unwrap()
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let since = time::Instant::now();
    while !condition() {
        assert!(since.elapsed() < TIMEOUT, "timed out waiting until {what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(async {
        time::timeout(TIMEOUT, test).await.expect("test timed out");
    });
}

/// Sends one request on a connection. Returns whether a response came, and whether the connection
/// may be used again.
async fn request(stream: &mut TcpStream, id: &str) -> std::io::Result<(bool, bool)> {
    let text = format!(
        "POST /plans/1 HTTP/1.1\r\nHost: maps.example\r\nrequest-id: {id}\r\ncontent-length: 1\r\n\r\nx"
    );
    stream.write_all(text.as_bytes()).await?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    // A response that the instance itself makes ends with a brace.
    while !answer.ends_with(b"\r\n\r\nok") && !answer.ends_with(b"}") {
        let read = stream.read(&mut buffer).await?;
        if read == 0 {
            return Ok((false, false));
        }
        answer.extend_from_slice(&buffer[..read]);
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    Ok((true, !text.contains("connection: close")))
}

/// An instance drains while callers keep sending, on kept connections and on new ones. An instance
/// that checks once whether requests are in flight and then exits cuts the request that arrived
/// after the check: its caller reads the end of the connection in place of a response, and cannot
/// tell whether the request ran.
#[test]
fn a_stopping_instance_cuts_no_request() {
    run(async {
        let replica = Replica::start(configuration(1, 1)).await;
        let mut gateway = gateway(vec![replica.address.to_string()]);
        let callers = gateway.callers;
        let board = gateway.state.clone();
        replica
            .messages
            .send(Message::Targets(vec![report(target().await)]))
            .unwrap();
        wait_until("the instance is ready", || {
            board.is_ready() && !board.view().targets.by_name().is_empty()
        })
        .await;
        let (cut, served) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let stopped = Rc::new(Cell::new(false));
        for caller in 0..8 {
            let (cut, served, stopped) = (cut.clone(), served.clone(), stopped.clone());
            actix::spawn(async move {
                let mut number = 0;
                while !stopped.get() {
                    // A refused connection reached no instance; the caller turns to another one.
                    let Ok(mut stream) = TcpStream::connect(callers).await else {
                        return;
                    };
                    loop {
                        number += 1;
                        match request(&mut stream, &format!("{caller}-{number}")).await {
                            Ok((true, more)) => {
                                served.set(served.get() + 1);
                                if !more {
                                    break;
                                }
                            }
                            Ok((false, _)) => {
                                cut.set(cut.get() + 1);
                                break;
                            }
                            // Reset while waiting to be accepted: no instance has read the request.
                            Err(_) => break,
                        }
                    }
                }
            });
        }
        wait_until("callers are served", || served.get() > 100).await;
        gateway
            .drain(Duration::from_millis(300), Duration::from_secs(10))
            .await;
        stopped.set(true);
        assert_eq!(cut.get(), 0, "of {} served", served.get());
    });
}

/// Sends a request that takes as many milliseconds, whose caller waits for much longer.
async fn ask(stream: &mut TcpStream, millis: u64) -> String {
    let text = format!(
        "POST /plans/{millis} HTTP/1.1\r\nHost: maps.example\r\nrequest-id: r{millis}\r\n\
         deadline-ms: 15000\r\ncontent-length: 1\r\n\r\nx"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let (mut answer, mut buffer) = (Vec::new(), [0; 4096]);
    while !answer.ends_with(b"\r\n\r\nok") && !answer.ends_with(b"}") {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => answer.extend_from_slice(&buffer[..read]),
        }
    }
    String::from_utf8(answer).unwrap()
}

/// Starts an instance with a target that it knows, and opens connections of callers.
async fn stopping(callers: usize) -> (Replica, Gateway, Vec<TcpStream>) {
    let replica = Replica::start(configuration(1, 1)).await;
    let gateway = gateway(vec![replica.address.to_string()]);
    let targets = Message::Targets(vec![report(target().await)]);
    replica.messages.send(targets).unwrap();
    let board = gateway.state.clone();
    wait_until("the instance is ready", || {
        board.is_ready() && !board.view().targets.by_name().is_empty()
    })
    .await;
    let mut streams = Vec::new();
    for _ in 0..callers {
        streams.push(TcpStream::connect(gateway.callers).await.unwrap());
    }
    (replica, gateway, streams)
}

/// Guards against requests that were passed on and get no answer when their instance stops, although
/// their callers would have waited.
#[test]
fn requests_in_progress_are_answered_at_the_end_of_a_stop() {
    run(async {
        let (_replica, mut gateway, mut streams) = stopping(3).await;
        let asked = streams.iter_mut().map(async |stream| {
            let answer = ask(stream, 10_000).await;
            (answer, time::Instant::now())
        });
        let drain = async {
            time::sleep(Duration::from_millis(100)).await;
            gateway
                .drain(Duration::from_millis(300), Duration::from_secs(1))
                .await;
            time::Instant::now()
        };
        let (answers, end) = futures_util::join!(futures_util::future::join_all(asked), drain);
        for (answer, at) in answers {
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}");
            assert!(at <= end, "{:?} after the end", at - end);
        }
    });
}

/// Guards against requests that a stopping instance passes on although they can't end in time, and
/// against a time that it doesn't use.
#[test]
fn a_request_that_outlasts_a_stop_is_rejected_at_once() {
    run(async {
        let (_replica, mut gateway, mut streams) = stopping(1).await;
        let learned = ask(&mut streams[0], 800).await;
        assert!(learned.starts_with("HTTP/1.1 200"), "{learned:?}");
        let callers = gateway.callers;
        let ask_after = async |wait| {
            time::sleep(Duration::from_millis(wait)).await;
            let mut stream = TcpStream::connect(callers).await.unwrap();
            let since = time::Instant::now();
            (ask(&mut stream, 800).await, since.elapsed())
        };
        let drain = gateway.drain(Duration::from_millis(1_800), Duration::from_secs(2));
        let ((), (early, _), (late, took)) =
            futures_util::join!(drain, ask_after(400), ask_after(1_300));
        assert!(early.starts_with("HTTP/1.1 200"), "{early:?}");
        assert!(late.starts_with("HTTP/1.1 503"), "{late:?}");
        assert!(late.contains("retry-after: "), "{late:?}");
        assert!(took < Duration::from_millis(400), "{took:?}");
    });
}

/// Two replicas hold different configurations because one of them was partitioned. The instance
/// hears the older one last; going back to it would serve by rules that operators were told are
/// gone.
#[test]
fn an_older_configuration_is_never_taken() {
    run(async {
        let newer = Replica::start(configuration(9, 40)).await;
        let gateway = gateway(vec![newer.address.to_string()]);
        let board = gateway.state.clone();
        wait_until("the newer one is in force", || board.view().revision() == 9).await;
        let older = Replica::start(configuration(8, 39)).await;
        gateway
            .uplinks
            .reseed(vec![newer.address.to_string(), older.address.to_string()]);
        let late = Message::Configuration(Box::new(configuration(8, 39)));
        older.messages.send(late).unwrap();
        older
            .messages
            .send(Message::Targets(vec![report(target().await)]))
            .unwrap();
        wait_until("the older replica was heard", || {
            !board.view().targets.by_name().is_empty()
        })
        .await;
        assert_eq!(board.view().revision(), 9);
        assert_eq!(board.view().table().unwrap().number, 40);
    });
}

/// Guards against streams that are rejected while instances wait for a heartbeat to report the first
/// version of a service.
#[test]
fn a_version_that_the_group_lacks_is_reported_at_once() {
    run(async {
        let mut held = configuration(1, 1);
        held.versions = Some(Versions::default());
        let replica = Replica::start(held).await;
        let gateway = gateway(vec![replica.address.to_string()]);
        let board = gateway.state.clone();
        wait_until("the instance is ready", || board.is_ready()).await;
        let address = target().await;
        let mut early = 0;
        for number in 1..=6 {
            let version = format!("v{number}");
            let report = Report {
                target: format!("target-{number}"),
                version: Some(version.clone()),
                ..report(address)
            };
            replica
                .messages
                .send(Message::Targets(vec![report]))
                .unwrap();
            early += usize::from(replica.hears_early(&version).await);
        }
        // A heartbeat may be due at the same moment.
        assert!(early > 0, "all with a heartbeat");
    });
}
