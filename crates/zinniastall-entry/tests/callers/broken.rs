//! Targets whose answers are none in the protocol, on the entry path.

use super::harness::{CHAT, Fake, Harness, Script};

const CHAT_PATH: &str = "/v1/chat/completions";
/// Length of an upload that fits into no buffer between an instance and a target.
const LONG: usize = 16 << 20;
/// Bytes that a target may send in all its runs of one request.
const MAX_SENT_BYTES: usize = 48 << 20;
const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// A target answers with a broken head; its caller learns that the outcome is unknown.
async fn is_no_answer(answer: &'static str) {
    let target = Fake::start(vec![Script::Write(answer)]);
    let harness = Harness::start(&[target.address]);
    let got = harness.post(CHAT_PATH, "", CHAT).await;
    assert!(got.starts_with("HTTP/1.1 502"), "{answer:?}: {got}");
    assert!(!got.contains("x-own") && !got.contains("body"), "{got}");
    assert!(target.ran() > 0);
    harness.stop().await;
}

macro_rules! broken_heads {
    ($($(#[$about:meta])* $name:ident: $answer:literal;)+) => {
        $($(#[$about])* #[actix_web::test] async fn $name() { is_no_answer($answer).await; })+
    };
}

broken_heads! {
    /// Guards against an answer with a status that no server may send.
    status_000: "HTTP/1.1 000 None\r\ncontent-length: 4\r\n\r\nbody";
    status_099: "HTTP/1.1 099 Low\r\ncontent-length: 4\r\n\r\nbody";
    status_600: "HTTP/1.1 600 High\r\ncontent-length: 4\r\n\r\nbody";
    status_999: "HTTP/1.1 999 High\r\ncontent-length: 4\r\n\r\nbody";
    /// Guards against a body that its caller can't decode.
    coding: "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nbody";
    /// Guards against a line that is passed on although its name is none, or that hides a length.
    name_with_a_blank: "HTTP/1.1 200 OK\r\nx own: 1\r\ncontent-length: 4\r\n\r\nbody";
    name_before_a_blank: "HTTP/1.1 200 OK\r\nx-own : 1\r\ncontent-length: 4\r\n\r\nbody";
    length_before_a_blank: "HTTP/1.1 200 OK\r\ncontent-length : 4\r\n\r\nbody";
    name_behind_a_blank: "HTTP/1.1 200 OK\r\n x-own: 1\r\ncontent-length: 4\r\n\r\nbody";
    name_with_a_tab: "HTTP/1.1 200 OK\r\nx\town: 1\r\ncontent-length: 4\r\n\r\nbody";
    name_with_a_zero_byte: "HTTP/1.1 200 OK\r\nx\0own: 1\r\ncontent-length: 4\r\n\r\nbody";
    name_with_a_control_byte: "HTTP/1.1 200 OK\r\nx\x7fown: 1\r\ncontent-length: 4\r\n\r\nbody";
    value_with_a_return: "HTTP/1.1 200 OK\r\nx-own: 1\r2\r\ncontent-length: 4\r\n\r\nbody";
}

/// Guards against the part of an answer before a reset that is delivered as the whole, since the
/// failed writing of an upload took the error.
#[actix_web::test]
async fn a_reset_under_an_upload_is_no_end() {
    let part = "HTTP/1.1 200 OK\r\n\r\nthe first part";
    for scripts in [
        vec![Script::Reset(part)],
        vec![Script::Reset(part), Script::Write(COMPLETE)],
    ] {
        let is_repeated = scripts.len() > 1;
        let target = Fake::start(scripts);
        let harness = Harness::with_bodies(&[target.address], 2 * LONG, |_| {});
        let filler = "x".repeat(LONG);
        let body = format!(
            r#"{{"model":"map-labels","messages":[{{"role":"user","content":"{filler}"}}]}}"#
        );
        let answer = harness.post(CHAT_PATH, "", &body).await;
        assert!(!answer.contains("the first part"), "{answer}");
        let status = if is_repeated { "200" } else { "502" };
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        harness.stop().await;
    }
    let target = Fake::start(vec![Script::Reset(part)]);
    let harness = Harness::with_bodies(&[target.address], 2 * LONG, |_| {});
    let ticket = harness.tickets(1).await.remove(0);
    let once = format!("x-zinniastall-ticket: {ticket}\r\n");
    let answer = harness.post("/orders/1", &once, &"x".repeat(LONG)).await;
    assert!(!answer.contains("the first part"), "{answer}");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(target.ran(), 1);
    harness.stop().await;
}

/// Guards against the same where the connection's orderly end comes before the reset.
#[actix_web::test]
async fn a_close_under_an_upload_is_no_end() {
    let target = Fake::start(vec![Script::Close("HTTP/1.1 200 OK\r\n\r\nthe first part")]);
    let harness = Harness::with_bodies(&[target.address], 2 * LONG, |_| {});
    let ticket = harness.tickets(1).await.remove(0);
    let once = format!("x-zinniastall-ticket: {ticket}\r\n");
    let answer = harness.post("/orders/1", &once, &"x".repeat(LONG)).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(target.ran(), 1);
    harness.stop().await;
}

/// A target sends bytes again and again; its caller is told, and the target's connection is closed.
async fn is_left(begin: &'static str, again: &'static str) {
    let target = Fake::start(vec![Script::Flood(begin, again)]);
    let harness = Harness::start(&[target.address]);
    let answer = harness.post(CHAT_PATH, "", CHAT).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    // What was sent is at most what the kernel's buffers hold beside the bounds.
    let sent = target.sent.load(std::sync::atomic::Ordering::SeqCst);
    assert!(sent < MAX_SENT_BYTES, "{sent} bytes");
    harness.stop().await;
}

macro_rules! floods {
    ($($(#[$about:meta])* $name:ident: $begin:literal, $again:literal;)+) => {
        $($(#[$about])* #[actix_web::test] async fn $name() { is_left($begin, $again).await; })+
    };
}

floods! {
    /// Guards against an instance that reads what a target sends for as long as it sends.
    head_without_end: "HTTP/1.1 200 OK\r\n", "a: b\r\n";
    name_without_end: "HTTP/1.1 200 OK\r\n", "a";
    informational_heads_without_end: "", "HTTP/1.1 103 Early Hints\r\n\r\n";
    blank_lines_without_end: "", "\r\n";
    chunk_size_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0";
    extension_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;", "x";
    trailer_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n";
    event_without_end: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n", "data: x";
}
