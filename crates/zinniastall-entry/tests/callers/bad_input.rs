//! Invalid requests, sent by mistake or on purpose.

use super::harness::{CHAT, Fake, Harness, KEY, Script};

const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Defines test cases: a raw request, and what the response must contain. After each, the instance
/// must still serve a valid request.
macro_rules! refusal_cases {
    ($($name:ident: $request:expr => $($part:literal),+;)+) => {$(
        #[actix_web::test]
        async fn $name() {
            let target = Fake::start(vec![Script::Write(COMPLETE)]);
            let harness = Harness::start(&[target.address]);
            let answer = harness.send_raw($request.into()).await;
            $(assert!(answer.contains($part), "no {:?} in {answer}", $part);)+
            assert_eq!(target.ran(), 0);
            let good = harness.post("/v1/chat/completions", "", CHAT).await;
            assert!(good.starts_with("HTTP/1.1 200"), "{good}");
            harness.stop().await;
        }
    )+};
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn keyed(path: &str, headers: &str, body: &str) -> String {
    post(
        path,
        &format!("authorization: Bearer {KEY}\r\n{headers}"),
        body,
    )
}

fn chat(headers: &str, body: &str) -> String {
    keyed("/v1/chat/completions", headers, body)
}

refusal_cases! {
    no_key: post("/v1/chat/completions", "", CHAT) => "401", "no-key", "not-run";
    unknown_key: post("/v1/chat/completions", "authorization: Bearer x\r\n", CHAT)
        => "401", "unknown-key", "not-run";
    malformed_json: chat("", "{\"model\":") => "400", "malformed-body", "not-run";
    wrong_type: chat("", "{\"model\":7}") => "400", "malformed-body", "not-run";
    deep_json: chat("", &"[".repeat(4000)) => "400", "malformed-body", "not-run";
    unknown_route: keyed("/nothing", "", "") => "404", "no-route", "not-run";
    similar_route: keyed("/proofsheets", "", "") => "404", "no-route", "not-run";
    unknown_model: chat("", "{\"model\":\"none\"}") => "404", "no-route", "not-run";
    huge_body: chat("", &"x".repeat(8192)) => "413", "body-too-large", "not-run";
    malformed_deadline: chat("x-zinniastall-deadline-ms: soon\r\n", CHAT)
        => "400", "malformed-header", "not-run";
    malformed_class: chat("x-zinniastall-class: a b\r\n", CHAT)
        => "400", "malformed-header", "not-run";
    endless_headers: chat(&"x-a: b\r\n".repeat(400), CHAT)
        => "HTTP/1.1 431", "head-too-large", "not-run";
    long_header: chat(&format!("x-a: {}\r\n", "b".repeat(160_000)), CHAT)
        => "HTTP/1.1 431", "head-too-large", "not-run";
    not_http: "\u{1}\u{2}\u{3}\r\n\r\n" => "HTTP/1.1 400", "malformed-head", "not-run";
    malformed_length: post("/v1/chat/completions", "content-length: x\r\n", CHAT)
        => "HTTP/1.1 400", "malformed-head", "not-run";
    slow_head: "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
        => "HTTP/1.1 408", "too-slow", "not-run";
    wrong_method: keyed("/v1/locate", "", "") => "404", "no-route", "not-run";
    slow_body: format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\nhalf"
    ) => "408", "too-slow", "not-run";
}

// A service's response ends with the bytes that the HTTP library writes when it rejects a head, as
// a page about HTTP may. The caller must receive them unchanged.
#[actix_web::test]
async fn answer_like_a_refusal_is_not_changed() {
    let bare = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let long = "x".repeat(300 * 1024);
    let length = long.len() + bare.len();
    let first = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{long}");
    let target = Fake::start(vec![Script::Parts(vec![first, bare.to_owned()])]);
    let harness = Harness::start(&[target.address]);
    let answer = harness.post("/proofs/7", "", "").await;
    assert!(answer.ends_with(bare), "{} bytes", answer.len());
    harness.stop().await;
}
