//! Tests validation, look-ups and differences of routing tables.

use proptest::prelude::*;
use zinniastall_model::routing::{
    Account, Changes, Digest, Error, Kind, Quota, Route, Service, Share, Table, Unit,
};

fn route(host: &str, prefix: &str) -> Route {
    Route::new(&format!("{host}{prefix}"), host, prefix, Kind::Once).to(Share {
        service: "api".to_owned(),
        weight: 1,
    })
}

fn table(routes: Vec<Route>) -> Table {
    Table::new(1, routes, vec![Service::new("api")])
}

/// Defines tests that validate a table with the given accounts.
macro_rules! accounts {
    ($($(#[$about:meta])* $name:ident: $accounts:expr => $checked:expr;)*) => {$(
        $(#[$about])*
        #[test]
        fn $name() {
            let checked = table(Vec::new()).accounts($accounts).check();
            assert_eq!(checked, $checked);
        }
    )*};
}

accounts! {
    /// A shared key would make the account of a request ambiguous.
    a_key_of_two_accounts_is_refused:
        vec![Account::new("a").key("k").key("l"), Account::new("b").key("m").key("l")]
        => Err(Error::Key("a".to_owned(), "b".to_owned()));
    a_key_named_twice_by_one_account_is_valid: vec![Account::new("a").key("k").key("k")] => Ok(());
    an_account_without_keys_is_valid: vec![Account::new("a"), Account::new("b")] => Ok(());
    no_accounts_at_all_are_valid: vec![] => Ok(());
    /// Targets could not distinguish the two accounts.
    two_accounts_of_one_name_are_refused: vec![Account::new("a"), Account::new("a")]
        => Err(Error::Account("a".to_owned()));
    /// The name is passed to targets in a header.
    an_account_without_a_name_is_refused: vec![Account::new(" ")] => Err(Error::Name(" ".to_owned()));
    a_name_with_a_line_end_is_refused: vec![Account::new("a\r\nb")]
        => Err(Error::Name("a\r\nb".to_owned()));
}

#[test]
fn the_longest_prefix_wins() {
    let routes = vec![
        route("H.example", "/"),
        route("h.example", "/a/"),
        route("h.example", "/a/b/"),
        route("other.example", "/a/b/c/"),
    ];
    let table = table(routes);
    let found = |host, path| table.find(host, path).map(|route| route.prefix.as_str());
    assert_eq!(found("h.EXAMPLE", "/a/b/c/d"), Some("/a/b/"));
    assert_eq!(found("h.example", "/a/b"), Some("/a/"));
    assert_eq!(found("h.example", "/a"), Some("/"));
    assert_eq!(found("h.example", "/a/bc/d"), Some("/a/"));
    assert_eq!(found("h.example", ""), None);
    assert_eq!(found("third.example", "/a/"), None);
}

#[test]
fn a_key_finds_its_account() {
    let accounts = vec![Account::new("a").key("k"), Account::new("b").key("l")];
    let table = table(Vec::new()).accounts(accounts);
    let holder = |key: &str| {
        let account = table.account(table.account_index_by_key(key.as_bytes())?)?;
        Some(account.name.as_str())
    };
    assert_eq!(
        (holder("k"), holder("l"), holder("m")),
        (Some("a"), Some("b"), None)
    );
}

#[test]
fn a_digest_round_trips_through_hex() {
    let digest = Digest::of(b"k");
    assert_eq!(Digest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(Digest::from_hex("k"), None);
    assert!(!format!("{digest:?}").contains('k'));
}

fn any_table() -> impl Strategy<Value = Table> {
    let routes = prop::collection::btree_map(0..12_u8, 1..4_u64, 0..12);
    let services = prop::collection::btree_map(0..3_u8, 0..3_u32, 0..3);
    let accounts = prop::collection::btree_map(0..5_u8, 0..3_u64, 0..5);
    (
        routes,
        services,
        prop::option::of(accounts),
        0..3_u64,
        1..9_u64,
    )
        .prop_map(|(routes, services, accounts, idle_ms, number)| {
            let routes = routes.into_iter().map(|(at, timeout_ms)| Route {
                timeout_ms,
                ..route("h", &format!("/{at}/"))
            });
            let services = services.into_iter().map(|(at, connections)| Service {
                connections,
                ..Service::new(&format!("s{at}"))
            });
            let mut table = Table::new(number, routes.collect(), services.collect());
            table.limits.idle_ms = idle_ms;
            let account = |(at, rate)| {
                let unit = Unit::Requests;
                let quota = Quota {
                    unit,
                    rate,
                    burst: 1,
                };
                Account::new(&format!("a{at}"))
                    .key(&format!("k{at}"))
                    .quota(quota)
            };
            match accounts {
                Some(accounts) => table.accounts(accounts.into_iter().map(account).collect()),
                None => table,
            }
        })
}

/// Returns a table with its lists in a canonical order.
fn sorted(mut table: Table) -> Table {
    table.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    table.services.sort_by(|a, b| a.name.cmp(&b.name));
    if let Some(accounts) = &mut table.accounts {
        accounts.sort_by(|a, b| a.name.cmp(&b.name));
    }
    table
}

proptest! {
    /// Guards against instances that use a table other than the accepted one.
    #[test]
    fn changes_make_the_later_table(before in any_table(), after in any_table()) {
        let changes = Changes::between(&before, &after);
        prop_assert_eq!(sorted(changes.apply(&before)), sorted(after));
    }
}
