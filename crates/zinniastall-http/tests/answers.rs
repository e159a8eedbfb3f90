//! Heads of answers with one wrong byte, over all values that a byte can have.

use bytes::BytesMut;
use http::HeaderName;
use zinniastall_http::head::{Error, Parse, Response};

const LIMIT: usize = 4_096;
/// Lengths of names and values around the widths at which a parser reads several bytes at once.
const LENGTHS: [usize; 7] = [1, 7, 8, 15, 16, 31, 33];

fn parse(head: &[u8]) -> Result<Option<Response>, Error> {
    Response::parse(&mut BytesMut::from(head), LIMIT)
}

/// Returns the bytes for which a head is accepted, once each is put between two parts of it.
fn accepted(before: &[u8], after: &[u8]) -> Vec<u8> {
    let is_accepted = |byte: &u8| {
        let head = [before, &[*byte], after].concat();
        matches!(parse(&head), Ok(Some(_)))
    };
    (0..=u8::MAX).filter(is_accepted).collect()
}

fn bytes_that(is_valid: impl Fn(u8) -> bool) -> Vec<u8> {
    (0..=u8::MAX).filter(|byte| is_valid(*byte)).collect()
}

/// Bytes of a name (RFC 9110, 5.6.2).
const fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(
            byte,
            b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^' | b'_' | b'`' | b'|' | b'~'
        )
}

/// Bytes of a value or a reason phrase (RFC 9110, 5.5).
const fn is_text(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
}

/// Guards against a success, or any answer, whose status no server may send.
#[test]
fn only_statuses_of_the_protocol_are_answers() {
    for status in 0..=999_u16 {
        for version in ["1.0", "1.1"] {
            let head = format!("HTTP/{version} {status:03} Some\r\ncontent-length: 0\r\n\r\n");
            let is_answer = matches!(parse(head.as_bytes()), Ok(Some(_)));
            assert_eq!(is_answer, (100..600).contains(&status), "{head:?}");
        }
    }
}

/// Guards against a status line of other bytes that counts as one.
#[test]
fn a_status_line_has_no_other_bytes() {
    let fields = b" Some\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(accepted(b"HTTP/1.", b" 200 OK\r\n\r\n"), b"01");
    assert_eq!(accepted(b"HTTP/", b".1 200 OK\r\n\r\n"), b"1");
    assert_eq!(accepted(b"HTTP/1.1", b"200 OK\r\n\r\n"), b" ");
    assert_eq!(
        accepted(b"HTTP/1.1 ", &[b"00", &fields[..]].concat()),
        b"12345"
    );
    assert_eq!(
        accepted(b"HTTP/1.1 2", &[b"0", &fields[..]].concat()),
        b"0123456789"
    );
    assert_eq!(accepted(b"HTTP/1.1 20", fields), b"0123456789");
    assert_eq!(accepted(b"HTTP/1.1 200", b"OK\r\n\r\n"), b" ");
    assert_eq!(
        accepted(b"HTTP/1.1 200 O", b"K\r\n\r\n"),
        bytes_that(is_text)
    );
    for line in [
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1  200 OK",
        "HTTP/2.0 200 OK",
        "http/1.1 200 OK",
    ] {
        let head = format!("{line}\r\n\r\n");
        assert!(parse(head.as_bytes()).is_err(), "{line}");
    }
}

/// Guards against a line that is passed on, or that hides a length, because its name holds a blank or a
/// control byte.
#[test]
fn a_name_holds_only_token_bytes() {
    let tokens = bytes_that(is_token);
    for length in LENGTHS {
        for at in 0..length {
            let (before, after) = ("n".repeat(at), "n".repeat(length - at - 1));
            let before = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n{before}");
            let after = format!("{after}: v\r\nx: y\r\n\r\n");
            let accepted = accepted(before.as_bytes(), after.as_bytes());
            // A colon ends the name, which then must not be empty.
            let expected = tokens.iter().copied().chain((at > 0).then_some(b':'));
            let mut expected: Vec<u8> = expected.collect();
            expected.sort_unstable();
            assert_eq!(accepted, expected, "byte {at} of {length}");
        }
    }
    for line in [
        "Content-Length : 4",
        " content-length: 4",
        "\tx: y",
        "content length: 4",
        ": v",
        "no colon",
        "\0: v",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{line}\r\nstamp: s\r\n\r\n");
        assert!(parse(head.as_bytes()).is_err(), "{line:?}");
        let head = format!("HTTP/1.1 200 OK\r\nstamp: s\r\n{line}\r\n\r\n");
        assert!(parse(head.as_bytes()).is_err(), "{line:?}");
    }
}

/// Guards against a value with a control byte, which another recipient may take for a line end.
#[test]
fn a_value_holds_no_control_bytes() {
    let texts = bytes_that(is_text);
    for length in LENGTHS {
        for at in 0..length {
            let (before, after) = ("v".repeat(at), "v".repeat(length - at - 1));
            let before = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\nstamp: {before}");
            let after = format!("{after}\r\nx: y\r\n\r\n");
            let accepted = accepted(before.as_bytes(), after.as_bytes());
            assert_eq!(accepted, texts, "byte {at} of {length}");
        }
    }
}

/// Guards against two readings of where an answer ends.
#[test]
fn a_length_is_one_number() {
    for value in [
        "",
        "-1",
        "+4",
        "4 4",
        "4, 4",
        "4,5",
        "0x4",
        "4.0",
        "4\u{a0}",
        "18446744073709551616",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {value}\r\n\r\n");
        assert!(parse(head.as_bytes()).is_err(), "{value:?}");
    }
    for fields in [
        "content-length: 4\r\ncontent-length: 4\r\n",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: \x0bchunked\r\n",
        "transfer-encoding:\r\n",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
        assert!(parse(head.as_bytes()).is_err(), "{fields:?}");
    }
}

/// Guards against a name of some length that is read as another one.
#[test]
fn names_of_all_lengths_are_read_alike() {
    for length in 1..=64 {
        let name = "n".repeat(length);
        let head = format!("HTTP/1.1 200 OK\r\n{name}: v\r\n\r\n");
        let response = parse(head.as_bytes()).expect("valid").expect("complete");
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a token");
        assert_eq!(response.headers[name], "v");
    }
}
