//! Targets whose answers are none in the protocol: no caller gets them, or a part of them.

use std::{sync::Arc, time::Duration};

use zinniastall_gateway::{
    headers::Names,
    view::{Shared, View},
};
use zinniastall_model::routing::{Kind, Route};

use crate::{
    cases,
    harness::{Action, Gateway, Request, Target, get, post, route, view},
    quarantine::two_regions,
};

/// Length of an upload that fits into no buffer between an instance and a target.
const LONG: usize = 12 << 20;

fn routes() -> Vec<Route> {
    vec![
        route("/plans/", Kind::Idempotent, 2),
        route("/pay/", Kind::Once, 1),
        route("/stream/", Kind::Stream, 1),
    ]
}

/// Returns a view whose table permits long uploads.
fn view_of_uploads(targets: &[&Target]) -> View {
    let mut view = view(routes(), targets);
    let mut configuration = (*view.configuration.unwrap()).clone();
    if let Some(table) = &mut configuration.table {
        table.limits.body_bytes = LONG;
    }
    view.configuration = Some(Arc::new(configuration));
    view
}

/// What is put in place of a part of a sound answer.
#[derive(Debug, Clone)]
struct Fault {
    status_line: &'static [u8],
    line: &'static [u8],
    body: &'static [u8],
}

impl Fault {
    const fn status_line(status_line: &'static [u8]) -> Self {
        Self {
            status_line,
            line: b"x-own: 1",
            body: b"body",
        }
    }

    const fn line(line: &'static [u8]) -> Self {
        Self {
            line,
            ..Self::status_line(b"HTTP/1.1 200 OK")
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let id = format!("request-id: {}", request.id());
        let length = format!("content-length: {}", self.body.len());
        let lines = [
            self.status_line,
            id.as_bytes(),
            b"signed: yes",
            self.line,
            length.as_bytes(),
            b"",
            self.body,
        ];
        lines.join(&b"\r\n"[..])
    }
}

/// A target answers with a fault, beside a sound one: a request that may be repeated is served by that
/// one, any other fails. Callers are at the target's region, and at another one.
async fn is_no_answer(fault: Fault) {
    let faulty = move |request: &Request| vec![Action::Send(fault.answer(request)), Action::Close];
    for is_far in [false, true] {
        let only = Target::start(faulty.clone()).await;
        let (far, near) = two_regions(routes(), &[&only]).await;
        let gateway = if is_far { far } else { near };
        for path in ["/pay/1", "/stream/1"] {
            let response = gateway.connect().await.call(&post(path, "a", "x")).await;
            assert_eq!(response.status, 502, "{path}, far {is_far}: {response:?}");
            assert_eq!(response.header("signed"), "");
        }
        let (one, sound) = (
            Target::start(faulty.clone()).await,
            Target::responding_with("fine").await,
        );
        let (far, near) = two_regions(routes(), &[&one, &sound]).await;
        let gateway = if is_far { far } else { near };
        let mut served = 0;
        for at in 0.. {
            if at >= 6 && served > 0 && !one.requests().is_empty() {
                break;
            }
            let text = post("/plans/1", &format!("r{at}"), "x");
            let response = gateway.connect().await.call(&text).await;
            // A request that another instance passed on isn't repeated there.
            assert!(response.status == 200 || is_far, "{response:?}");
            if response.status == 200 {
                assert_eq!(response.body, "fine", "far {is_far}");
                served += 1;
            }
        }
    }
}

/// Answers at once, without a length, and resets the connection.
fn reset_early(status: &str, request: &Request) -> Vec<Action> {
    let head = format!("HTTP/1.1 {status}\r\nrequest-id: {}\r\n\r\n", request.id());
    let part = (head + "the first part").into_bytes();
    vec![Action::Send(part), Action::Reset]
}

/// A target answers long uploads early, and resets the connection.
async fn a_reset_under_an_upload_ends_no_answer() {
    for status in ["200 OK", "404 None", "500 Failed"] {
        for path in ["/pay/1", "/stream/1"] {
            let script = move |request: &Request| reset_early(status, request);
            let target = Target::answering_early(script).await;
            let gateway = Gateway::start(view_of_uploads(&[&target])).await;
            let text = post(path, "a", &"x".repeat(LONG));
            let response = gateway.connect().await.call(&text).await;
            assert_eq!(response.status, 502, "{path}, {status}: {response:?}");
            assert_eq!(target.requests().len(), 1);
        }
    }
    let script = |request: &Request| reset_early("200 OK", request);
    let one = Target::answering_early(script).await;
    let sound = Target::responding_with("fine").await;
    let gateway = Gateway::start(view_of_uploads(&[&one, &sound])).await;
    for at in 0.. {
        if at >= 3 && !one.requests().is_empty() {
            break;
        }
        let text = post("/plans/1", &format!("r{at}"), &"x".repeat(LONG));
        let response = gateway.connect().await.call(&text).await;
        assert_eq!((response.status, response.body.as_str()), (200, "fine"));
    }
}

/// Answers at once, without a length, and ends its direction of the connection in order.
fn end_early(request: &Request, then: [Action; 2]) -> Vec<Action> {
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {}\r\n\r\n", request.id());
    let part = Action::Send((head + "the first part").into_bytes());
    [part, Action::HalfClose].into_iter().chain(then).collect()
}

/// A target answers long uploads early, and closes the connection while they are still written.
async fn a_close_under_an_upload_ends_no_answer() {
    for length in [200 << 10, 4 << 20] {
        let close = [Action::Stall(Duration::from_millis(20)), Action::Close];
        let script = move |request: &Request| end_early(request, close.clone());
        let target = Target::answering_early(script).await;
        let gateway = Gateway::start(view_of_uploads(&[&target])).await;
        let text = post("/pay/1", "a", &"x".repeat(length));
        let response = gateway.connect().await.call(&text).await;
        assert_eq!(response.status, 502, "{length}: {response:?}");
        assert_eq!(target.requests().len(), 1);
    }
}

/// A target ends its direction early, and reads long uploads to their ends.
async fn a_half_closed_answer_is_delivered() {
    for length in [4 << 10, 200 << 10, 4 << 20] {
        let script = |request: &Request| end_early(request, [Action::ReadOn, Action::Close]);
        let target = Target::answering_early(script).await;
        let gateway = Gateway::start(view_of_uploads(&[&target])).await;
        let text = post("/pay/1", "a", &"x".repeat(length));
        let response = gateway.connect().await.call(&text).await;
        let (status, body) = (response.status, response.body.as_str());
        assert_eq!((status, body), (200, "the first part"), "{length}");
    }
}

/// A target answers with a success that it hasn't signed, or with one that it has.
async fn is_unsigned() {
    let names = Names {
        signature: Some(http::HeaderName::from_static("signed")),
        ..Names::default()
    };
    let unsigned = |request: &Request| {
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {}\r\n", request.id());
        let rest = "content-length: 4\r\n\r\nbody";
        vec![Action::Send((head + rest).into_bytes())]
    };
    let target = Target::start(unsigned).await;
    let board = Shared::new(view(routes(), &[&target]));
    let gateway = Gateway::with_names(board, names.clone()).await;
    for path in ["/pay/1", "/stream/1", "/plans/1"] {
        let response = gateway.connect().await.call(&post(path, "a", "x")).await;
        assert_eq!(response.status, 502, "{path}: {response:?}");
    }
    let (target, sound) = (
        Target::start(unsigned).await,
        Target::responding_with("fine").await,
    );
    let board = Shared::new(view(routes(), &[&target, &sound]));
    let gateway = Gateway::with_names(board, names.clone()).await;
    for at in 0.. {
        if at >= 6 && !target.requests().is_empty() {
            break;
        }
        let text = post("/plans/1", &format!("r{at}"), "x");
        let response = gateway.connect().await.call(&text).await;
        assert_eq!((response.status, response.body.as_str()), (200, "fine"));
    }
    let failing = |request: &Request| {
        let head = format!("HTTP/1.1 404 None\r\nrequest-id: {}\r\n", request.id());
        vec![Action::Send(
            (head + "content-length: 0\r\n\r\n").into_bytes(),
        )]
    };
    let target = Target::start(failing).await;
    let board = Shared::new(view(routes(), &[&target]));
    let gateway = Gateway::with_names(board, names).await;
    let response = gateway.connect().await.call(&post("/pay/1", "a", "")).await;
    assert_eq!(response.status, 404);
}

/// A target answers with a coded body, to callers that ask for the coding and to others.
async fn is_coded() {
    let coded = Fault::line(b"content-encoding: gzip");
    let script = move |request: &Request| vec![Action::Send(coded.answer(request))];
    let target = Target::start(script).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    for (fields, status) in [
        ("", 502),
        ("accept-encoding: br\r\n", 502),
        ("accept-encoding: br, gzip\r\n", 200),
    ] {
        let text = get("/pay/1", "a", fields);
        let response = gateway.connect().await.call(&text).await;
        assert_eq!(response.status, status, "{fields:?}: {response:?}");
    }
}

/// A target answers uploads at once and whole, and resets each connection a moment later.
async fn whole_answers_outlast_a_reset() {
    for length in [200 << 10, LONG] {
        let script = |request: &Request| {
            vec![
                Action::Send(request.response("fine")),
                Action::Stall(Duration::from_millis(100)),
                Action::Reset,
            ]
        };
        let target = Target::answering_early(script).await;
        let gateway = Gateway::start(view_of_uploads(&[&target])).await;
        for at in 0..6 {
            let text = post("/pay/1", &format!("r{at}"), &"x".repeat(length));
            let response = gateway.connect().await.call(&text).await;
            let got = (response.status, response.body.as_str());
            assert_eq!(got, (200, "fine"), "upload {at} of {length} bytes");
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }
}

/// A target sends fields that instances exchange, over a hop: they would count as an instance's word.
async fn is_no_instance() {
    for field in [
        "zs-outcome: not-run",
        "zs-close-delimited: 1",
        "zs-retry-after-ms: 9",
    ] {
        let script = move |request: &Request| {
            let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {}\r\n", request.id());
            let rest = format!("{field}\r\ncontent-length: 4\r\n\r\nbody");
            vec![Action::Send((head + &rest).into_bytes())]
        };
        let target = Target::start(script).await;
        let (far, near) = two_regions(routes(), &[&target]).await;
        for gateway in [far, near] {
            let response = gateway
                .connect()
                .await
                .call(&post("/pay/1", "a", "x"))
                .await;
            assert_eq!(
                (response.status, response.body.as_str()),
                (200, "body"),
                "{field}"
            );
            assert!(response.is_complete(), "{field}");
            assert!(!response.head.contains("zs-"), "{}", response.head);
        }
    }
}

cases! {
    /// Guards against a request that ran and is told to its caller as not run.
    fields_of_instances_are_not_taken_from_targets => is_no_instance(),
    /// Guards against a whole answer that is lost, since its connection or the one before is reset.
    a_whole_answer_outlasts_a_reset => whole_answers_outlast_a_reset(),
    /// Guards against a success that is no answer of the target.
    an_unsigned_success_is_no_answer => is_unsigned(),
    /// Guards against a body that its caller can't decode.
    a_coding_that_was_not_asked_for_is_no_answer => is_coded(),
    /// Guards against the part of an answer before a reset that is delivered as the whole.
    a_reset_under_an_upload_is_no_end => a_reset_under_an_upload_ends_no_answer(),
    /// Guards against the same where the connection's orderly end comes before the reset.
    a_close_under_an_upload_is_no_end => a_close_under_an_upload_ends_no_answer(),
    /// Guards against a sound answer that is lost because its target ends its direction first.
    a_half_closed_answer_under_an_upload_is_whole => a_half_closed_answer_is_delivered(),
    /// Guards against an answer with a status that no server may send.
    status_000_is_no_answer => is_no_answer(Fault::status_line(b"HTTP/1.1 000 None")),
    status_099_is_no_answer => is_no_answer(Fault::status_line(b"HTTP/1.1 099 Low")),
    status_600_is_no_answer => is_no_answer(Fault::status_line(b"HTTP/1.1 600 High")),
    status_999_is_no_answer => is_no_answer(Fault::status_line(b"HTTP/1.1 999 High")),
    /// Guards against an answer behind the end of HTTP on its connection.
    status_101_is_no_answer => is_no_answer(Fault::status_line(
        b"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK",
    )),
    status_100_alone_is_no_answer => is_no_answer(Fault::status_line(b"HTTP/1.1 100 Continue")),
    /// Guards against a line that is passed on although its name is none, or that hides a length.
    a_name_with_a_blank_is_no_answer => is_no_answer(Fault::line(b"x own: 1")),
    a_name_before_a_blank_is_no_answer => is_no_answer(Fault::line(b"x-own : 1")),
    a_length_before_a_blank_is_no_answer => is_no_answer(Fault::line(b"content-length : 2")),
    a_name_behind_a_blank_is_no_answer => is_no_answer(Fault::line(b" x-own: 1")),
    a_name_with_a_tab_is_no_answer => is_no_answer(Fault::line(b"x\town: 1")),
    a_name_with_a_zero_byte_is_no_answer => is_no_answer(Fault::line(b"x\0own: 1")),
    a_name_with_a_control_byte_is_no_answer => is_no_answer(Fault::line(b"x\x7fown: 1")),
    a_name_with_a_return_is_no_answer => is_no_answer(Fault::line(b"x\rown: 1")),
    a_value_with_a_return_is_no_answer => is_no_answer(Fault::line(b"x-own: 1\r2")),
    a_line_without_a_colon_is_no_answer => is_no_answer(Fault::line(b"x-own")),
}
