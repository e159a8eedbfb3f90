//! Requests that another instance has matched by its own routing table and forwarded.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time;
use zinniastall_gateway::view::{Shared, Target as KnownTarget, View};
use zinniastall_model::routing::{Kind, Route, Rule, Service, Share, Table};

use crate::{
    cases,
    harness::{Caller, Gateway, Response, Target, get, known_target, route, view},
};

/// Time that a request may take which waits for nothing.
const AT_ONCE: Duration = Duration::from_millis(100);
/// Time after which a later table arrives.
const LATER: Duration = Duration::from_millis(200);
/// Fields of a request: a quarter of its time is longer than [`LATER`].
const DEADLINE: &str = "deadline-ms: 2000\r\n";

/// Returns a table whose only route leads to a service.
fn table(number: u64, service: &str) -> Table {
    let plans = Route {
        split: vec![Share {
            service: service.to_owned(),
            weight: 1,
        }],
        ..route("/plans/", Kind::Once, 1)
    };
    let services = ["old", "new"].map(Service::new);
    Table::new(number, vec![plans], services.to_vec())
}

fn rule(table: &Table) -> Rule {
    Rule::new(table, &table.routes[0], None)
}

/// An instance and a target of each of two services.
struct Fixture {
    board: Shared,
    gateway: Gateway,
    old: Target,
    new: Target,
}

impl Fixture {
    /// Starts an instance at a table, with others that it has replaced.
    async fn start(in_force: &Table, replaced: &[Table]) -> Self {
        let old = Target::responding_with("ok").await;
        let new = Target::responding_with("ok").await;
        let board = Shared::new(seen(&old, &new, in_force, replaced));
        let gateway = Gateway::on(board.clone()).await;
        Self {
            board,
            gateway,
            old,
            new,
        }
    }

    /// Sends a request that was matched by a table, if one is stated; returns the answer and its time.
    async fn forward(&self, stated: Option<&Table>) -> (Response, Duration) {
        let rule = stated.map(|table| format!("zs-rule: {}\r\n", rule(table)));
        let fields = format!("{DEADLINE}{}", rule.unwrap_or_default());
        let since = Instant::now();
        let mut instance = Caller::connect(self.gateway.forward).await;
        let answer = instance.call(&get("/plans/1", "a", &fields)).await;
        (answer, since.elapsed())
    }

    /// Returns how many requests ran at the old service, and at the new one.
    fn runs(&self) -> (usize, usize) {
        (self.old.requests().len(), self.new.requests().len())
    }
}

fn seen(old: &Target, new: &Target, in_force: &Table, replaced: &[Table]) -> View {
    let mut view = view(Vec::new(), &[]);
    let held = view.configuration.take().unwrap();
    let with = |table: &Table| {
        let mut configuration = (*held).clone();
        configuration.table = Some(table.clone());
        configuration.versions = None;
        Arc::new(configuration)
    };
    view.configuration = Some(with(in_force));
    view.replaced = replaced.iter().map(with).collect();
    let targets = [("old", old), ("new", new)].map(|(service, target)| {
        let mut known: KnownTarget = known_target(service, target.address);
        service.clone_into(&mut known.report.service);
        (service.to_owned(), known)
    });
    view.targets = Arc::new(targets.into_iter().collect());
    view
}

async fn waits_for_the_senders_table() {
    let fixture = Fixture::start(&table(1, "old"), &[]).await;
    let later = seen(
        &fixture.old,
        &fixture.new,
        &table(2, "new"),
        &[table(1, "old")],
    );
    let board = fixture.board.clone();
    tokio::task::spawn_local(async move {
        time::sleep(LATER).await;
        board.publish(later);
    });
    let (answer, took) = fixture.forward(Some(&table(2, "new"))).await;
    assert_eq!((answer.status, fixture.runs()), (200, (0, 1)), "{took:?}");
}

async fn rejects_what_it_cannot_know() {
    let fixture = Fixture::start(&table(1, "old"), &[]).await;
    let (answer, took) = fixture.forward(Some(&table(2, "new"))).await;
    assert_eq!((answer.status, fixture.runs()), (503, (0, 0)));
    assert_eq!(answer.header("zs-outcome"), "not-sent");
    assert!(took < Duration::from_millis(700), "{took:?}");
}

async fn handles_by_the_senders_table() {
    let fixture = Fixture::start(&table(2, "new"), &[table(1, "old")]).await;
    let (answer, took) = fixture.forward(Some(&table(1, "old"))).await;
    assert_eq!((answer.status, fixture.runs()), (200, (1, 0)));
    assert!(took < AT_ONCE, "{took:?}");
}

async fn rejects_what_is_forgotten() {
    let fixture = Fixture::start(&table(3, "new"), &[table(2, "new")]).await;
    let (answer, took) = fixture.forward(Some(&table(1, "old"))).await;
    assert_eq!((answer.status, fixture.runs()), (503, (0, 0)));
    assert_eq!(answer.header("zs-outcome"), "not-sent");
    assert!(took < AT_ONCE, "{took:?}");
}

/// Forwards a request whose route is the same in both tables.
async fn serves_the_same_route(in_force: u64, stated: u64) {
    let fixture = Fixture::start(&table(in_force, "old"), &[]).await;
    let (answer, took) = fixture.forward(Some(&table(stated, "old"))).await;
    assert_eq!((answer.status, fixture.runs()), (200, (1, 0)));
    assert!(took < AT_ONCE, "{took:?}");
}

async fn serves_an_earlier_version() {
    let fixture = Fixture::start(&table(2, "new"), &[]).await;
    assert_eq!(fixture.forward(None).await.0.status, 200);
    assert_eq!(fixture.runs(), (0, 1));
}

cases! {
    /// Guards against a request that is handled by an earlier table than the caller's last one, because
    /// the instance that it was forwarded to hasn't got the later one.
    waits_for_the_table_of_the_sender => waits_for_the_senders_table(),
    rejects_a_table_that_does_not_come => rejects_what_it_cannot_know(),
    /// Guards against the caller's next request being handled by an earlier table than this one.
    handles_a_request_by_the_table_of_the_sender => handles_by_the_senders_table(),
    rejects_a_table_that_was_replaced_long_ago => rejects_what_is_forgotten(),
    /// Guards against requests that wait at each change of a table, whatever it changes.
    a_later_table_with_the_same_route_costs_no_wait => serves_the_same_route(1, 2),
    an_earlier_table_with_the_same_route_costs_no_wait => serves_the_same_route(2, 1),
    serves_instances_of_an_earlier_version => serves_an_earlier_version(),
}
