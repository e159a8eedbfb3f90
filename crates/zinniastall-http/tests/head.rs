//! Tests of the strict parsing of heads.

use bytes::BytesMut;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use zinniastall_http::{
    body::Framing,
    head::{Error, Parse, Request, Response, strip_hop_by_hop},
};

const SEED: u64 = 6;
const LIMIT: usize = 4_096;

fn request(text: &str) -> Result<Option<Request>, Error> {
    Request::parse(&mut BytesMut::from(text), LIMIT)
}

fn response(text: &str) -> Result<Option<Response>, Error> {
    Response::parse(&mut BytesMut::from(text), LIMIT)
}

#[test]
fn a_head_is_parsed_once_complete() {
    let text = "GET /a?b=c HTTP/1.1\r\nHost: h:80\r\n\r\nrest";
    for length in 0..text.len() - 4 {
        let parsed = request(&text[..length]);
        assert!(matches!(parsed, Ok(None)), "cut at {length}: {parsed:?}");
    }
    let mut input = BytesMut::from(text);
    let head = Request::parse(&mut input, LIMIT)
        .expect("a valid head")
        .expect("a complete head");
    assert_eq!((head.path(), head.query(), head.host()), ("/a", "b=c", "h"));
    assert_eq!(&input[..], b"rest");
}

#[test]
fn a_head_without_an_end_is_refused_at_the_limit() {
    let text = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(LIMIT));
    assert_eq!(request(&text).err(), Some(Error::TooLong));
}

#[test]
fn response_framing_follows_the_head() {
    let framing = |fields: &str, head_only| {
        let parsed = response(&format!("HTTP/1.1 200 OK\r\n{fields}\r\n"));
        parsed
            .expect("a valid head")
            .expect("a complete head")
            .framing(head_only)
    };
    assert_eq!(
        framing("content-length: 3\r\n", false),
        Ok(Framing::Length(3))
    );
    assert_eq!(
        framing("transfer-encoding: chunked\r\n", false),
        Ok(Framing::Chunked)
    );
    assert_eq!(framing("", false), Ok(Framing::Close));
    assert_eq!(
        framing("content-length: 3\r\n", true),
        Ok(Framing::Length(0))
    );
}

/// Input that can't become a status line is refused at its first wrong byte, without waiting for
/// the rest of the head.
#[test]
fn invalid_status_lines_are_refused_at_once() {
    for bytes in ["x", "HTTQ", "\r\n", "200 OK"] {
        assert!(response(bytes).is_err(), "{bytes:?}");
    }
    assert!(matches!(response("HTT"), Ok(None)));
}

#[test]
fn hop_by_hop_fields_are_stripped() {
    let hop_by_hop = "connection: close, x-own\r\nx-own: 1\r\nkeep-alive: 1\r\nte: a\r\n";
    let parsed = request(&format!("GET / HTTP/1.1\r\n{hop_by_hop}x: 1\r\n\r\n"));
    let mut headers = parsed
        .expect("a valid head")
        .expect("a complete head")
        .headers;
    strip_hop_by_hop(&mut headers);
    let names: Vec<&str> = headers.keys().map(http::HeaderName::as_str).collect();
    assert_eq!(names, ["x"]);
}

/// On arbitrary input, parsing neither panics nor returns a head with an ambiguous end.
#[test]
fn arbitrary_heads_never_panic() {
    println!("seed {SEED}");
    let config = Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let parts = prop::sample::select(vec![
        "GET / HTTP/1.1\r\n",
        "HTTP/1.1 200 OK\r\n",
        "Host: h\r\n",
        "Content-Length: 3\r\n",
        "Transfer-Encoding: chunked\r\n",
        "\r\n",
        "\n",
        "x: y\r\n",
        " folded\r\n",
        "\0",
        ":",
        "POST * HTTP/1.0\r\n",
    ]);
    let result = TestRunner::new(config).run(&prop::collection::vec(parts, 0..10), |parts| {
        let text = parts.concat();
        if let Ok(Some(head)) = request(&text) {
            prop_assert!(head.framing().is_ok());
        }
        if let Ok(Some(head)) = response(&text) {
            prop_assert!(head.framing(false).is_ok());
        }
        Ok(())
    });
    result.expect("no input panics");
}
