//! Limits on where requests may go: routes, zones, regions, deadlines, retry budgets.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use zinniastall_gateway::view::{Drain, View};
use zinniastall_model::{place::Place, routing::Kind};
use zinniastall_wire::hub::Configuration;

use crate::{
    cases,
    harness::{
        Action, Caller, Gateway, PLACE, Target, get, instance, known_target, post, route, view,
    },
};

fn routes() -> Vec<zinniastall_model::routing::Route> {
    vec![
        route("/plans/", Kind::Idempotent, 3),
        route("/pay/", Kind::Once, 1),
    ]
}

async fn unknown_and_unconfigured() {
    let target = Target::responding_with("fine").await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let response = gateway.connect().await.call(&get("/other/", "a", "")).await;
    assert_eq!(response.status, 404);
    let place = Place::new(PLACE.0, PLACE.1);
    let gateway = Gateway::start(View::new("edge-1".to_owned(), place)).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "a", ""))
        .await;
    assert_eq!(response.status, 503);
    assert_ne!(response.header("retry-after"), "");
}

async fn skips_an_evacuated_zone() {
    let target = Target::responding_with("fine").await;
    let mut view = view(routes(), &[&target]);
    let table = view.table().cloned();
    view.configuration = Some(Arc::new(Configuration {
        revision: 2,
        table,
        evacuated: vec![PLACE.1.to_owned()],
        versions: None,
    }));
    let gateway = Gateway::start(view).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "a", ""))
        .await;
    assert_eq!(response.status, 503);
    assert_eq!(target.requests().len(), 0);
}

/// The only target has just come back cold and sustains five requests a second; a caller sends
/// fifty.
async fn paces_a_cold_target() {
    let target = Target::responding_with("fine").await;
    let mut view = view(routes(), &[]);
    let mut table = view.table().cloned().unwrap();
    table.services[0].cold_rate_milli = 5_000;
    view.configuration = Some(Arc::new(Configuration {
        revision: 2,
        table: Some(table),
        evacuated: Vec::new(),
        versions: None,
    }));
    let mut cold = known_target("target-0", target.address);
    cold.cold_until = Some(Instant::now() + Duration::from_mins(1));
    view.targets = Arc::new([("target-0".to_owned(), cold)].into_iter().collect());
    let gateway = Gateway::start(view).await;
    let mut caller = gateway.connect().await;
    let since = Instant::now();
    let mut served = 0;
    while since.elapsed() < Duration::from_secs(2) {
        let response = caller.call(&get("/plans/1", "a", "")).await;
        served += u32::from(response.status == 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!((3..=12).contains(&served), "{served} in two seconds");
}

async fn answers_at_the_routes_timeout() {
    let target = Target::start(|_| vec![Action::Wait(Duration::from_secs(15))]).await;
    let mut routes = routes();
    routes[1].timeout_ms = 200;
    let gateway = Gateway::start(view(routes, &[&target])).await;
    let since = Instant::now();
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(response.status, 504);
    assert!((200..700).contains(&since.elapsed().as_millis()));
}

async fn refuses_at_once_without_a_target() {
    let gateway = Gateway::start(view(routes(), &[])).await;
    let since = Instant::now();
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("not-sent"), "{}", response.body);
    assert!(since.elapsed() < Duration::from_millis(500));
}

/// Starts a gateway without targets that knows of an instance and a target in another region. Both
/// are one scripted target.
async fn with_remote_region(
    script: impl Fn(&crate::harness::Request) -> Vec<Action> + 'static,
    homes: &[&str],
) -> (Gateway, Target) {
    let far = Target::start(script).await;
    let mut routes = routes();
    routes[0].homes = homes.iter().map(|home| (*home).to_owned()).collect();
    let mut view = view(routes, &[]);
    let mut target = known_target("target-far", far.address);
    target.report.place = Place::new("athens", "athens-a");
    view.targets = Arc::new([("target-far".to_owned(), target)].into_iter().collect());
    let address = far.address.to_string();
    let instances = [
        instance("edge-1", PLACE, "127.0.0.1:1"),
        instance("edge-far", ("athens", "athens-a"), &address),
    ];
    view.instances = Arc::new(instances.into_iter().collect());
    (Gateway::start(view).await, far)
}

async fn forwards_to_another_region() {
    let (gateway, far) = with_remote_region(
        |request| vec![Action::Send(request.response("from afar"))],
        &[],
    )
    .await;
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "a", ""))
        .await;
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "from afar")
    );
    assert!(far.requests()[0].header("zs-rule").starts_with("1:"));
    let mut instance = Caller::connect(gateway.forward).await;
    let response = instance
        .call(&get("/plans/1", "b", "zs-revision: 1\r\n"))
        .await;
    assert_eq!(
        (response.status, response.header("zs-outcome")),
        (503, "not-sent")
    );
    assert_eq!(
        far.requests().len(),
        1,
        "a request was forwarded between regions twice"
    );
}

async fn stays_in_its_homes() {
    let (gateway, far) = with_remote_region(
        |request| vec![Action::Send(request.response("from afar"))],
        &["patras"],
    )
    .await;
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "a", ""))
        .await;
    assert_eq!(response.status, 503);
    assert_eq!(far.requests().len(), 0);
}

async fn keeps_the_forwarded_outcome() {
    let script = |request: &crate::harness::Request| {
        let id = request.id();
        let (status, outcome) = if request.index == 0 {
            (502, "unknown")
        } else {
            (503, "not-run")
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\nrequest-id: {id}\r\nzs-outcome: {outcome}\r\ncontent-length: 0\r\n\r\n"
        );
        vec![Action::Send(text.into_bytes())]
    };
    let (gateway, _far) = with_remote_region(script, &[]).await;
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(response.status, 502);
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "b", "x"))
        .await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("not-run"), "{}", response.body);
}

async fn closes_kept_connections_while_draining() {
    let target = Target::responding_with("fine").await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let mut caller = gateway.connect().await;
    assert_eq!(
        caller
            .call(&get("/plans/1", "a", ""))
            .await
            .header("connection"),
        ""
    );
    let since = Instant::now();
    let end = since + Duration::from_secs(10);
    gateway.proxy.state.drain(Drain { since, end });
    let response = caller.call(&get("/plans/1", "b", "")).await;
    assert_eq!(
        (response.status, response.header("connection")),
        (200, "close")
    );
    assert!(caller.reads_eof().await);
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "c", ""))
        .await;
    assert_eq!(
        (response.status, response.header("connection")),
        (200, "close")
    );
}

async fn refuses_what_would_be_cut() {
    let target = Target::responding_with("fine").await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let now = Instant::now();
    let since = now.checked_sub(Duration::from_secs(4)).unwrap();
    let end = now + Duration::from_secs(3);
    gateway.proxy.state.drain(Drain { since, end });
    // The route's timeout of five seconds exceeds what is left; the caller's own deadline doesn't.
    let response = gateway
        .connect()
        .await
        .call(&post("/pay/1", "a", "x"))
        .await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("not-sent"), "{}", response.body);
    let response = gateway
        .connect()
        .await
        .call(&get("/plans/1", "b", "deadline-ms: 900\r\n"))
        .await;
    assert_eq!(response.status, 200);
    assert_eq!(target.requests().len(), 1);
}

async fn repeats_within_the_budget() {
    let target = Target::start(|_| vec![Action::Close]).await;
    let other = Target::start(|_| vec![Action::Close]).await;
    let gateway = Gateway::start(view(routes(), &[&target, &other])).await;
    for id in 0..300 {
        let response = gateway
            .connect()
            .await
            .call(&get("/plans/1", &id.to_string(), ""))
            .await;
        assert!([502, 503].contains(&response.status));
    }
    let sent = target.requests().len() + other.requests().len();
    // At most a fifth of 300 requests, and the slack of 100 that the harness sets.
    assert!(sent <= 300 + 60 + 100, "{sent}");
    assert!(sent > 300, "no request was retried");
}

cases! {
    /// All targets of a zone come back cold at once. They must get some requests, and no more than
    /// they sustain.
    a_cold_target_gets_no_more_than_its_rate => paces_a_cold_target(),
    /// A path that no route serves is told apart from an instance that has no configuration yet.
    missing_routes_and_missing_configuration_differ => unknown_and_unconfigured(),
    /// Operators evacuate a zone because a machine there is about to be switched off.
    an_evacuated_zone_gets_nothing => skips_an_evacuated_zone(),
    /// A target hangs. The caller gets its final response when the route's timeout expires.
    a_request_is_answered_at_its_routes_timeout => answers_at_the_routes_timeout(),
    /// No target is left. The caller is told at once instead of at its deadline.
    a_request_without_a_target_is_refused_at_once => refuses_at_once_without_a_target(),
    /// A region has lost its targets. Another one serves its requests and never forwards them
    /// again.
    another_region_serves_once => forwards_to_another_region(),
    /// A request is bound to its home region, which has no target: neither it nor its body may
    /// leave.
    a_request_stays_in_its_homes => stays_in_its_homes(),
    /// Another instance reports how a request ended there; an unknown outcome must not become "not
    /// run".
    the_outcome_of_another_instance_is_kept => keeps_the_forwarded_outcome(),
    /// A draining instance serves and closes kept connections; it cuts none.
    a_stopping_instance_closes_after_the_answer => closes_kept_connections_while_draining(),
    /// An instance ends in three seconds. A request that may take five would be cut off in the
    /// middle of its response; refused at once, it is served by another instance.
    a_stopping_instance_refuses_what_it_would_cut => refuses_what_would_be_cut(),
    /// All targets fail, and each retry would add to a load that they can't bear.
    repeats_stay_within_the_budget => repeats_within_the_budget(),
}
