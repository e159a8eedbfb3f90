//! Requests of client accounts: who is let in, what targets see, and what is said to the others.

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
    stage::{Got, PLACE, Stage, Target, get, instance, route, view},
};

/// A route for all who hold a key, and one for everybody.
fn routes() -> Vec<Route> {
    let mut open = route("/open/", Kind::Idempotent, 1);
    open.public = true;
    vec![route("/plans/", Kind::Idempotent, 1), open]
}

fn with_accounts(mut view: View, accounts: Vec<Account>) -> View {
    let held = view.configuration.take().expect("a configuration");
    let mut configuration = (*held).clone();
    let table = configuration.table.take().expect("a table");
    configuration.table = Some(table.accounts(accounts));
    view.configuration = Some(Arc::new(configuration));
    view
}

async fn stage_of(accounts: Vec<Account>) -> (Stage, Target) {
    let target = Target::answering("fine").await;
    let view = with_accounts(view(routes(), &[&target]), accounts);
    (Stage::start(view).await, target)
}

async fn stage() -> (Stage, Target) {
    let studio = Account::new("studio").key("k-studio").key("k-second");
    stage_of(vec![studio, Account::new("school").key("k-school")]).await
}

async fn call(stage: &Stage, path: &str, fields: &str) -> Got {
    stage.connect().await.call(&get(path, "a", fields)).await
}

async fn a_key_opens_its_accounts_requests() {
    let (stage, target) = stage().await;
    for key in ["Bearer k-studio", "bearer  k-second ", "BEARER k-studio"] {
        let fields = format!("Authorization: {key}\r\naccount: school\r\nzs-account: school\r\n");
        assert_eq!(call(&stage, "/plans/1", &fields).await.status, 200, "{key}");
    }
    for seen in target.seen() {
        assert_eq!(seen.header("account"), "studio");
        assert!(!seen.head.contains("k-studio"), "{}", seen.head);
        assert_eq!(seen.header("zs-account"), "");
        assert_eq!(seen.header("authorization"), "");
    }
}

/// Checks that a request with some fields gets a status, runs nowhere and leaves its connection open.
async fn refused(fields: &'static str, status: u16) {
    let (stage, target) = stage().await;
    let mut caller = stage.connect().await;
    let got = caller.call(&get("/plans/1", "a", fields)).await;
    assert_eq!(got.status, status, "{}", got.body);
    assert_eq!(target.seen().len(), 0);
    let fields = "Authorization: Bearer k-studio\r\n";
    let got = caller.call(&get("/plans/2", "b", fields)).await;
    assert_eq!(got.status, 200, "the connection goes on");
}

async fn a_public_route_needs_no_key() {
    let (stage, target) = stage().await;
    let fields = "Authorization: Bearer k-studio\r\naccount: school\r\n";
    for fields in ["", fields, "Authorization: Bearer unknown\r\n"] {
        assert_eq!(call(&stage, "/open/1", fields).await.status, 200);
    }
    for seen in target.seen() {
        assert_eq!(
            (seen.header("account"), seen.header("authorization")),
            ("", "")
        );
    }
}

async fn a_table_without_accounts_passes_the_field_on() {
    let target = Target::answering("fine").await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let fields = "Authorization: Basic eDp5\r\naccount: school\r\n";
    assert_eq!(call(&stage, "/plans/1", fields).await.status, 200);
    let seen = target.seen().remove(0);
    assert_eq!(seen.header("authorization"), "Basic eDp5");
    assert_eq!(seen.header("account"), "", "only the gateway sets it");
}

/// Serves with a lease that ends before now, or was never given.
async fn without_lease(confirmed: bool) -> (Got, Got, usize) {
    let target = Target::answering("fine").await;
    let view = with_accounts(
        view(routes(), &[&target]),
        vec![Account::new("studio").key("k-studio")],
    );
    let lease = Lease::new(Some(Duration::from_millis(5)));
    if confirmed {
        lease.extend(clock::now().saturating_sub(Duration::from_millis(10)));
    }
    let stage = Stage::on(Shared::new(view).with_lease(lease)).await;
    let fields = "deadline-ms: 400\r\nAuthorization: Bearer ";
    let known = call(&stage, "/plans/1", &format!("{fields}k-studio\r\n")).await;
    let unknown = call(&stage, "/plans/1", &format!("{fields}k-other\r\n")).await;
    assert_eq!(call(&stage, "/open/1", "").await.status, 200);
    (known, unknown, target.seen().len())
}

async fn nobody_is_let_in_or_denied_by_old_accounts() {
    for confirmed in [true, false] {
        let (known, unknown, ran) = without_lease(confirmed).await;
        for got in [&known, &unknown] {
            assert_eq!(got.status, 503, "{}", got.body);
            assert!(!got.header("retry-after").is_empty());
        }
        assert_eq!(ran, 1, "only the public one");
    }
}

/// A lease that ends while a request waits for a target.
async fn a_lease_is_looked_at_before_each_attempt() {
    let target = Target::answering("fine").await;
    let mut view = with_accounts(
        view(routes(), &[&target]),
        vec![Account::new("studio").key("k-studio")],
    );
    let targets = std::mem::take(&mut view.targets);
    let lease = Lease::new(Some(Duration::from_millis(60)));
    let board = Shared::new(view.clone()).with_lease(lease.clone());
    lease.extend(clock::now());
    let stage = Stage::on(board.clone()).await;
    // The only target is known to be full for the moment, so that the request waits.
    let now = std::time::Instant::now();
    {
        let mut books = stage.traffic.tracker.borrow_mut();
        let account = books.target("target-0", crate::stage::SERVICE, now);
        account.blocked_until = Some(now + Duration::from_millis(150));
    }
    view.targets = targets;
    board.publish(view);
    let got = call(&stage, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
    assert_eq!(got.status, 503, "{}", got.body);
    assert_eq!(target.seen().len(), 0);
}

/// Lets an instance know that it is alone, and that nobody used anything.
fn hear_nothing_of_others(stage: &Stage) {
    let mut quotas = stage.traffic.quotas.borrow_mut();
    quotas.set_instances(1);
    quotas.update_totals(IndexMap::new(), std::time::Instant::now());
}

async fn a_quota_is_held_and_the_caller_told_when_to_return() {
    let quota = Quota {
        unit: Unit::Tokens { unstated: 200 },
        rate: 1_000,
        burst: 1_000,
    };
    let studio = Account::new("studio").key("k-studio").quota(quota);
    let (stage, target) = stage_of(vec![studio]).await;
    hear_nothing_of_others(&stage);
    let fields = "Authorization: Bearer k-studio\r\ntokens: 900,100\r\n";
    let mut refused = 0;
    for _ in 0..40 {
        let got = call(&stage, "/plans/1", fields).await;
        if got.status == 429 {
            refused += 1;
            let after: f64 = got.header("retry-after").parse().unwrap();
            assert!((0.3..=4.0).contains(&after), "{after}");
        } else {
            assert_eq!(got.status, 200);
        }
    }
    assert!(refused > 20, "{refused} of 40 times the rate refused");
    assert_eq!(target.seen().len(), 40 - refused);
}

/// Numbers of tokens that add up to more than any counter holds, and none at all.
async fn absurd_numbers_of_tokens_break_nothing() {
    let quota = Quota {
        unit: Unit::Tokens { unstated: 200 },
        rate: 1_000,
        burst: 1_000,
    };
    let studio = Account::new("studio").key("k-studio").quota(quota);
    let (stage, _target) = stage_of(vec![studio]).await;
    hear_nothing_of_others(&stage);
    let most = u64::MAX;
    for tokens in [
        "0,0".to_owned(),
        format!("{most},{most}"),
        format!("{most},1"),
        "1".to_owned(),
    ] {
        let fields = format!("Authorization: Bearer k-studio\r\ntokens: {tokens}\r\n");
        let status = call(&stage, "/plans/1", &fields).await.status;
        assert!([200, 429].contains(&status), "{tokens}: {status}");
    }
}

/// What was let in and has not run doesn't count.
async fn a_request_that_did_not_run_is_given_back() {
    let quota = Quota {
        unit: Unit::Requests,
        rate: 1,
        burst: 0,
    };
    let studio = Account::new("studio").key("k-studio").quota(quota);
    let view = with_accounts(view(routes(), &[]), vec![studio]);
    let stage = Stage::start(view).await;
    hear_nothing_of_others(&stage);
    let got = call(&stage, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
    assert_eq!(got.status, 503, "there is no target");
    let now = std::time::Instant::now();
    let usage = stage.traffic.quotas.borrow_mut().usage(now);
    let used: u64 = usage.values().map(|usage| usage.used).sum();
    assert_eq!(used, 0);
}

async fn homes_of_route_and_account_both_bind() {
    let target = Target::answering("fine").await;
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
        let stage = Stage::start(view).await;
        let got = call(&stage, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
        assert_eq!(got.status, status, "{}", got.body);
    }
}

/// Passes a request on to an instance whose targets are in another region.
async fn the_account_goes_on_and_the_key_does_not() {
    let target = Target::answering("fine").await;
    let mut studio = Account::new("studio").key("k-studio");
    studio.priority = Some(3);
    let there = with_accounts(view(routes(), &[&target]), vec![studio.clone()]);
    let there = Stage::start(there).await;
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
    let here = Stage::start(here).await;
    let got = call(&here, "/plans/1", "Authorization: Bearer k-studio\r\n").await;
    assert_eq!(got.status, 200, "{}", got.body);
    let seen = target.seen().remove(0);
    assert_eq!(seen.header("account"), "studio");
    assert_eq!(seen.header("priority-rank"), "3");
    assert_eq!(seen.header("authorization"), "");
}

/// A request that another instance passes on with an account that isn't known here, or with none.
async fn a_request_of_another_configuration_is_not_run() {
    let (stage, target) = stage().await;
    for fields in [
        "zs-revision: 9\r\nzs-account: nobody\r\n",
        "zs-revision: 9\r\n",
    ] {
        let mut caller = crate::stage::Caller::connect(stage.forward).await;
        let got = caller.call(&get("/plans/1", "a", fields)).await;
        assert_eq!((got.status, got.header("zs-outcome")), (503, "not-sent"));
    }
    assert_eq!(target.seen().len(), 0);
}

cases! {
    /// Guards against keys that reach targets, and accounts that a caller names itself.
    a_key_is_replaced_by_its_accounts_name => a_key_opens_its_accounts_requests(),
    /// Guards against a request without a key being run.
    a_request_without_a_key_is_denied => refused("", 401),
    /// Guards against a request being run whose key nobody holds.
    an_unknown_key_is_denied => refused("Authorization: Bearer k-other\r\n", 401),
    /// Guards against two readers that take different ones of two keys.
    two_keys_are_denied =>
        refused("Authorization: Bearer k-studio\r\nAuthorization: Bearer k-school\r\n", 401),
    /// Guards against a key taken from another scheme.
    another_scheme_is_denied => refused("Authorization: Basic k-studio\r\n", 401),
    /// Guards against an empty key that some account seems to hold.
    an_empty_key_is_denied => refused("Authorization: Bearer  \r\n", 401),
    /// Guards against a crash on bytes that are no text.
    a_key_of_other_bytes_is_denied => refused("Authorization: Bearer \u{fc}\u{20ac}\r\n", 401),
    a_public_route_is_open_to_all => a_public_route_needs_no_key(),
    /// Guards against a change for deployments without accounts.
    without_accounts_the_field_is_the_targets => a_table_without_accounts_passes_the_field_on(),
    /// Guards against a key that was taken away and still opens something where nobody could say so.
    old_accounts_decide_nothing => nobody_is_let_in_or_denied_by_old_accounts(),
    /// Guards against a key taken away while its request waits.
    a_waiting_request_is_judged_again => a_lease_is_looked_at_before_each_attempt(),
    /// Guards against counters that overflow by what a caller states.
    absurd_tokens_break_nothing => absurd_numbers_of_tokens_break_nothing(),
    quotas_are_held => a_quota_is_held_and_the_caller_told_when_to_return(),
    /// Guards against a quota used up by requests that never ran.
    what_did_not_run_is_given_back => a_request_that_did_not_run_is_given_back(),
    /// Guards against a request that runs outside its account's or its route's homes.
    both_homes_bind => homes_of_route_and_account_both_bind(),
    /// Guards against a key that reaches another instance.
    only_the_account_is_passed_on => the_account_goes_on_and_the_key_does_not(),
    /// Guards against a request run for an account that its caller may no longer be.
    other_configurations_are_refused => a_request_of_another_configuration_is_not_run(),
}

/// Guards against an answer that was held up and counts from its arrival.
#[test]
fn a_late_answer_is_worth_no_more_than_its_question() {
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
        "an older one changes nothing"
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
