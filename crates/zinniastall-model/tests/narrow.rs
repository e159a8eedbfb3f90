//! Tests which tables forbid what earlier ones permit, against all requests that may come.

use proptest::prelude::*;
use zinniastall_model::routing::{Account, Kind, Route, Service, Share, Table, narrows};

const HOST: &str = "h";
const PREFIXES: [&str; 5] = ["/", "/a/", "/a/b/", "/a/b/c/", "/d/"];
const REGIONS: [&str; 3] = ["patras", "athens", "thess"];
const KEYS: [&str; 3] = ["k", "l", "m"];

fn homes() -> impl Strategy<Value = Vec<String>> {
    prop::collection::vec(prop::sample::select(REGIONS.to_vec()), 0..3)
        .prop_map(|homes| homes.into_iter().map(str::to_owned).collect())
}

fn kind() -> impl Strategy<Value = (Kind, bool)> {
    prop_oneof![
        Just((Kind::Idempotent, false)),
        Just((Kind::Once, false)),
        Just((Kind::Stream, false)),
        Just((Kind::Stream, true)),
    ]
}

fn any_route(prefix: &'static str) -> impl Strategy<Value = Route> {
    (kind(), homes(), any::<bool>()).prop_map(move |((kind, resumable), homes, public)| Route {
        resumable,
        homes,
        public,
        ..Route::new(prefix, HOST, prefix, kind).to(Share {
            service: "api".to_owned(),
            weight: 1,
        })
    })
}

/// Returns tables without accounts.
fn plain() -> impl Strategy<Value = Table> {
    let routes = PREFIXES.map(|prefix| prop::option::of(any_route(prefix)));
    routes.prop_map(|routes| {
        let routes = routes.into_iter().flatten().collect();
        Table::new(1, routes, vec![Service::new("api")])
    })
}

fn any_table() -> impl Strategy<Value = Table> {
    let account = (prop::option::of(0..2_usize), homes());
    let holders = prop::collection::vec(account, KEYS.len());
    (plain(), prop::option::of(holders)).prop_map(|(table, holders)| {
        let Some(holders) = holders else {
            return table;
        };
        let mut accounts = ["one", "two"].map(Account::new);
        for (key, (holder, homes)) in KEYS.iter().zip(holders) {
            if let Some(holder) = holder {
                accounts[holder].homes = homes;
                accounts[holder] = accounts[holder].clone().key(key);
            }
        }
        table.accounts(accounts.to_vec())
    })
}

/// What a table permits for a request: whether it may be repeated, and in which regions it may run.
type Permitted = (bool, Vec<&'static str>);

/// Returns what a table permits; `None` if it serves no such request.
fn permitted(table: &Table, path: &str, key: &str) -> Option<Permitted> {
    let route = table.find(HOST, path)?;
    let account = if table.accounts.is_some() && !route.public {
        let holder = table.account_index_by_key(key.as_bytes())?;
        table.account(holder)
    } else {
        None
    };
    let may_run = |region: &&str| {
        route.permits(region) && account.is_none_or(|account| account.permits(region))
    };
    let regions = REGIONS.into_iter().filter(may_run).collect();
    Some((route.is_retryable(), regions))
}

/// Returns whether some request may do less under a later table, as far as both serve it.
fn forbids(before: &Table, after: &Table) -> bool {
    let paths = PREFIXES.map(|prefix| format!("{prefix}x"));
    let requests = paths.iter().flat_map(|path| KEYS.map(|key| (path, key)));
    requests.into_iter().any(|(path, key)| {
        let pair = permitted(before, path, key).zip(permitted(after, path, key));
        pair.is_some_and(|((repeats, regions), (repeats_after, regions_after))| {
            (repeats && !repeats_after)
                || regions.iter().any(|region| !regions_after.contains(region))
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a table that is confirmed while an instance may still repeat a request, or run it
    /// in a region, that the table forbids.
    #[test]
    fn what_a_later_table_forbids_is_found(before in any_table(), after in any_table()) {
        prop_assert!(narrows(&before, &after) || !forbids(&before, &after));
    }

    /// Guards against operators who wait although nothing is forbidden.
    #[test]
    fn what_a_later_table_permits_as_well_is_no_reason(before in plain(), after in plain()) {
        prop_assert_eq!(narrows(&before, &after), forbids(&before, &after));
    }

    #[test]
    fn a_table_forbids_nothing_that_it_permits(table in any_table()) {
        prop_assert!(!narrows(&table, &table));
    }
}
