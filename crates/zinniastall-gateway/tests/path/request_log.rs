//! Log lines on requests: what an engineer finds on one, and how many there may be.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    sync::Once,
    time::Duration,
};

use tracing_subscriber::layer::SubscriberExt;
use zinniastall_model::routing::{Kind, Route};

use crate::{
    cases,
    harness::{Action, Gateway, Request, Target, get, post, route, view},
};

/// Most lines per second on failed requests.
const MAX_FAILURE_LINES_PER_S: usize = 300;
/// Most lines per second on successful requests.
const MAX_SUCCESS_LINES_PER_S: usize = 60;

thread_local! {
    /// What this thread has logged; each test has a thread of its own.
    static LOGGED: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Writes to the log of the current thread.
struct Writer;

impl io::Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        LOGGED.with_borrow_mut(|logged| logged.extend_from_slice(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the subscriber once, for all threads: one for a single thread misses lines from
/// callsites that another thread has registered first.
pub(crate) fn keep_log() {
    static START: Once = Once::new();
    START.call_once(|| {
        let layer = tracing_logfmt::builder().layer().with_writer(|| Writer);
        let subscriber = tracing_subscriber::registry().with(layer);
        tracing::subscriber::set_global_default(subscriber).unwrap();
        // Callsites that a thread registered while the subscriber was being set.
        tracing::callsite::rebuild_interest_cache();
    });
}

/// Returns the lines of this thread that contain all of these words.
pub(crate) fn lines(words: &[&str]) -> Vec<String> {
    let text = LOGGED.with_borrow(|logged| String::from_utf8_lossy(logged).into_owned());
    let lines = text.lines().filter(|line| {
        let fields: Vec<&str> = line.split(' ').collect();
        words.iter().all(|word| fields.contains(word))
    });
    lines.map(str::to_owned).collect()
}

/// Checks that exactly one line has these words, and that it has a value for each of these fields.
fn check_line(words: &[&str], fields: &[&str]) {
    let found = lines(words);
    let [line] = &found[..] else {
        panic!("{words:?}: {found:?} of {:?}", lines(&[]));
    };
    for field in fields {
        let begin = format!(" {field}=");
        assert!(line.contains(&begin), "{field} is missing: {line}");
    }
}

fn routes() -> Vec<Route> {
    vec![
        route("/plans/", Kind::Idempotent, 3),
        route("/pay/", Kind::Once, 1),
    ]
}

async fn placed_and_ended() {
    keep_log();
    let target = Target::responding_with("fine").await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    gateway
        .connect()
        .await
        .call(&get("/plans/1", "a", ""))
        .await;
    let basis = [
        "wait_ms",
        "read_ms",
        "flights",
        "report_age_ms",
        "candidates",
        "revision",
        "left_ms",
    ];
    let place = [
        "event=placed",
        "id=a",
        "place=target-0",
        "attempt=0",
        "far=false",
    ];
    check_line(&place, &basis);
    let end = [
        "event=request-ended",
        "id=a",
        "outcome=answered",
        "status=200",
    ];
    let times = [
        "first_ms",
        "pause_ms",
        "took_ms",
        "objective_ms",
        "revision",
    ];
    check_line(&end, &times);
}

/// A target stalls between two events, as an engine does that prefills a long prompt or has
/// preempted the request. The caller sees a response that began at once and is useless all the
/// same; without the pause in the log line, nothing there tells it from a good one.
async fn paused_between_events() {
    keep_log();
    let pause = Duration::from_millis(400);
    let target = Target::start(move |request| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\ncontent-length: 30\r\n\r\n",
            request.id()
        );
        vec![
            Action::Send((head + "id: 1\ndata: 1\n\n").into_bytes()),
            Action::Wait(pause),
            Action::Send(b"id: 2\ndata: 2\n\n".to_vec()),
        ]
    })
    .await;
    let routes = vec![route("/stream/", Kind::Stream, 1)];
    let gateway = Gateway::start(view(routes, &[&target])).await;
    gateway
        .connect()
        .await
        .call(&get("/stream/1", "p", ""))
        .await;
    let [line] = &lines(&["event=request-ended", "id=p"])[..] else {
        panic!("{:?}", lines(&[]));
    };
    let said = line.split(" pause_ms=").nth(1).unwrap();
    let said: u64 = said.split(' ').next().unwrap().parse().unwrap();
    assert!(u128::from(said) >= pause.as_millis() - 50, "{line}");
}

async fn retried() {
    keep_log();
    let is_first = Rc::new(Cell::new(true));
    let script = |is_first: &Rc<Cell<bool>>| {
        let is_first = Rc::clone(is_first);
        move |request: &Request| {
            if is_first.replace(false) {
                return vec![Action::Close];
            }
            vec![Action::Send(request.response("fine"))]
        }
    };
    let one = Target::start(script(&is_first)).await;
    let two = Target::start(script(&is_first)).await;
    let gateway = Gateway::start(view(routes(), &[&one, &two])).await;
    gateway
        .connect()
        .await
        .call(&get("/plans/1", "a", ""))
        .await;
    let failed = ["event=attempt", "id=a", "outcome=unknown"];
    check_line(&failed, &["place", "why", "left_ms"]);
    check_line(
        &["event=placed", "id=a", "attempt=1"],
        &["place", "wait_ms"],
    );
}

/// Sends a request under two ids, each time to a target that crashes while running it.
async fn crashed_twice() {
    keep_log();
    let crashing = |_: &Request| vec![Action::Crash];
    let one = Target::start(crashing).await;
    let two = Target::start(crashing).await;
    let gateway = Gateway::start(view(routes(), &[&one, &two])).await;
    for id in ["a", "b"] {
        gateway.connect().await.call(&post("/pay/1", id, "x")).await;
    }
    let fingerprint = |id: &str| {
        let id = format!("id={id}");
        let words = ["event=target-crashed", id.as_str()];
        check_line(&words, &["place", "flights"]);
        let line = lines(&words).remove(0);
        let rest = line.split(" fingerprint=").nth(1).unwrap();
        rest.split(' ').next().unwrap().to_owned()
    };
    assert_eq!(fingerprint("a"), fingerprint("b"));
}

/// A target closes a connection before it has responded, and keeps serving others.
async fn cut_off_without_a_crash() {
    keep_log();
    let target = Target::start(|_| vec![Action::Close]).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(lines(&["event=target-crashed"]), Vec::<String>::new());
}

async fn given_up() {
    keep_log();
    let target = Target::start(|_| vec![Action::Close]).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    check_line(
        &[
            "event=request-ended",
            "id=a",
            "outcome=unknown",
            "status=502",
        ],
        &["why", "took_ms"],
    );
}

async fn rate_limited() {
    const REQUESTS: usize = 2_000;
    keep_log();
    let target = Target::start(|_| vec![Action::Close]).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let since = std::time::Instant::now();
    let mut caller = gateway.connect().await;
    for at in 0..REQUESTS {
        caller.call(&post("/pay/1", &format!("a{at}"), "x")).await;
    }
    let windows = usize::try_from(since.elapsed().as_secs()).unwrap() + 1;
    let count = |event| lines(&[event]).len();
    let failures = count("event=attempt") + count("event=request-ended");
    assert!(
        failures <= MAX_FAILURE_LINES_PER_S * windows,
        "{failures} in {windows} s"
    );
    let successes = count("event=placed");
    assert!(
        successes <= MAX_SUCCESS_LINES_PER_S * windows,
        "{successes} in {windows} s"
    );
    // The next window reports what this one left out.
    tokio::time::sleep(Duration::from_secs(1)).await;
    caller.call(&post("/pay/1", "last", "x")).await;
    let summary = lines(&["event=lines-left-out", "kind=badly"]);
    assert!(
        !summary.is_empty(),
        "the number of lines left out is logged"
    );
}

cases! {
    /// An engineer asks why a request went where it went; its lines must show the basis of the
    /// decision.
    a_successful_request_has_its_lines => placed_and_ended(),
    /// A response began at once and then paused for longer than its caller can use.
    a_pause_is_logged_with_its_length => paused_between_events(),
    /// A request was slow because its first target failed it.
    a_retry_has_its_lines => retried(),
    /// A caller was told that the outcome of a request is unknown.
    an_unknown_outcome_has_its_line => given_up(),
    /// Two targets crashed under one request that came twice; its lines must show that.
    a_crash_names_its_request => crashed_twice(),
    /// Guards against taking a broken connection for a crash.
    a_cut_connection_is_not_a_crash => cut_off_without_a_crash(),
    /// Every request fails. Unbounded log lines would cost more than the requests and fill the
    /// disk.
    lines_are_rate_limited_when_everything_fails => rate_limited(),
}
