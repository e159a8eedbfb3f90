//! Requests of client accounts: which are admitted, what targets see, and what other instances are
//! told.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use zinniastall_gateway::{
    clock,
    freshness::{Freshness, Lease, Trust},
    view::{Shared, View},
};
use zinniastall_model::routing::{Account, Kind, Quota, Route, Unit};

use crate::{
    cases,
    harness::{Gateway, PLACE, Response, Target, get, instance, route, view},
};

/// Returns a route for callers with a key, and a public one.
fn routes() -> Vec<Route> {
    let mut open = route("/open/", Kind::Idempotent, 1);
    open.public = true;
    vec![route("/plans/", Kind::Idempotent, 1), open]
}

pub(crate) fn with_accounts(mut view: View, accounts: Vec<Account>) -> View {
    let held = view.configuration.take().expect("a configuration");
    let mut configuration = (*held).clone();
    let table = configuration.table.take().expect("a table");
    configuration.table = Some(table.accounts(accounts));
    view.configuration = Some(Arc::new(configuration));
    view
}

async fn gateway_with(accounts: Vec<Account>) -> (Gateway, Target) {
    let target = Target::responding_with("fine").await;
    let view = with_accounts(view(routes(), &[&target]), accounts);
    (Gateway::start(view).await, target)
}

async fn gateway() -> (Gateway, Target) {
    let studio = Account::new("studio").key("k-studio").key("k-second");
    gateway_with(vec![studio, Account::new("school").key("k-school")]).await
}

async fn call(gateway: &Gateway, path: &str, fields: &str) -> Response {
    gateway.connect().await.call(&get(path, "a", fields)).await
}

async fn authenticates_and_strips_the_key() {
    let (gateway, target) = gateway().await;
    for key in ["Bearer k-studio", "bearer  k-second ", "BEARER k-studio"] {
        let fields = format!("Authorization: {key}\r\naccount: school\r\nzs-account: school\r\n");
        assert_eq!(
            call(&gateway, "/plans/1", &fields).await.status,
            200,
            "{key}"
        );
    }
    for request in target.requests() {
        assert_eq!(request.header("account"), "studio");
        assert!(!request.head.contains("k-studio"), "{}", request.head);
        assert_eq!(request.header("zs-account"), "");
        assert_eq!(request.header("authorization"), "");
    }
}

/// Checks that a request with these fields gets a status, runs nowhere and leaves its connection
/// open.
async fn refused(fields: &'static str, status: u16) {
    let (gateway, target) = gateway().await;
    let mut caller = gateway.connect().await;
    let response = caller.call(&get("/plans/1", "a", fields)).await;
    assert_eq!(response.status, status, "{}", response.body);
    assert_eq!(target.requests().len(), 0);
    let fields = "Authorization: Bearer k-studio\r\n";
    let response = caller.call(&get("/plans/2", "b", fields)).await;
    assert_eq!(response.status, 200, "the connection stays usable");
}

async fn serves_a_public_route_without_a_key() {
    let (gateway, target) = gateway().await;
    let fields = "Authorization: Bearer k-studio\r\naccount: school\r\n";
    for fields in ["", fields, "Authorization: Bearer unknown\r\n"] {
        assert_eq!(call(&gateway, "/open/1", fields).await.status, 200);
    }
    for request in target.requests() {
        assert_eq!(
            (request.header("account"), request.header("authorization")),
            ("", "")
        );
    }
}

async fn passes_credentials_on_without_accounts() {
    let target = Target::responding_with("fine").await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let fields = "Authorization: Basic eDp5\r\naccount: school\r\n";
    assert_eq!(call(&gateway, "/plans/1", fields).await.status, 200);
    let request = target.requests().remove(0);
    assert_eq!(request.header("authorization"), "Basic eDp5");
    assert_eq!(request.header("account"), "", "only the gateway sets it");
}

/// Serves with a lease that has expired, or was never granted.
async fn without_lease(confirmed: bool) -> (Response, Response, usize) {
    let target = Target::responding_with("fine").await;
    let view = with_accounts(
        view(routes(), &[&target]),
        vec![Account::new("studio").key("k-studio")],
    );
    let lease = Lease::new(Some(Duration::from_millis(5)));
    if confirmed {
        lease.extend(clock::now().saturating_sub(Duration::from_millis(10)));
    }
    let gateway = Gateway::on(Shared::new(view).with_keys_lease(lease)).await;
    let fields = "deadline-ms: 400\r\nAuthorization: Bearer ";
    let known = call(&gateway, "/plans/1", &format!("{fields}k-studio\r\n")).await;
    let unknown = call(&gateway, "/plans/1", &format!("{fields}k-other\r\n")).await;
    assert_eq!(call(&gateway, "/open/1", "").await.status, 200);
    (known, unknown, target.requests().len())
}

async fn refuses_without_a_valid_lease() {
    for confirmed in [true, false] {
        let (known, unknown, ran) = without_lease(confirmed).await;
        for response in [&known, &unknown] {
            assert_eq!(response.status, 503, "{}", response.body);
            assert!(!response.header("retry-after").is_empty());
        }
        assert_eq!(ran, 1, "only the public request ran");
    }
}

/// A lease expires while a request waits for a target.
async fn checks_the_lease_before_each_attempt() {
    let target = Target::responding_with("fine").await;
    let mut view = with_accounts(
        view(routes(), &[&target]),
        vec![Account::new("studio").key("k-studio")],
    );
    let targets = std::mem::take(&mut view.targets);
    let lease = Lease::new(Some(Duration::from_millis(60)));
    let board = Shared::new(view.clone()).with_keys_lease(lease.clone());
    lease.extend(clock::now());
    let gateway = Gateway::on(board.clone()).await;
    // The only target counts as full for the moment, so that the request waits.
    let now = std::time::Instant::now();
    {
        let mut tracker = gateway.proxy.tracker.borrow_mut();
        let entry = tracker.target("target-0", crate::harness::SERVICE, now);
        entry.blocked_until = Some(now + Duration::from_millis(150));
    }
    view.targets = targets;
    board.publish(view);
    let response = call(&gateway, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
    assert_eq!(response.status, 503, "{}", response.body);
    assert_eq!(target.requests().len(), 0);
}

/// Tells an instance that it is alone and that nobody used anything.
fn confirm_no_other_use(gateway: &Gateway) {
    let mut quotas = gateway.proxy.quotas.borrow_mut();
    quotas.set_instances(1);
    quotas.update_totals(IndexMap::new(), std::time::Instant::now());
}

async fn enforces_a_quota_with_a_retry_delay() {
    let quota = Quota {
        unit: Unit::Tokens { unstated: 200 },
        rate: 1_000,
        burst: 1_000,
    };
    let studio = Account::new("studio").key("k-studio").quota(quota);
    let (gateway, target) = gateway_with(vec![studio]).await;
    confirm_no_other_use(&gateway);
    let fields = "Authorization: Bearer k-studio\r\ntokens: 900,100\r\n";
    let mut refused = 0;
    for _ in 0..40 {
        let response = call(&gateway, "/plans/1", fields).await;
        if response.status == 429 {
            refused += 1;
            let after: f64 = response.header("retry-after").parse().unwrap();
            assert!((0.3..=4.0).contains(&after), "{after}");
        } else {
            assert_eq!(response.status, 200);
        }
    }
    assert!(refused > 20, "{refused} of 40 times the rate refused");
    assert_eq!(target.requests().len(), 40 - refused);
}

/// Token counts whose sum overflows any counter, and a count of zero.
async fn survives_absurd_token_counts() {
    let quota = Quota {
        unit: Unit::Tokens { unstated: 200 },
        rate: 1_000,
        burst: 1_000,
    };
    let studio = Account::new("studio").key("k-studio").quota(quota);
    let (gateway, _target) = gateway_with(vec![studio]).await;
    confirm_no_other_use(&gateway);
    let most = u64::MAX;
    for tokens in [
        "0,0".to_owned(),
        format!("{most},{most}"),
        format!("{most},1"),
        "1".to_owned(),
    ] {
        let fields = format!("Authorization: Bearer k-studio\r\ntokens: {tokens}\r\n");
        let status = call(&gateway, "/plans/1", &fields).await.status;
        assert!([200, 429].contains(&status), "{tokens}: {status}");
    }
}

/// A request that was admitted and did not run doesn't count.
async fn refunds_a_request_that_did_not_run() {
    let quota = Quota {
        unit: Unit::Requests,
        rate: 1,
        burst: 0,
    };
    let studio = Account::new("studio").key("k-studio").quota(quota);
    let view = with_accounts(view(routes(), &[]), vec![studio]);
    let gateway = Gateway::start(view).await;
    confirm_no_other_use(&gateway);
    let response = call(&gateway, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
    assert_eq!(response.status, 503, "there is no target");
    let now = std::time::Instant::now();
    let usage = gateway.proxy.quotas.borrow_mut().usage(now);
    let used: u64 = usage.values().map(|usage| usage.used).sum();
    assert_eq!(used, 0);
}

async fn applies_homes_of_route_and_account() {
    let target = Target::responding_with("fine").await;
    for (route_homes, account_homes, status) in [
        (vec![], vec!["patras"], 200),
        (vec![], vec!["athens"], 503),
        (vec!["patras", "athens"], vec!["patras"], 200),
        (vec!["patras", "athens"], vec!["athens"], 503),
        (vec!["athens"], vec!["patras"], 503),
    ] {
        let names = |homes: Vec<&str>| homes.into_iter().map(str::to_owned).collect();
        let mut plans = route("/plans/", Kind::Idempotent, 1);
        plans.homes = names(route_homes);
        let mut studio = Account::new("studio").key("k-studio");
        studio.homes = names(account_homes);
        let view = with_accounts(view(vec![plans], &[&target]), vec![studio]);
        let gateway = Gateway::start(view).await;
        let response = call(&gateway, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
        assert_eq!(response.status, status, "{}", response.body);
    }
}

/// Forwards a request to an instance of another region, which has the targets.
async fn forwards_the_account_without_the_key() {
    let target = Target::responding_with("fine").await;
    let mut studio = Account::new("studio").key("k-studio");
    studio.priority = Some(3);
    let there = with_accounts(view(routes(), &[&target]), vec![studio.clone()]);
    let there = Gateway::start(there).await;
    let mut here = with_accounts(view(routes(), &[&target]), vec![studio]);
    here.place = zinniastall_model::place::Place::new("athens", "athens-a");
    here.instances = Arc::new(
        [
            instance("edge-1", ("athens", "athens-a"), "127.0.0.1:1"),
            instance("edge-2", PLACE, &there.forward.to_string()),
        ]
        .into_iter()
        .collect(),
    );
    let here = Gateway::start(here).await;
    let response = call(&here, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
    assert_eq!(response.status, 200, "{}", response.body);
    let request = target.requests().remove(0);
    assert_eq!(request.header("account"), "studio");
    assert_eq!(request.header("priority-rank"), "3");
    assert_eq!(request.header("authorization"), "");
}

/// Another instance forwards a request with an account that isn't known here, or with none.
async fn refuses_requests_of_another_configuration() {
    let (gateway, target) = gateway().await;
    for fields in [
        "zs-revision: 9\r\nzs-account: nobody\r\n",
        "zs-revision: 9\r\n",
    ] {
        let mut caller = crate::harness::Caller::connect(gateway.forward).await;
        let response = caller.call(&get("/plans/1", "a", fields)).await;
        assert_eq!(
            (response.status, response.header("zs-outcome")),
            (503, "not-sent")
        );
    }
    assert_eq!(target.requests().len(), 0);
}

cases! {
    /// Guards against keys that reach targets, and against accounts that a caller names itself.
    a_key_is_replaced_by_its_accounts_name => authenticates_and_strips_the_key(),
    /// Guards against running a request without a key.
    a_request_without_a_key_is_denied => refused("", 401),
    /// Guards against running a request whose key no account holds.
    an_unknown_key_is_denied => refused("Authorization: Bearer k-other\r\n", 401),
    /// Guards against two parsers that use different ones of two keys.
    two_keys_are_denied =>
        refused("Authorization: Bearer k-studio\r\nAuthorization: Bearer k-school\r\n", 401),
    /// Guards against a key taken from another authentication scheme.
    another_scheme_is_denied => refused("Authorization: Basic k-studio\r\n", 401),
    /// Guards against an empty key that matches some account.
    an_empty_key_is_denied => refused("Authorization: Bearer  \r\n", 401),
    /// Guards against a crash on a key that is not ASCII.
    a_key_of_other_bytes_is_denied => refused("Authorization: Bearer \u{fc}\u{20ac}\r\n", 401),
    a_public_route_is_open_to_all => serves_a_public_route_without_a_key(),
    /// Guards against a change of behaviour for deployments without accounts.
    without_accounts_the_field_is_the_targets => passes_credentials_on_without_accounts(),
    /// Guards against a revoked key that still grants access while the revocation can't arrive.
    stale_accounts_decide_nothing => refuses_without_a_valid_lease(),
    /// Guards against a key that is revoked while its request waits.
    a_waiting_request_is_authorized_again => checks_the_lease_before_each_attempt(),
    /// Guards against counters that overflow because of what a caller states.
    absurd_token_counts_are_survived => survives_absurd_token_counts(),
    quotas_are_enforced => enforces_a_quota_with_a_retry_delay(),
    /// Guards against a quota used up by requests that never ran.
    a_request_that_did_not_run_is_refunded => refunds_a_request_that_did_not_run(),
    /// Guards against a request that runs outside the home regions of its account or its route.
    homes_of_route_and_account_both_apply => applies_homes_of_route_and_account(),
    /// Guards against a key that reaches another instance.
    the_account_is_forwarded_without_the_key => forwards_the_account_without_the_key(),
    /// Guards against running a request for an account that may no longer be its caller's.
    other_configurations_are_refused => refuses_requests_of_another_configuration(),
}

/// Guards against a delayed response that extends the lease from its arrival.
#[test]
fn a_lease_counts_from_the_question() {
    let second = Duration::from_secs(1);
    let lease = Lease::new(Some(second * 4));
    assert_eq!(lease.trust(second), Trust::Unconfirmed);
    let mut freshness = Freshness::default();
    freshness.record_answer(second * 10, 7, 7);
    lease.extend(freshness.confirmed().expect("revision 7 is held"));
    assert_eq!(lease.trust(Duration::from_millis(13_999)), Trust::Fresh);
    assert_eq!(lease.trust(second * 14), Trust::Stale);
    freshness.record_answer(second * 9, 7, 7);
    assert_eq!(
        freshness.confirmed(),
        Some(second * 10),
        "an older response changes nothing"
    );
}

/// Guards against a lease extended by a revision that is not in force yet.
#[test]
fn a_revision_has_to_be_in_force_to_count() {
    let second = Duration::from_secs(1);
    let mut freshness = Freshness::default();
    freshness.record_answer(second, 3, 3);
    freshness.record_answer(second * 2, 5, 3);
    freshness.record_answer(second * 3, 6, 3);
    assert_eq!(freshness.confirmed(), Some(second));
    freshness.set_current(4);
    assert_eq!(freshness.confirmed(), Some(second));
    freshness.set_current(5);
    assert_eq!(freshness.confirmed(), Some(second * 2));
    freshness.set_current(9);
    assert_eq!(freshness.confirmed(), Some(second * 3));
}
