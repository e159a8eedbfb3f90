//! What callers may send by mistake or malice.

use super::bench::{Bench, CHAT, Fake, KEY, Script};

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Names a case: a raw request, and what its answer must say. After each the instance must still
/// serve a good request.
macro_rules! refused {
    ($($name:ident: $request:expr => $($part:literal),+;)+) => {$(
        #[actix_web::test]
        async fn $name() {
            let target = Fake::start(vec![Script::Write(WHOLE)]);
            let bench = Bench::start(&[target.address]);
            let answer = bench.raw($request.into()).await;
            $(assert!(answer.contains($part), "no {:?} in {answer}", $part);)+
            assert_eq!(target.ran(), 0);
            let good = bench.post("/v1/chat/completions", "", CHAT).await;
            assert!(good.starts_with("HTTP/1.1 200"), "{good}");
            bench.stop().await;
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

refused! {
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
    endless_headers: chat(&"x-a: b\r\n".repeat(400), CHAT) => "HTTP/1.1 4";
    not_http: "\u{1}\u{2}\u{3}\r\n\r\n" => "HTTP/1.1 400";
    slow_head: "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n" => "408";
    slow_body: format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\nhalf"
    ) => "408", "too-slow", "not-run";
}
