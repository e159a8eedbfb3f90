//! The callers' interface of an instance in this process, and scripted targets.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use actix_web::dev::ServerHandle;
use zinniastall_coord::retry::Share;
use zinniastall_entry::{
    callers::{Service, server, settings::Callers},
    settings::{Entry, Limits},
    view::{Shared, Target, View},
};
use zinniastall_model::{
    change::{Answer, Body, Change},
    object::{Client, Model, Object, Route, Subject},
    place::Place,
    state::State,
};
use zinniastall_settings::{load, metrics::Registry};
use zinniastall_wire::gossip;

/// Key of the client in the default configuration.
pub(crate) const KEY: &str = "maps-key";
/// Body of a chat completion request.
pub(crate) const CHAT: &str =
    r#"{"model":"map-labels","messages":[{"role":"user","content":"room"}]}"#;
/// Longest wait for a read or a condition.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between the parts of a response, so that each is likely to be relayed separately.
const PART_INTERVAL: Duration = Duration::from_millis(200);

/// The callers' interface of an instance.
pub(crate) struct Harness {
    /// Address for callers.
    pub(crate) address: SocketAddr,
    shared_view: Shared,
    handle: ServerHandle,
}

impl Harness {
    /// Starts the interface with targets at these addresses.
    pub(crate) fn start(targets: &[SocketAddr]) -> Self {
        Self::with(targets, |_| {})
    }

    /// Starts the interface with a target that runs one request at a time.
    pub(crate) fn with_one_slot(target: SocketAddr) -> Self {
        let harness = Self::start(&[target]);
        let mut view = (*harness.shared_view.view()).clone();
        let mut targets = (*view.targets).clone();
        for target in targets.values_mut() {
            target.report.slots = 1;
        }
        view.targets = Arc::new(targets);
        harness.shared_view.publish(view);
        harness
    }

    /// Starts the interface with changed settings.
    pub(crate) fn with(targets: &[SocketAddr], change: impl FnOnce(&mut Callers)) -> Self {
        Self::with_bodies(targets, 4096, change)
    }

    /// Starts the interface with changed settings, for bodies of up to this many bytes.
    pub(crate) fn with_bodies(
        targets: &[SocketAddr],
        body_bytes: usize,
        change: impl FnOnce(&mut Callers),
    ) -> Self {
        let mut settings: Entry = load::parse(include_str!("../../examples/entry.json")).unwrap();
        change(&mut settings.callers);
        let limits = Limits {
            body_bytes,
            arrival: Duration::from_millis(700),
            ..settings.limits.clone()
        };
        let shared_view = Shared::new(view(targets));
        let registry = Registry::start("test", None).unwrap();
        let service = Service::new(shared_view.clone(), registry, limits, &settings.callers);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = server::start(&service, listener, 1, Duration::from_secs(30)).unwrap();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Self {
            address,
            shared_view,
            handle,
        }
    }

    /// Publishes a view with a changed configuration.
    pub(crate) fn apply(&self, object: Object) {
        let mut view = (*self.shared_view.view()).clone();
        let mut state = view.state.as_deref().cloned().unwrap_or_default();
        apply(&mut state, object);
        view.state = Some(Arc::new(state));
        self.shared_view.publish(view);
    }

    /// Removes the configuration, as on an instance that is no longer listed in it.
    pub(crate) fn remove_configuration(&self) {
        let mut view = (*self.shared_view.view()).clone();
        view.state = None;
        self.shared_view.publish(view);
    }

    /// Sends raw bytes and reads until the connection closes or the read times out.
    pub(crate) async fn send_raw(&self, bytes: Vec<u8>) -> String {
        let address = self.address;
        actix_web::rt::task::spawn_blocking(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            // A refusal may close the connection before everything is written.
            let _ = stream.write_all(&bytes);
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer);
            String::from_utf8_lossy(&answer).into_owned()
        })
        .await
        .unwrap()
    }

    /// Posts a body with additional headers and returns the raw response.
    pub(crate) async fn post(&self, path: &str, headers: &str, body: &str) -> String {
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n\
             content-length: {}\r\n{headers}\r\n{body}",
            body.len()
        );
        self.send_raw(request.into_bytes()).await
    }

    /// Requests tickets.
    pub(crate) async fn tickets(&self, count: usize) -> Vec<String> {
        let request = format!(
            "GET /v1/locate?subject=portal&tickets={count} HTTP/1.1\r\nhost: a\r\n\
             connection: close\r\nauthorization: Bearer {KEY}\r\n\r\n"
        );
        let answer = self.send_raw(request.into_bytes()).await;
        let body = answer.split("\r\n\r\n").nth(1).unwrap();
        let body: serde_json::Value = serde_json::from_str(body).unwrap();
        let tickets = body["tickets"].as_array().unwrap().iter();
        tickets
            .map(|ticket| ticket.as_str().unwrap().to_owned())
            .collect()
    }

    pub(crate) async fn stop(self) {
        self.handle.stop(false).await;
    }
}

pub(crate) fn view(targets: &[SocketAddr]) -> View {
    let place = Place::new("patras", "a");
    let names = targets.iter().enumerate();
    let targets = names.map(|(number, address)| {
        let name = format!("engine-{number}");
        (name.clone(), target(&name, &place, *address))
    });
    let mut view = View::new("patras-a-1".into(), 1, place.clone());
    view.state = Some(Arc::new(state()));
    view.connected = true;
    let now = Instant::now();
    view.retry_share = Some(Share {
        instances: 1,
        since: now.checked_sub(Duration::from_secs(1)).unwrap(),
        until: now + Duration::from_hours(1),
    });
    view.targets = Arc::new(targets.collect());
    view
}

fn target(name: &str, place: &Place, address: SocketAddr) -> Target {
    let serving = |subject| gossip::Serving {
        subject,
        version: "1".into(),
        adapters: vec![],
    };
    let report = gossip::Target {
        target: name.into(),
        incarnation: 1,
        sequence: 1,
        place: place.clone(),
        address: address.to_string(),
        health_path: None,
        kind: "standin".into(),
        role: "both".into(),
        serves: vec![
            serving(Subject::Model("map-labels".into())),
            serving(Subject::Service("portal".into())),
        ],
        slots: 8,
        busy: 0,
        price: 1.0,
        leaving: false,
        left_ms: 60_000,
        prefixes: vec![],
        gap: false,
    };
    Target {
        report,
        heard: Instant::now(),
        until: Instant::now() + Duration::from_hours(1),
    }
}

fn state() -> State {
    let mut state = State::default();
    let route = |id: &str, prefix: &str, subject, idempotent| {
        Object::Route(Route {
            id: id.into(),
            prefix: prefix.into(),
            subject,
            idempotent,
        })
    };
    let model = || Subject::Model("map-labels".into());
    let service = || Subject::Service("portal".into());
    let map_labels = Model {
        id: "map-labels".into(),
        version: "1".into(),
        weights: "map-labels-1".into(),
    };
    let objects = [
        Object::Client(client(KEY)),
        Object::Model(map_labels),
        route("chat", "/v1/chat/completions", model(), true),
        route("proofs", "/proofs", service(), true),
        route("orders", "/orders", service(), false),
    ];
    for object in objects {
        apply(&mut state, object);
    }
    state
}

/// Returns the client of the default configuration, with this key.
pub(crate) fn client(key: &str) -> Client {
    Client {
        id: "maps".into(),
        keys: vec![blake3::hash(key.as_bytes()).to_hex().to_string()],
        weight: 1,
        withdrawn: false,
    }
}

fn apply(state: &mut State, object: Object) {
    let answer = state.apply(&Change {
        origin: None,
        expected: None,
        body: Body::Apply(object),
    });
    assert!(matches!(answer, Answer::Done { .. }), "{answer:?}");
}

/// What a scripted target does once it has read a request.
#[derive(Debug, Clone)]
pub(crate) enum Script {
    /// Writes these bytes and closes the connection.
    Write(&'static str),
    /// Writes these parts with a pause between them and closes the connection.
    Parts(Vec<String>),
    /// Writes these bytes after a delay and closes the connection.
    Delayed(Duration, &'static str),
    /// Writes a response without end, as fast as it is read, and counts its bytes.
    Endless,
    /// Writes these bytes and keeps the connection open until the other end closes it.
    Hold(&'static str),
    /// Writes these bytes as soon as a request begins, and resets the connection.
    Reset(&'static str),
    /// Writes these bytes as soon as a request begins, and closes the connection: its orderly end comes
    /// before the reset.
    Close(&'static str),
    /// Writes the first bytes, and then the second ones again and again, as long as they are read.
    Flood(&'static str, &'static str),
}

/// A scripted target.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    /// Number of requests read.
    pub(crate) ran: Arc<AtomicUsize>,
    /// Number of bytes written in endless responses.
    pub(crate) sent: Arc<AtomicUsize>,
    /// Number of held connections that the other end closed.
    pub(crate) cancelled: Arc<AtomicUsize>,
}

impl Fake {
    /// Starts a target; the last script repeats.
    pub(crate) fn start(scripts: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let fake = Self {
            address,
            ran: Arc::default(),
            sent: Arc::default(),
            cancelled: Arc::default(),
        };
        let counts = [&fake.ran, &fake.sent, &fake.cancelled].map(Arc::clone);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (scripts, counts) = (scripts.clone(), counts.clone());
                std::thread::spawn(move || play(stream.unwrap(), &scripts, &counts));
            }
        });
        fake
    }

    pub(crate) fn ran(&self) -> usize {
        self.ran.load(Ordering::SeqCst)
    }
}

fn play(mut stream: TcpStream, scripts: &[Script], counts: &[Arc<AtomicUsize>; 3]) {
    let [ran, sent, cancelled] = counts;
    let next = &scripts[ran.load(Ordering::SeqCst).min(scripts.len() - 1)];
    if let Script::Reset(answer) | Script::Close(answer) = next {
        if stream.read_exact(&mut [0; 1024]).is_err() {
            return;
        }
        ran.fetch_add(1, Ordering::SeqCst);
        // Closing a connection with unread bytes resets it.
        let _ = stream.write_all(answer.as_bytes());
        if matches!(next, Script::Close(_)) {
            let _ = stream.shutdown(std::net::Shutdown::Write);
            std::thread::sleep(Duration::from_millis(20));
        }
        return;
    }
    if !read_request(&mut stream) {
        return;
    }
    let number = ran.fetch_add(1, Ordering::SeqCst);
    match &scripts[number.min(scripts.len() - 1)] {
        Script::Parts(parts) => {
            for part in parts {
                let _ = stream.write_all(part.as_bytes());
                std::thread::sleep(PART_INTERVAL);
            }
        }
        Script::Delayed(pause, answer) => {
            std::thread::sleep(*pause);
            let _ = stream.write_all(answer.as_bytes());
        }
        Script::Endless => {
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n";
            let _ = stream.write_all(head);
            while let Ok(written @ 1..) = stream.write(&[b'x'; 8192]) {
                sent.fetch_add(written, Ordering::SeqCst);
            }
        }
        Script::Write(answer) => {
            let _ = stream.write_all(answer.as_bytes());
        }
        Script::Flood(answer, rest) => {
            let _ = stream.write_all(answer.as_bytes());
            let rest = rest.repeat((8 << 10) / rest.len());
            while let Ok(written @ 1..) = stream.write(rest.as_bytes()) {
                sent.fetch_add(written, Ordering::SeqCst);
            }
        }
        Script::Reset(_) | Script::Close(_) => {}
        Script::Hold(answer) => {
            let _ = stream.write_all(answer.as_bytes());
            let mut rest = [0; 16];
            while matches!(stream.read(&mut rest), Ok(1..)) {}
            cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Reads a head and a body of the announced length; returns `false` if the connection closes early.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut part = vec![0; 64 << 10];
    let mut length = None;
    loop {
        length = length.or_else(|| request_length(&bytes));
        if length.is_some_and(|length| bytes.len() >= length) {
            return true;
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return false,
            Ok(read) => bytes.extend_from_slice(&part[..read]),
        }
    }
}

/// Returns the length of a request whose head is complete.
fn request_length(bytes: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let head = text.find("\r\n\r\n")? + 4;
    let length = text[..head].split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
    Some(head + length.unwrap_or(0))
}

/// Waits until a condition holds; the timeout is generous, since the machine may be busy.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not within {TIMEOUT:?}: {what}");
        actix_web::rt::time::sleep(Duration::from_millis(5)).await;
    }
}
