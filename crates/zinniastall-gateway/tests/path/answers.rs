//! Responses of targets that fail in every known way.

use std::{cell::Cell, rc::Rc, time::Duration};

use zinniastall_model::routing::Kind;
use zinniastall_wire::hub::Configuration;

use crate::{
    cases,
    harness::{Action, Gateway, Request, Target, get, post, response, route, view},
};

fn routes() -> Vec<zinniastall_model::routing::Route> {
    vec![
        route("/plans/", Kind::Idempotent, 3),
        route("/pay/", Kind::Once, 1),
    ]
}

type Fail = Rc<dyn Fn(&Request) -> Vec<Action>>;

fn failing_first(
    first: &Rc<Cell<bool>>,
    fail: &Fail,
) -> impl Fn(&Request) -> Vec<Action> + 'static {
    let (first, fail) = (Rc::clone(first), Rc::clone(fail));
    move |request| {
        if first.replace(false) {
            return fail(request);
        }
        vec![Action::Send(request.response("fine"))]
    }
}

/// Starts two targets, the first of whose requests fails in the way given.
async fn pair(fail: impl Fn(&Request) -> Vec<Action> + 'static) -> (Gateway, Target, Target) {
    let first = Rc::new(Cell::new(true));
    let fail: Fail = Rc::new(fail);
    let one = Target::start(failing_first(&first, &fail)).await;
    let two = Target::start(failing_first(&first, &fail)).await;
    let gateway = Gateway::start(view(routes(), &[&one, &two])).await;
    (gateway, one, two)
}

fn runs(one: &Target, two: &Target) -> usize {
    one.requests().len() + two.requests().len()
}

/// Checks that a request that may be repeated succeeds whatever its first target does, and that one
/// that may not is sent once and reported as unknown.
async fn survives(fail: impl Fn(&Request) -> Vec<Action> + Copy + 'static) {
    let (gateway, one, two) = pair(fail).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "a1", ""))
        .await;
    assert_eq!((response.status, response.body.as_str()), (200, "fine"));
    assert_eq!(runs(&one, &two), 2);
    let (gateway, one, two) = pair(fail).await;
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a2", "x"))
        .await;
    assert_eq!(response.status, 502, "{}", response.body);
    assert!(response.body.contains("unknown"), "{}", response.body);
    assert_eq!(runs(&one, &two), 1);
}

fn with_length(length: usize, body: &str, id: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}").into()
}

async fn passes_response_unchanged() {
    let target = Target::responding_with("the plan").await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let mut caller = gateway.connect().await;
    let response = caller.call(&post("/plans/a?b=%20c", "id-1", "body")).await;
    assert_eq!((response.status, response.body.as_str()), (200, "the plan"));
    assert_eq!(response.header("signed"), "yes");
    assert_eq!(response.header("request-id"), "id-1");
    let request = target.requests().remove(0);
    assert!(request.head.starts_with("POST /plans/a?b=%20c HTTP/1.1"));
    assert_eq!(request.body, b"body");
    assert_eq!(request.header("expected-target"), "target-0");
}

async fn skips_a_stray_response() {
    let target = Target::start(|request| {
        let mut actions = Vec::new();
        if request.index == 1 {
            actions.push(Action::Send(response(200, "another-one", "stray")));
        }
        actions.push(Action::Send(request.response("own")));
        actions
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let mut caller = gateway.connect().await;
    for id in ["a", "b", "c"] {
        let response = caller.call(&post("/pay/1", id, "x")).await;
        assert_eq!(
            (
                response.status,
                response.body.as_str(),
                response.header("request-id")
            ),
            (200, "own", id)
        );
    }
    let connections: Vec<usize> = target
        .requests()
        .iter()
        .map(|request| request.connection)
        .collect();
    assert_eq!(
        connections,
        [0, 0, 1],
        "a connection with a stray response is not used again"
    );
}

async fn closes_after_extra_bytes() {
    let target = Target::start(|request| {
        let mut bytes = request.response("own");
        bytes.extend(request.response("again"));
        vec![Action::Send(bytes)]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let mut caller = gateway.connect().await;
    for id in ["a", "b"] {
        let response = caller.call(&post("/pay/1", id, "x")).await;
        assert_eq!((response.status, response.body.as_str()), (200, "own"));
    }
    assert_eq!(target.requests()[1].connection, 1);
}

async fn refused_before_it_ran() {
    let target = Target::start(|request| {
        let id = request.id();
        let text = format!(
            "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
        );
        vec![Action::Send(text.into_bytes())]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").parse::<f64>().unwrap() > 0.0);
    assert!(response.body.contains("not-run"), "{}", response.body);
}

async fn refused_without_an_end() {
    let target = Target::start(|request| {
        let id = request.id();
        let text = format!("HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\n\r\nfull");
        vec![
            Action::Send(text.into_bytes()),
            Action::Wait(Duration::from_secs(15)),
        ]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let since = std::time::Instant::now();
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("not-run"), "{}", response.body);
    assert!(since.elapsed() < Duration::from_secs(1));
}

async fn ignores_a_stray_refusal() {
    let late = "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    let target = Target::start(move |request| {
        let is_first = request.index == 0;
        let bytes = if is_first {
            request.response("fine")
        } else {
            late.into()
        };
        vec![Action::Send(bytes)]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let mut caller = gateway.connect().await;
    assert_eq!(caller.call(&post("/pay/1", "a", "x")).await.status, 200);
    let response = caller.call(&post("/pay/1", "b", "x")).await;
    assert_eq!(response.status, 502, "{}", response.body);
}

async fn passes_target_failures_on() {
    let target =
        Target::start(|request| vec![Action::Send(response(500, request.id(), "broke"))]).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(
        (
            response.status,
            response.body.as_str(),
            response.header("signed")
        ),
        (500, "broke", "yes")
    );
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "b", ""))
        .await;
    assert_eq!(
        (
            response.status,
            response.body.as_str(),
            response.header("signed")
        ),
        (500, "broke", "yes")
    );
}

/// Returns an address at which connections neither open nor fail: its backlog is full.
async fn unresponsive_address() -> (
    std::net::SocketAddr,
    Vec<tokio::net::TcpStream>,
    tokio::net::TcpListener,
) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    let moment = Duration::from_millis(100);
    let connect = || tokio::net::TcpStream::connect(address);
    while let Ok(Ok(stream)) = tokio::time::timeout(moment, connect()).await {
        held.push(stream);
    }
    (address, held, listener)
}

async fn later_refusal_keeps_outcome_unknown() {
    let order = Rc::new(Cell::new(0));
    let script = |order: &Rc<Cell<u32>>| {
        let order = Rc::clone(order);
        move |request: &Request| {
            let id = request.id();
            let full = format!(
                "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            match order.replace(order.get() + 1) {
                0 => vec![Action::Close],
                _ => vec![Action::Send(full.into_bytes())],
            }
        }
    };
    let one = Target::start(script(&order)).await;
    let two = Target::start(script(&order)).await;
    let (address, _held, _listener) = unresponsive_address().await;
    let mut view = view(routes(), &[&one, &two]);
    let mut targets = view.targets.by_name().clone();
    // Skipped at first, as a target that was silent for long, so that the other two come before it.
    let mut third = crate::harness::known_target("target-2", address);
    third.heard_at = third.heard_at.checked_sub(Duration::from_secs(10)).unwrap();
    targets.insert("target-2".to_owned(), third);
    view.targets = std::sync::Arc::new(targets.into_iter().collect());
    let gateway = Gateway::start(view).await;
    let text = get("/plans/1", "a", "deadline-ms: 250\r\n");
    let response = gateway.connect().await.call(&text).await;
    assert_eq!(order.get(), 2, "the first two targets got the request");
    assert_eq!(response.status, 504, "{}", response.body);
}

async fn early_response_ends_the_connection() {
    // The response comes before the body is read. What is sent next on that connection would be
    // taken for the rest of the body.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Rc::new(Cell::new(0));
    let count = taken.clone();
    tokio::task::spawn_local(async move {
        let mut held = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            use tokio::io::{AsyncReadExt, AsyncWriteExt};
            count.set(count.get() + 1);
            let mut buffer = [0; 512];
            let _ = stream.read(&mut buffer).await;
            let text =
                "HTTP/1.1 429 Later\r\nrequest-id: a\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(text.as_bytes()).await.unwrap();
            held.push(stream);
        }
    });
    let target = Target::responding_with("unused").await;
    let mut view = view(routes(), &[&target]);
    let known = crate::harness::known_target("target-0", address);
    view.targets = std::sync::Arc::new([("target-0".to_owned(), known)].into_iter().collect());
    // Longer than what the kernel buffers for a connection that nobody reads.
    let body = "x".repeat(24 << 20);
    let mut table = view.table().cloned().unwrap();
    table.limits.body_bytes = 32 << 20;
    view.configuration = Some(std::sync::Arc::new(Configuration {
        revision: 2,
        table: Some(table),
        evacuated: Vec::new(),
        versions: None,
    }));
    let gateway = Gateway::start(view).await;
    for _ in 0..2 {
        let response = gateway
            .connect()
            .await
            .call(&post("/pay/1", "a", &body))
            .await;
        assert_eq!(response.status, 503, "{}", response.body);
    }
    assert_eq!(taken.get(), 2, "the connection was used again");
}

async fn disconnect_cancels_the_request() {
    let target = Target::start(|_| vec![Action::Wait(Duration::from_secs(15))]).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let mut caller = gateway.connect().await;
    caller.send(&post("/pay/1", "a", "x")).await;
    crate::harness::wait_until("the request arrives", || target.requests().len() == 1).await;
    let since = std::time::Instant::now();
    drop(caller);
    crate::harness::wait_until("the target's connection closes", || target.closed() == 1).await;
    assert!(since.elapsed() < Duration::from_millis(500));
}

cases! {
    /// Path, query, body, status and the target's own header fields pass through as they were sent.
    a_complete_response_passes_unchanged => passes_response_unchanged(),
    /// A target sends a response that belongs to an earlier request of another caller. If it were
    /// passed on, a caller would read a stranger's response.
    a_stray_response_is_skipped => skips_a_stray_response(),
    /// A target responds twice. The second response must not meet the next request on that
    /// connection.
    bytes_after_a_response_end_the_connection => closes_after_extra_bytes(),
    /// A full target says that it has not run the request. The caller learns so, and when to retry.
    a_refusal_before_the_run_is_reported => refused_before_it_ran(),
    /// A full target refuses without a length and keeps its connection open. Waiting for the end of
    /// its body would hold the caller until its deadline for an outcome that is known.
    a_refusal_without_an_end_is_reported_at_once => refused_without_an_end(),
    /// A late refusal of an earlier request arrives without an id. If it were taken for this
    /// request's, it would promise that a running request never runs.
    a_refusal_without_an_id_promises_nothing => ignores_a_stray_refusal(),
    /// A target closes without a response; the next one refuses, which says nothing about the
    /// first. The caller must not be told that the request has not run.
    a_later_refusal_does_not_hide_an_unknown_run => later_refusal_keeps_outcome_unknown(),
    /// A target's own failure is its response, signature included, also for requests that may be
    /// repeated.
    a_targets_own_failure_is_passed_on => passes_target_failures_on(),
    /// A target responds before it has read a long body, and reads on later.
    a_connection_with_an_unread_body_is_not_used_again => early_response_ends_the_connection(),
    /// A caller disconnects while its request runs. The target would go on working for nobody.
    a_caller_that_disconnects_cancels_its_request => disconnect_cancels_the_request(),
    /// A target closes without a response; the request may have run.
    a_closed_connection_is_survived => survives(|_| vec![Action::Close]),
    /// A target's response is cut off in the middle of its body.
    a_truncated_response_is_survived => survives(|request| {
        vec![Action::Send(with_length(100, "half", request.id())), Action::Close]
    }),
    /// A target sends bytes that are no response.
    garbage_is_survived => survives(|_| vec![Action::Send(b"\0\x01garbage\r\n\r\n".to_vec())]),
    /// A target sends a malformed chunk.
    a_malformed_chunk_is_survived => survives(|request| {
        let id = request.id();
        let text = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"
        );
        vec![Action::Send(text.into_bytes())]
    }),
    /// A target states two lengths for one body.
    two_lengths_are_survived => survives(|request| {
        let id = request.id();
        let text = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
        );
        vec![Action::Send(text.into_bytes())]
    }),
}
