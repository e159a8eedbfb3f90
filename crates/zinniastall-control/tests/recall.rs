//! What a replica knows of targets right after its start.
#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test, as its own lines do"
)]

use std::{path::Path, sync::Arc, time::Duration};

use actix::{Actor, Context, Handler};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};
use zinniastall_control::{
    control::Remember,
    hub::Hub,
    recall::{Names, Recall, Registry, Remembered},
};
use zinniastall_model::{
    place::Place,
    routing::{Publication, Service, Table},
    state::State as Configuration,
    target::{Report, State},
};
use zinniastall_wire::feed::Feed;

const TIMEOUT: Duration = Duration::from_secs(20);
const NAMES: Names = Names {
    target: "own-name",
    cold_ms: "cold-ms",
};

/// Forwards the messages to other replicas to the test.
struct PeerSink(mpsc::UnboundedSender<Remember>);

impl Actor for PeerSink {
    type Context = Context<Self>;
}

impl Handler<Remember> for PeerSink {
    type Result = ();

    fn handle(&mut self, message: Remember, _: &mut Context<Self>) {
        // The test may have ended.
        let _ = self.0.send(message);
    }
}

/// Serves health requests as a target of the given name; returns its address.
async fn target(name: &'static str, cold_ms: u64) -> String {
    target_behind("", name, cold_ms).await
}

/// The same for a target that sends something before its answers.
async fn target_behind(before: &'static str, name: &'static str, cold_ms: u64) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    actix::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = [0; 1_000];
            let length = stream.read(&mut head).await.unwrap();
            assert!(head[..length].starts_with(b"GET /well "));
            let answer = format!(
                "{before}HTTP/1.1 200 OK\r\nown-name: {name}\r\ncold-ms: {cold_ms}.0\r\ncontent-length: 0\r\n\r\n"
            );
            // The replica may have closed the connection within the answer.
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

fn report(target: &str, zone: &str, address: &str) -> Report {
    Report {
        target: target.to_owned(),
        incarnation: 1,
        sequence: 5,
        service: "api".to_owned(),
        address: address.to_owned(),
        place: Place::new("patras", zone),
        version: Some("v1".to_owned()),
        slots: 4,
        state: State::Ready,
        cold_ms: 0,
        left_ms: None,
        age_ms: 0,
        run_age_ms: 0,
        sign_off: None,
    }
}

/// One run of a replica of the zone `patras-a`.
struct Run {
    hub: Hub,
    registry: Registry,
    others: mpsc::UnboundedReceiver<Remember>,
    task: JoinHandle<()>,
    _feed: watch::Sender<Feed>,
}

impl Run {
    fn start(folder: &Path) -> Self {
        let mut service = Service::new("api");
        "/well".clone_into(&mut service.health_path);
        let table = Table::new(1, Vec::new(), vec![service]);
        let configuration = Configuration {
            routing: Some(Arc::new(Publication {
                table,
                document: None,
            })),
            ..Configuration::default()
        };
        let (feed, receiver) = watch::channel(Feed::new(Arc::new(configuration), 8));
        let (hub, registry) = (Hub::new(receiver.clone()), Registry::default());
        let (sender, others) = mpsc::unbounded_channel();
        let recall = Recall {
            hub: hub.clone(),
            control: PeerSink(sender).start().recipient(),
            registry: registry.clone(),
            feed: receiver,
            zone: "patras-a".to_owned(),
            folder: folder.to_owned(),
            names: NAMES,
        };
        Self {
            hub,
            registry,
            others,
            task: actix::spawn(recall.run()),
            _feed: feed,
        }
    }

    /// Returns the known targets and their remaining cold times.
    fn known(&self) -> Vec<(String, u64)> {
        let ready = self.hub.ready(TIMEOUT).into_iter();
        let mut known: Vec<(String, u64)> = ready
            .map(|report| (report.target, report.cold_ms))
            .collect();
        known.sort_unstable();
        known
    }

    /// Stops without a shutdown, as by a power loss.
    fn stop(self) {
        self.task.abort();
    }
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let waits = async {
        while !condition() {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(time::timeout(TIMEOUT, waits).await.is_ok(), "{what}");
}

fn run(test: impl Future<Output = ()>) {
    actix::System::new().block_on(test);
}

/// All replicas lose power. Targets report again one by one within a second or two of the restart;
/// the first few would get all requests meanwhile, and callers would get late answers or refusals.
/// So the replica asks the targets that it remembers. Of these one has become cold, one has ended
/// and its address belongs to another target, and one does not answer.
#[test]
fn a_restarted_replica_recalls_targets_that_still_answer() {
    run(async {
        let folder = tempfile::tempdir().unwrap();
        let before = Run::start(folder.path());
        let well = target("well", 0).await;
        let cold = target("cold", 2_500).await;
        let taken = target("other", 0).await;
        for (name, address) in [("well", &well), ("cold", &cold), ("ended", &taken)] {
            before.hub.note(report(name, "patras-a", address));
        }
        before.hub.note(report("dark", "patras-a", "127.0.0.1:1"));
        let list = folder.path().join("targets");
        until("the list is written", || list.exists()).await;
        before.stop();
        let after = Run::start(folder.path());
        let expected = [("cold".to_owned(), 2_500), ("well".to_owned(), 0)];
        until("they are known", || after.known() == expected).await;
        // A report that arrives after the start replaces the remembered one.
        let newer = Report {
            sequence: 6,
            state: State::Draining,
            ..report("well", "patras-a", &well)
        };
        assert!(after.hub.note(newer));
        assert_eq!(after.known(), expected[..1]);
    });
}

/// Guards against a target that is not recalled because of an informational head, and against one that
/// is recalled by an answer that is none.
#[test]
fn targets_are_recalled_by_sound_answers_only() {
    run(async {
        let folder = tempfile::tempdir().unwrap();
        let before = Run::start(folder.path());
        let early = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
        let switched = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
        let broken = "HTTP/1.1 200 OK\r\nown name: x\r\n\r\n";
        for (name, sent) in [("early", early), ("switched", switched), ("broken", broken)] {
            let address = target_behind(sent, name, 0).await;
            before.hub.note(report(name, "patras-a", &address));
        }
        let well = target("well", 0).await;
        before.hub.note(report("well", "patras-a", &well));
        let list = folder.path().join("targets");
        until("the list is written", || list.exists()).await;
        before.stop();
        let after = Run::start(folder.path());
        let expected = [("early".to_owned(), 0), ("well".to_owned(), 0)];
        until("they are known", || after.known() == expected).await;
        time::sleep(Duration::from_millis(600)).await;
        assert_eq!(after.known(), expected);
    });
}

/// Guards against a replica that reads what a target sends for as long as it sends.
#[test]
fn an_answer_without_end_is_left() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let sent = std::rc::Rc::new(std::cell::Cell::new(0));
        let counted = std::rc::Rc::clone(&sent);
        actix::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\n").await.unwrap();
            while stream.write_all(b"a: b\r\n").await.is_ok() {
                counted.set(counted.get() + 6);
            }
            counted.set(usize::MAX);
        });
        let folder = tempfile::tempdir().unwrap();
        let before = Run::start(folder.path());
        before.hub.note(report("endless", "patras-a", &address));
        let list = folder.path().join("targets");
        until("the list is written", || list.exists()).await;
        before.stop();
        let after = Run::start(folder.path());
        until("the connection is closed", || sent.get() == usize::MAX).await;
        assert!(after.known().is_empty());
    });
}

/// Guards against a recalled target whose remaining cold time counts from a report of before the restart:
/// instances would take it for warm.
#[test]
fn a_recalled_target_is_cold_for_as_long_as_it_says() {
    run(async {
        let folder = tempfile::tempdir().unwrap();
        let before = Run::start(folder.path());
        let address = target("cold", 1_500).await;
        let earlier = Report {
            age_ms: 2_000,
            ..report("cold", "patras-a", &address)
        };
        before.hub.note(earlier);
        let list = folder.path().join("targets");
        until("the list is written", || list.exists()).await;
        before.stop();
        let after = Run::start(folder.path());
        until("it is known", || !after.known().is_empty()).await;
        let report = after.hub.ready(TIMEOUT).remove(0);
        assert!(report.age_ms < report.cold_ms, "{report:?}");
    });
}

/// Targets report to any replica. Only a replica of their own zone asks them after a restart, so it
/// has to be told of targets that report to replicas of other zones.
#[test]
fn targets_that_report_to_other_zones_are_remembered_in_their_own() {
    run(async {
        let folders = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        let mut other = Run::start(folders.0.path());
        let address = target("well", 0).await;
        other.hub.note(report("well", "patras-b", &address));
        let message = time::timeout(TIMEOUT, other.others.recv()).await;
        let message = message.expect("no message was sent").unwrap();
        assert_eq!(message.zone, "patras-b");
        let own = Run::start(folders.1.path());
        let targets: Vec<Remembered> = message.targets;
        own.registry.record(targets, std::time::Instant::now());
        let list = folders.1.path().join("targets");
        until("the list is written", || list.exists()).await;
        own.stop();
        let after = Run::start(folders.1.path());
        until("it is known", || after.known() == [("well".to_owned(), 0)]).await;
    });
}

/// The disk lost power during a write, or the list has another version's format. The replica starts
/// without a list that it cannot read.
#[test]
fn an_unreadable_list_does_not_prevent_the_start() {
    run(async {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("targets"), b"\x9f\x82garbage").unwrap();
        let run = Run::start(folder.path());
        let address = target("well", 0).await;
        run.hub.note(report("well", "patras-a", &address));
        let list = folder.path().join("targets");
        until("the list is written anew", || {
            std::fs::read(&list).is_ok_and(|bytes| !bytes.ends_with(b"garbage"))
        })
        .await;
    });
}
