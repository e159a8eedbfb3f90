//! Malicious request heads: smuggled requests, oversized heads, forged fields.

use zinniastall_model::routing::Kind;

use crate::{
    cases,
    harness::{Gateway, HOST, Target, get, route, view},
};

async fn gateway() -> (Gateway, Target) {
    let target = Target::responding_with("fine").await;
    let routes = vec![route("/plans/", Kind::Idempotent, 1)];
    let gateway = Gateway::start(view(routes, &[&target])).await;
    (gateway, target)
}

/// Checks that a request is refused with a status, and that the request sent behind it isn't read.
async fn refused(text: String, status: u16) {
    let (gateway, target) = gateway().await;
    let mut caller = gateway.connect().await;
    let behind = get("/plans/smuggled", "evil", "");
    let response = caller.call(&format!("{text}{behind}")).await;
    assert_eq!(response.status, status, "{}", response.body);
    assert_eq!(response.header("connection"), "close");
    assert!(caller.reads_eof().await);
    assert_eq!(target.requests().len(), 0);
}

fn with(fields: &str) -> String {
    format!("POST /plans/1 HTTP/1.1\r\nHost: {HOST}\r\nrequest-id: a\r\n{fields}\r\n\r\n")
}

async fn strips_reserved_fields() {
    let (gateway, target) = gateway().await;
    let fields = "secret: 1\r\nzs-revision: 9\r\nexpected-target: other\r\ndeadline-ms: 900\r\n\
                  fetch-from: 127.0.0.1:1\r\n\
                  x-own: kept\r\nConnection: x-hop\r\nx-hop: 1\r\n";
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "a", fields))
        .await;
    assert_eq!(response.status, 200);
    let request = target.requests().remove(0);
    for gone in ["secret", "zs-revision", "x-hop", "connection", "fetch-from"] {
        assert_eq!(request.header(gone), "", "{gone} was passed on");
    }
    assert_eq!(request.header("x-own"), "kept");
    assert_eq!(request.header("expected-target"), "target-0");
    let left: u64 = request.header("deadline-ms").parse().unwrap();
    assert!((1..=900).contains(&left), "{left}");
}

async fn rejects_a_long_head() {
    let long = format!("x-long: {}", "x".repeat(20_000));
    refused(with(&long), 431).await;
}

async fn rejects_a_long_body() {
    let (gateway, target) = gateway().await;
    let mut caller = gateway.connect().await;
    let head = with("Transfer-Encoding: chunked");
    caller.send(&head).await;
    // Five chunks of a megabyte exceed the four that a body may have.
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(1 << 20));
    for _ in 0..5 {
        caller.send(&chunk).await;
    }
    let response = caller.read_response().await.unwrap();
    assert_eq!(response.status, 413);
    assert_eq!(target.requests().len(), 0);
}

async fn accepts_chunks() {
    let (gateway, target) = gateway().await;
    let mut caller = gateway.connect().await;
    let head = with("Transfer-Encoding: chunked");
    let response = caller
        .call(&format!("{head}3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"))
        .await;
    assert_eq!(response.status, 200);
    let request = target.requests().remove(0);
    assert_eq!(request.body, b"abcde");
    assert_eq!(request.header("transfer-encoding"), "");
}

async fn partial_body_runs_nothing() {
    let (gateway, target) = gateway().await;
    let mut caller = gateway.connect().await;
    caller.send(&with("Content-Length: 10")).await;
    caller.send("half").await;
    drop(caller);
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "b", ""))
        .await;
    assert_eq!(response.status, 200);
    assert_eq!(target.requests().len(), 1);
}

async fn serves_pipelined_requests() {
    let (gateway, _target) = gateway().await;
    let mut caller = gateway.connect().await;
    let text = get("/plans/1", "a", "") + &get("/plans/2", "b", "");
    caller.send(&text).await;
    for id in ["a", "b"] {
        let response = caller.read_response().await.unwrap();
        assert_eq!((response.status, response.header("request-id")), (200, id));
    }
}

cases! {
    /// A caller sets fields that only the gateway may set, to reach what isn't its own.
    reserved_fields_are_dropped => strips_reserved_fields(),
    /// A head without an end would exhaust the memory.
    a_long_head_is_refused => rejects_a_long_head(),
    /// A body without an end would exhaust the memory.
    a_long_body_is_refused => rejects_a_long_body(),
    /// A chunked body is passed on whole, with its length.
    a_body_in_chunks_is_passed_on => accepts_chunks(),
    /// A caller disconnects in the middle of its body: nothing must run.
    a_partial_body_is_never_sent => partial_body_runs_nothing(),
    /// Callers may send the next request before the response has arrived.
    pipelined_requests_are_answered_in_order => serves_pipelined_requests(),
    /// Two lengths: a target that uses the other one would find a request inside the body.
    two_lengths_are_refused => refused(with("Content-Length: 4\r\nContent-Length: 90"), 400),
    /// A length beside chunks, of which two parsers may prefer different ones.
    a_length_beside_chunks_is_refused =>
        refused(with("Content-Length: 4\r\nTransfer-Encoding: chunked"), 400),
    /// A transfer coding that only one of two parsers knows.
    an_unknown_coding_is_refused => refused(with("Transfer-Encoding: xchunked"), 400),
    /// A list of transfer codings.
    two_codings_are_refused => refused(with("Transfer-Encoding: gzip, chunked"), 400),
    /// A length with a sign.
    a_signed_length_is_refused => refused(with("Content-Length: +4"), 400),
    /// A line that ends without a carriage return.
    a_bare_line_end_is_refused => refused(with("x-a: 1\nx-b: 2"), 400),
    /// A space before the colon hides a field from some parsers.
    a_space_before_the_colon_is_refused => refused(with("Content-Length : 4"), 400),
    /// A folded header line.
    a_folded_line_is_refused => refused(with("x-a: 1\r\n Content-Length: 4"), 400),
    /// Two hosts match two routes.
    two_hosts_are_refused => refused(with("Host: other.example"), 400),
    /// A chunk size that isn't hexadecimal.
    a_malformed_chunk_is_refused =>
        refused(with("Transfer-Encoding: chunked") + "+3\r\nabc\r\n0\r\n\r\n", 400),
}
