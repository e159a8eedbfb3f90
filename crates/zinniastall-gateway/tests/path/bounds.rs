//! Where requests may go: routes, zones, regions, time, budgets.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use zinniastall_gateway::view::{Drain, View};
use zinniastall_model::{place::Place, routing::Kind};
use zinniastall_wire::hub::Configuration;

use crate::{
    cases,
    stage::{Act, Caller, PLACE, Stage, Target, get, instance, known, post, route, view},
};

fn routes() -> Vec<zinniastall_model::routing::Route> {
    vec![
        route("/plans/", Kind::Idempotent, 3),
        route("/pay/", Kind::Once, 1),
    ]
}

async fn unknown_and_unconfigured() {
    let target = Target::answering("fine").await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let got = stage.connect().await.call(&get("/other/", "a", "")).await;
    assert_eq!(got.status, 404);
    let place = Place::new(PLACE.0, PLACE.1);
    let stage = Stage::start(View::new("edge-1".to_owned(), place)).await;
    let got = stage.connect().await.call(&get("/plans/1", "a", "")).await;
    assert_eq!(got.status, 503);
    assert_ne!(got.header("retry-after"), "");
}

async fn spares_an_evacuated_zone() {
    let target = Target::answering("fine").await;
    let mut shown = view(routes(), &[&target]);
    let table = shown.table().cloned();
    shown.configuration = Some(Arc::new(Configuration {
        revision: 2,
        table,
        evacuated: vec![PLACE.1.to_owned()],
    }));
    let stage = Stage::start(shown).await;
    let got = stage.connect().await.call(&get("/plans/1", "a", "")).await;
    assert_eq!(got.status, 503);
    assert_eq!(target.seen().len(), 0);
}

/// The only target has just come back cold and bears five requests a second; a caller asks for fifty.
async fn paces_a_cold_target() {
    let target = Target::answering("fine").await;
    let mut shown = view(routes(), &[]);
    let mut table = shown.table().cloned().unwrap();
    table.services[0].cold_rate_milli = 5_000;
    shown.configuration = Some(Arc::new(Configuration {
        revision: 2,
        table: Some(table),
        evacuated: Vec::new(),
    }));
    let mut cold = known("target-0", target.address);
    cold.cold_until = Some(Instant::now() + Duration::from_mins(1));
    shown.targets = Arc::new([("target-0".to_owned(), cold)].into_iter().collect());
    let stage = Stage::start(shown).await;
    let mut caller = stage.connect().await;
    let since = Instant::now();
    let mut served = 0;
    while since.elapsed() < Duration::from_secs(2) {
        let got = caller.call(&get("/plans/1", "a", "")).await;
        served += u32::from(got.status == 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!((3..=12).contains(&served), "{served} in two seconds");
}

async fn answers_at_the_routes_timeout() {
    let target = Target::start(|_| vec![Act::Wait(Duration::from_secs(15))]).await;
    let mut routes = routes();
    routes[1].timeout_ms = 200;
    let stage = Stage::start(view(routes, &[&target])).await;
    let since = Instant::now();
    let got = stage.connect().await.call(&post("/pay/1", "a", "x")).await;
    assert_eq!(got.status, 504);
    assert!((200..700).contains(&since.elapsed().as_millis()));
}

async fn refuses_at_once_without_a_target() {
    let stage = Stage::start(view(routes(), &[])).await;
    let since = Instant::now();
    let got = stage.connect().await.call(&post("/pay/1", "a", "x")).await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-sent"), "{}", got.body);
    assert!(since.elapsed() < Duration::from_millis(500));
}

/// Shows an instance of another region, at the address of a scripted target, to a stage that has no
/// targets itself but knows of one there.
async fn far(
    script: impl Fn(&crate::stage::Seen) -> Vec<Act> + 'static,
    homes: &[&str],
) -> (Stage, Target) {
    let far = Target::start(script).await;
    let mut routes = routes();
    routes[0].homes = homes.iter().map(|home| (*home).to_owned()).collect();
    let mut shown = view(routes, &[]);
    let mut target = known("target-far", far.address);
    target.report.place = Place::new("athens", "athens-a");
    shown.targets = Arc::new([("target-far".to_owned(), target)].into_iter().collect());
    let address = far.address.to_string();
    let instances = [
        instance("edge-1", PLACE, "127.0.0.1:1"),
        instance("edge-far", ("athens", "athens-a"), &address),
    ];
    shown.instances = Arc::new(instances.into_iter().collect());
    (Stage::start(shown).await, far)
}

async fn passes_on_to_another_region() {
    let (stage, far) = far(|seen| vec![Act::Send(seen.answer("from afar"))], &[]).await;
    let got = stage.connect().await.call(&get("/plans/1", "a", "")).await;
    assert_eq!((got.status, got.body.as_str()), (200, "from afar"));
    assert_eq!(far.seen()[0].header("zs-revision"), "1");
    let mut instance = Caller::connect(stage.forward).await;
    let got = instance
        .call(&get("/plans/1", "b", "zs-revision: 1\r\n"))
        .await;
    assert_eq!((got.status, got.header("zs-outcome")), (503, "not-sent"));
    assert_eq!(far.seen().len(), 1, "a request crossed two borders");
}

async fn keeps_to_the_homes() {
    let (stage, far) = far(
        |seen| vec![Act::Send(seen.answer("from afar"))],
        &["patras"],
    )
    .await;
    let got = stage.connect().await.call(&get("/plans/1", "a", "")).await;
    assert_eq!(got.status, 503);
    assert_eq!(far.seen().len(), 0);
}

async fn believes_the_other_instance() {
    let script = |seen: &crate::stage::Seen| {
        let id = seen.id();
        let (status, word) = if seen.before == 0 {
            (502, "unknown")
        } else {
            (503, "not-run")
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\nrequest-id: {id}\r\nzs-outcome: {word}\r\ncontent-length: 0\r\n\r\n"
        );
        vec![Act::Send(text.into_bytes())]
    };
    let (stage, _far) = far(script, &[]).await;
    let got = stage.connect().await.call(&post("/pay/1", "a", "x")).await;
    assert_eq!(got.status, 502);
    let got = stage.connect().await.call(&post("/pay/1", "b", "x")).await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-run"), "{}", got.body);
}

async fn closes_kept_connections_while_draining() {
    let target = Target::answering("fine").await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let mut caller = stage.connect().await;
    assert_eq!(
        caller
            .call(&get("/plans/1", "a", ""))
            .await
            .header("connection"),
        ""
    );
    let since = Instant::now();
    let end = since + Duration::from_secs(10);
    stage.traffic.state.drain(Drain { since, end });
    let got = caller.call(&get("/plans/1", "b", "")).await;
    assert_eq!((got.status, got.header("connection")), (200, "close"));
    assert!(caller.ends().await);
    let got = stage.connect().await.call(&get("/plans/1", "c", "")).await;
    assert_eq!((got.status, got.header("connection")), (200, "close"));
}

async fn takes_nothing_that_would_be_cut() {
    let target = Target::answering("fine").await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let now = Instant::now();
    let since = now.checked_sub(Duration::from_secs(4)).unwrap();
    let end = now + Duration::from_secs(3);
    stage.traffic.state.drain(Drain { since, end });
    // The route's time of five seconds is longer than what is left, the caller's own is shorter.
    let got = stage.connect().await.call(&post("/pay/1", "a", "x")).await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-sent"), "{}", got.body);
    let got = stage
        .connect()
        .await
        .call(&get("/plans/1", "b", "deadline-ms: 900\r\n"))
        .await;
    assert_eq!(got.status, 200);
    assert_eq!(target.seen().len(), 1);
}

async fn repeats_within_the_budget() {
    let target = Target::start(|_| vec![Act::Close]).await;
    let other = Target::start(|_| vec![Act::Close]).await;
    let stage = Stage::start(view(routes(), &[&target, &other])).await;
    for id in 0..300 {
        let got = stage
            .connect()
            .await
            .call(&get("/plans/1", &id.to_string(), ""))
            .await;
        assert!([502, 503].contains(&got.status));
    }
    let sent = target.seen().len() + other.seen().len();
    // A fifth of 300 requests, and the 100 of the stage's own setting, at most.
    assert!(sent <= 300 + 60 + 100, "{sent}");
    assert!(sent > 300, "no request was repeated");
}

cases! {
    /// All targets of a zone come back cold at once; they have to get some requests, and not more than they bear.
    a_cold_target_gets_what_it_bears => paces_a_cold_target(),
    /// A path that no route serves is told apart from an instance that knows no routes yet.
    routes_that_are_missing_are_told_apart => unknown_and_unconfigured(),
    /// Operators empty a zone, and a machine there is about to be switched off.
    an_evacuated_zone_gets_nothing => spares_an_evacuated_zone(),
    /// A target hangs. The caller has its final answer when the route's time is over.
    a_request_is_answered_at_its_routes_timeout => answers_at_the_routes_timeout(),
    /// No target is left. The caller is told at once instead of at its deadline.
    a_request_without_a_target_is_refused_at_once => refuses_at_once_without_a_target(),
    /// A region has lost its targets; another one serves, and never passes the request on again.
    another_region_serves_once => passes_on_to_another_region(),
    /// A request is bound to its home, which has no target: it may not leave, and neither may its body.
    a_request_stays_in_its_homes => keeps_to_the_homes(),
    /// Another instance says how a request ended there; "not run" must not be said of the unknown.
    the_outcome_of_another_instance_is_kept => believes_the_other_instance(),
    /// An instance is told to stop. Kept connections are served and closed, none is cut.
    a_stopping_instance_closes_after_the_answer => closes_kept_connections_while_draining(),
    /// An instance ends in three seconds. A request that may take five would be cut in the middle of its
    /// answer; refused at once, it is served whole by another instance.
    an_ending_instance_takes_nothing_that_it_would_cut => takes_nothing_that_would_be_cut(),
    /// All targets fail, and each request tried again would add to what they can't bear.
    repeats_stay_within_the_budget => repeats_within_the_budget(),
}
