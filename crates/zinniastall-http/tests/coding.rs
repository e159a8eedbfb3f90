//! Tests of the codings that a request accepts.

use http::{HeaderMap, HeaderValue, header::CONTENT_ENCODING};
use zinniastall_http::coding::is_accepted;

/// Guards against a body that its caller can't decode, and against the loss of one that it can.
#[test]
fn only_codings_that_were_asked_for_are_accepted() {
    for (accepted, coding, expected) in [
        (&[][..], "", true),
        (&[], "identity", true),
        (&[], "Identity, ", true),
        (&[], "gzip", false),
        (&[], "\u{e9}", false),
        (&["gzip"], "gzip", true),
        (&["GZIP;q=0.5"], "x-gzip", true),
        (&["x-gzip"], "gzip", true),
        (&["gzip; q=0"], "gzip", false),
        (&["gzip;q=0.000"], "gzip", false),
        (&["br, gzip"], "gzip", true),
        (&["br", "gzip"], "gzip", true),
        (&["br"], "gzip", false),
        (&["*"], "zstd", true),
        (&["*;q=0"], "zstd", false),
        (&["gzip"], "gzip, br", false),
        (&["gzip, br"], "gzip, br", true),
    ] {
        let mut answer = HeaderMap::new();
        let value = HeaderValue::from_bytes(coding.as_bytes()).expect("a value");
        answer.insert(CONTENT_ENCODING, value);
        let read = is_accepted(accepted, &answer);
        assert_eq!(read, expected, "{coding:?} for {accepted:?}");
    }
}
