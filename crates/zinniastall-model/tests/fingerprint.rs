//! Tests which differences between requests change their fingerprints.

use proptest::prelude::*;
use zinniastall_model::fingerprint::Fingerprint;

const HOST: &str = "maps.example";

fn of(account: Option<&str>, host: &str, target: &str, body: &str) -> Fingerprint {
    Fingerprint::of(account, host, target, body.as_bytes())
}

macro_rules! differ {
    ($($name:ident: $one:expr, $other:expr;)*) => {
        $(#[test] fn $name() { assert_ne!($one, $other); })*
    };
}

differ! {
    the_account_is_included: of(Some("a"), HOST, "/", "x"), of(Some("b"), HOST, "/", "x");
    no_account_differs_from_an_empty_one: of(None, HOST, "/", "x"), of(Some(""), HOST, "/", "x");
    the_host_is_included: of(None, "a.example", "/", "x"), of(None, "b.example", "/", "x");
    the_query_is_included: of(None, HOST, "/?a=1", "x"), of(None, HOST, "/?a=2", "x");
    the_body_is_included: of(None, HOST, "/", "x"), of(None, HOST, "/", "y");
    fields_are_delimited: of(Some("ab"), "c", "/", ""), of(Some("a"), "bc", "/", "");
}

#[test]
fn hosts_are_compared_without_case() {
    assert_eq!(of(None, "Maps.Example", "/", "x"), of(None, HOST, "/", "x"));
}

proptest! {
    #[test]
    fn a_fingerprint_is_read_as_it_was_written(bytes: [u8; 16]) {
        let fingerprint = Fingerprint::from(bytes);
        prop_assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    }

    #[test]
    fn other_texts_are_rejected(text in "[0-9a-g]{0,40}") {
        let is_one = text.len() == 32 && !text.contains('g');
        prop_assert_eq!(text.parse::<Fingerprint>().is_ok(), is_one);
    }
}
