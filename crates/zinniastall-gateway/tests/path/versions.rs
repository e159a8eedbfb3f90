//! Streams of targets of several software versions.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use tokio::{net::UdpSocket, time};
use zinniastall_coord::{
    confirmation::LEASE,
    origin::{Key, Stage},
};
use zinniastall_gateway::{
    freshness::Lease,
    neighbours::datagram::{Datagram, MAX_DATAGRAM_BYTES},
    view::{Shared, Target as KnownTarget, View},
};
use zinniastall_model::{
    place::Place,
    routing::{Engine, Kind, Route, Service, Share, Table},
};
use zinniastall_wire::hub::Configuration;

use crate::{
    cases,
    harness::{
        Action, Gateway, PLACE, Request, Response, SERVICE, Target, get, instance, known_target,
        post, route, versions, view,
    },
    partitions::{exchange, keep_busy},
    streams::{chunk, event, head},
};

/// Events of a stream.
const EVENTS: u32 = 6;
/// Events after which the first target breaks off.
const BROKEN_AFTER: u32 = 3;
const FAR: (&str, &str) = ("athens", "athens-a");

fn routes() -> Vec<Route> {
    let mut resumable = route("/resumed/", Kind::Stream, 3);
    resumable.resumable = true;
    vec![resumable, route("/plans/", Kind::Idempotent, 3)]
}

/// Writes its version into each event, and breaks off streams that begin with `broken` in their path.
pub(crate) fn writer(version: &'static str) -> impl Fn(&Request) -> Vec<Action> + 'static {
    move |request| {
        if request.head.contains("/plans/") {
            return vec![Action::Send(request.response(version))];
        }
        let last = request.header("last-event-id").parse().unwrap_or(0);
        let is_broken = last == 0 && request.head.contains("broken");
        let mut actions = vec![Action::Send(head(request.id()).into_bytes())];
        for id in last + 1..=EVENTS {
            if is_broken && id > BROKEN_AFTER {
                actions.push(Action::Close);
                return actions;
            }
            let event = event(id).replace("data: ", &format!("data: {version} "));
            actions.push(Action::Send(chunk(&event).into_bytes()));
        }
        actions.push(Action::Send(b"0\r\n\r\n".to_vec()));
        actions
    }
}

/// Starts a target of each version, as a gateway sees them; an empty version is none.
pub(crate) async fn writers(names: &[&'static str]) -> Vec<(Target, KnownTarget)> {
    let mut all = Vec::new();
    for (at, version) in names.iter().enumerate() {
        all.push(known(at, Target::start(writer(version)).await, version));
    }
    all
}

/// Returns a target of a version with what a gateway sees of it.
fn known(at: usize, target: Target, version: &str) -> (Target, KnownTarget) {
    let mut known = known_target(&format!("target-{at}"), target.address);
    known.report.version = Some(version.to_owned()).filter(|version| !version.is_empty());
    (target, known)
}

/// Returns a view with targets, and with the versions that the group has settled.
pub(crate) fn seen(targets: &[(Target, KnownTarget)], settled: &[&str]) -> View {
    let mut view = view(routes(), &[]);
    let known = targets.iter().map(|(_, known)| known.clone());
    let known = known.map(|known| (known.report.target.clone(), known));
    view.targets = Arc::new(known.collect());
    view.configuration = Some(Arc::new(Configuration {
        versions: Some(versions(settled)),
        ..Configuration::clone(view.configuration.as_ref().unwrap())
    }));
    view
}

pub(crate) async fn ask(gateway: &Gateway, path: &str, id: &str, fields: &str) -> Response {
    let mut caller = gateway.connect().await;
    caller.call(&get(path, id, fields)).await
}

/// Returns the versions that wrote a stream.
pub(crate) fn written_by(body: &str) -> IndexSet<String> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .filter_map(|data| data.split(' ').next().map(ToOwned::to_owned))
        .collect()
}

fn runs(targets: &[(Target, KnownTarget)]) -> usize {
    targets
        .iter()
        .map(|(target, _)| target.requests().len())
        .sum()
}

fn assert_rejected(response: &Response, why: &str) {
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.body.contains(why), "{response:?}");
    assert!(!response.header("retry-after").is_empty());
}

async fn goes_on_at_its_version_or_not_at_all() {
    let targets = writers(&["v1", "v2", "v1"]).await;
    let gateway = Gateway::start(seen(&targets, &["v1", "v2"])).await;
    for stream in 0..20 {
        let id = format!("s{stream}");
        let first = ask(&gateway, "/resumed/broken", &id, "").await;
        let mut versions = written_by(&first.body);
        assert_eq!(versions.len(), 1, "{first:?}");
        if first.is_complete() {
            continue;
        }
        let fields = format!("Last-Event-Id: {BROKEN_AFTER}\r\nResumes: {id}\r\n");
        let rest = ask(&gateway, "/resumed/1", &format!("{id}-1"), &fields).await;
        assert!(rest.is_complete(), "{rest:?}");
        versions.extend(written_by(&rest.body));
        assert_eq!(versions.len(), 1);
    }
}

async fn rejects_what_is_unknown(settled: &'static [&'static str], is_trusted: bool) {
    let targets = writers(&["v1", "v1"]).await;
    let mut board = Shared::new(seen(&targets, settled));
    if !is_trusted {
        board = board.with_lease(Lease::new(Some(LEASE)));
    }
    let gateway = Gateway::on(board).await;
    for fields in ["Resumes: nobody\r\n", "", "Resumes: a\r\nResumes: b\r\n"] {
        let fields = format!("Last-Event-Id: 3\r\n{fields}");
        let response = ask(&gateway, "/resumed/1", "x", &fields).await;
        assert_rejected(&response, "version-unknown");
    }
    assert_eq!(runs(&targets), 0);
}

async fn rejects_a_version_that_is_gone() {
    let targets = writers(&["v1", "v2"]).await;
    let board = Shared::new(seen(&targets[..1], &["v1", "v2"]));
    let gateway = Gateway::on(board.clone()).await;
    let first = ask(&gateway, "/resumed/1", "s", "").await;
    assert_eq!(written_by(&first.body).len(), 1);
    board.publish(seen(&targets[1..], &["v1", "v2"]));
    let fields = "Last-Event-Id: 3\r\nResumes: s\r\n";
    let rest = ask(&gateway, "/resumed/1", "s-1", fields).await;
    assert_rejected(&rest, "version-not-served");
    // A rollback brings it back.
    board.publish(seen(&targets, &["v1", "v2"]));
    let rest = ask(&gateway, "/resumed/1", "s-2", fields).await;
    assert_eq!(written_by(&rest.body), written_by(&first.body));
}

async fn doubts_an_id_that_began_twice() {
    let targets = writers(&["v1", "v2"]).await;
    let board = Shared::new(seen(&targets[..1], &["v1", "v2"]));
    let gateway = Gateway::on(board.clone()).await;
    ask(&gateway, "/resumed/1", "s", "").await;
    board.publish(seen(&targets[1..], &["v1", "v2"]));
    ask(&gateway, "/resumed/1", "s", "").await;
    board.publish(seen(&targets, &["v1", "v2"]));
    let fields = "Last-Event-Id: 3\r\nResumes: s\r\n";
    let rest = ask(&gateway, "/resumed/1", "s-1", fields).await;
    assert_rejected(&rest, "version-unknown");
}

async fn begins_only_at_settled_versions() {
    let targets = writers(&["v1", "v2"]).await;
    let mut view = seen(&targets, &[]);
    let set = [("v1", Stage::Settled), ("v2", Stage::Announced)];
    let set = Arc::new(set.into_iter().collect());
    view.configuration = Some(Arc::new(Configuration {
        versions: Some([(SERVICE.to_owned(), set)].into_iter().collect()),
        ..Configuration::clone(view.configuration.as_ref().unwrap())
    }));
    let gateway = Gateway::start(view).await;
    let mut plain = IndexSet::new();
    for at in 0..20 {
        let response = ask(&gateway, "/resumed/1", &format!("s{at}"), "").await;
        assert!(written_by(&response.body).contains("v1"), "{response:?}");
        let mut caller = gateway.connect().await;
        let response = caller.call(&post("/plans/1", &format!("p{at}"), "")).await;
        plain.insert(response.body);
    }
    assert_eq!(plain.len(), 2, "what isn't a stream goes to all targets");
}

async fn a_target_without_a_version_goes_on_nowhere() {
    let targets = writers(&["", ""]).await;
    let gateway = Gateway::start(seen(&targets, &[""])).await;
    let first = ask(&gateway, "/resumed/broken", "s", "").await;
    assert!(!first.is_complete());
    assert_eq!(runs(&targets), 1);
    let fields = "Last-Event-Id: 3\r\nResumes: s\r\n";
    let rest = ask(&gateway, "/resumed/1", "s-1", fields).await;
    assert_rejected(&rest, "version-unknown");
}

/// Starts an instance without targets, and one in another region with these targets.
async fn two_regions(targets: &[(Target, KnownTarget)], checks_origins: bool) -> [Gateway; 2] {
    let settled = ["v1", "v2"];
    let mut far = seen(targets, &settled);
    far.place = Place::new(FAR.0, FAR.1);
    let targets = far.targets.by_name().clone().into_iter();
    let targets = targets.map(|(name, mut known)| {
        known.report.place = Place::new(FAR.0, FAR.1);
        (name, known)
    });
    far.targets = Arc::new(targets.collect());
    let mut near = far.clone();
    near.place = Place::new(PLACE.0, PLACE.1);
    "edge-2".clone_into(&mut far.instance);
    let far = Gateway::start(far).await;
    let (name, mut presence) = instance("edge-2", FAR, &far.forward.to_string());
    presence.checks_origins = checks_origins;
    near.instances = Arc::new([(name, presence)].into_iter().collect());
    [Gateway::start(near).await, far]
}

async fn carries_the_requirement_over_a_border() {
    let targets = writers(&["v1", "v2", "v1"]).await;
    let [near, _far] = two_regions(&targets, true).await;
    for stream in 0..20 {
        let id = format!("s{stream}");
        let first = ask(&near, "/resumed/1", &id, "").await;
        assert_eq!(first.header("zs-origin"), "", "stays between instances");
        let fields = format!("Last-Event-Id: 3\r\nResumes: {id}\r\n");
        let rest = ask(&near, "/resumed/1", &format!("{id}-1"), &fields).await;
        assert!(rest.is_complete(), "{rest:?}");
        assert_eq!(written_by(&rest.body), written_by(&first.body));
    }
}

async fn an_instance_that_checks_nothing_gets_no_stream_to_go_on_with() {
    let targets = writers(&["v1", "v2"]).await;
    let [near, _far] = two_regions(&targets, false).await;
    ask(&near, "/resumed/1", "s", "").await;
    let before = runs(&targets);
    let fields = "Last-Event-Id: 3\r\nResumes: s\r\n";
    let rest = ask(&near, "/resumed/1", "s-1", fields).await;
    assert_eq!(rest.status, 503, "{rest:?}");
    assert_eq!(runs(&targets), before);
}

async fn carries_the_requirement_over_a_detour() {
    let dark = || Target::with_short_backlog(|_| vec![Action::PowerLoss]);
    let dark = [known(0, dark(), "v1"), known(1, dark(), "v2")];
    let reached = writers(&["v1", "v2"]).await;
    let mut views = [seen(&dark, &["v1", "v2"]), seen(&reached, &["v1", "v2"])];
    "edge-2".clone_into(&mut views[1].instance);
    let boards = views.map(Shared::new);
    let [cut, neighbour] = [
        Gateway::on(boards[0].clone()).await,
        Gateway::on(boards[1].clone()).await,
    ];
    for (board, gateway) in boards.iter().zip([&cut, &neighbour]) {
        let list = [("edge-1", &cut), ("edge-2", &neighbour)];
        let list = list.map(|(name, at)| instance(name, PLACE, &at.forward.to_string()));
        let view = View::clone(&board.view());
        let instances = Arc::new(list.into_iter().collect());
        board.publish(View { instances, ..view });
        exchange(gateway).await;
    }
    keep_busy(&neighbour, "/plans/1");
    // The instance that is cut off finds that out from requests.
    ask(&cut, "/plans/1", "p", "").await;
    for stream in 0..20 {
        let id = format!("s{stream}");
        let first = ask(&neighbour, "/resumed/1", &id, "").await;
        let fields = format!("Last-Event-Id: 3\r\nResumes: {id}\r\n");
        let rest = ask(&cut, "/resumed/1", &format!("{id}-1"), &fields).await;
        assert!(rest.is_complete(), "{rest:?}");
        assert_eq!(written_by(&rest.body), written_by(&first.body));
    }
}

async fn goes_on_at_the_service_that_began_it() {
    let mut targets = writers(&["v1", "w1"]).await;
    "other".clone_into(&mut targets[1].1.report.service);
    let mut view = seen(&targets, &["v1"]);
    let mut split = routes().swap_remove(0).to(Share {
        service: "other".to_owned(),
        weight: 1,
    });
    split.attempts = 1;
    let services = [SERVICE, "other"].map(Service::new);
    let other = std::iter::once(("w1", Stage::Settled)).collect();
    let mut held = Configuration::clone(view.configuration.as_ref().unwrap());
    held.table = Some(Table::new(1, vec![split], services.into()));
    held.versions
        .as_mut()
        .unwrap()
        .insert("other".to_owned(), Arc::new(other));
    view.configuration = Some(Arc::new(held));
    let gateway = Gateway::start(view).await;
    let mut begun = IndexSet::new();
    for stream in 0..20 {
        let id = format!("s{stream}");
        let first = ask(&gateway, "/resumed/1", &id, "").await;
        let fields = format!("Last-Event-Id: 3\r\nResumes: {id}\r\n");
        let rest = ask(&gateway, "/resumed/1", &format!("{id}-1"), &fields).await;
        assert!(rest.is_complete(), "{rest:?}");
        assert_eq!(written_by(&rest.body), written_by(&first.body));
        begun.extend(written_by(&first.body));
    }
    assert_eq!(begun.len(), 2, "both services begin streams");
}

/// Keeps a target busy with a long prompt, and returns where the other one fetches the cache from that
/// a prompt with the same beginning needs.
async fn fetches_from(names: [&'static str; 2]) -> Option<SocketAddr> {
    let mut targets = Vec::new();
    for (at, version) in names.into_iter().enumerate() {
        let target = Target::start(move |request| {
            let mut actions = writer(version)(request);
            if request.header("prompt-parts").contains("long") {
                actions.insert(0, Action::Wait(Duration::from_secs(5)));
            }
            actions
        });
        targets.push(known(at, target.await, version));
    }
    let mut view = seen(&targets, &["v1", "v2", ""]);
    let mut held = Configuration::clone(view.configuration.as_ref().unwrap());
    let mut service = Service::new(SERVICE);
    service.engine = Some(Engine {
        slots: 8,
        tokens: 1 << 20,
        stride: 1,
        token_bytes: 1_000,
        link_mbps: 100_000,
    });
    held.table = Some(Table::new(1, routes(), vec![service]));
    view.configuration = Some(Arc::new(held));
    let gateway = Gateway::start(view).await;
    let mut caller = gateway.connect().await;
    let long = "prompt-parts: shared:5000,long:60000\r\n";
    caller.send(&get("/resumed/1", "long", long)).await;
    while runs(&targets) == 0 {
        time::sleep(Duration::from_millis(1)).await;
    }
    let short = "prompt-parts: shared:5000,short:10\r\n";
    assert!(
        ask(&gateway, "/resumed/1", "short", short)
            .await
            .is_complete()
    );
    let requests = targets.iter().flat_map(|(target, _)| target.requests());
    let mut fetched = requests.map(|request| request.header("fetch-from").to_owned());
    fetched.find_map(|address| address.parse().ok())
}

async fn fetches_caches_of_its_own_version_only() {
    assert!(fetches_from(["v1", "v1"]).await.is_some());
    assert_eq!(fetches_from(["v1", "v2"]).await, None);
    assert_eq!(fetches_from(["", ""]).await, None);
}

async fn callers_and_targets_state_no_origins() {
    let target = Target::start(|request| {
        let origin = r#"zs-origin: {"s":"api","v":"v2"}"#;
        let head = head(request.id()).replace("\r\n\r\n", &format!("\r\n{origin}\r\n\r\n"));
        let events: String = (1..=EVENTS).map(|id| chunk(&event(id))).collect();
        vec![Action::Send((head + &events + "0\r\n\r\n").into_bytes())]
    })
    .await;
    let known = known_target("target-0", target.address);
    let targets = [(target, known)];
    let gateway = Gateway::start(seen(&targets, &["v1", "v2"])).await;
    let first = ask(&gateway, "/resumed/1", "s", "").await;
    assert_eq!(first.header("zs-origin"), "");
    let forged = "zs-requires: {\"s\":\"api\",\"v\":\"v1\"}\r\n";
    let fields = format!("Last-Event-Id: 3\r\nResumes: nobody\r\n{forged}");
    let response = ask(&gateway, "/resumed/1", "x", &fields).await;
    assert_rejected(&response, "version-unknown");
    let fields = "Last-Event-Id: 3\r\nResumes: s\r\n";
    let rest = ask(&gateway, "/resumed/1", "s-1", fields).await;
    assert_eq!(rest.status, 200, "it began at v1, whatever the target says");
}

cases! {
    /// Guards against streams that go on at another version, in one answer or taken up by the caller.
    a_stream_goes_on_at_the_version_that_began_it => goes_on_at_its_version_or_not_at_all(),
    /// Guards against an unknown origin that is taken for any, while two versions serve.
    an_unknown_origin_admits_no_target => rejects_what_is_unknown(&["v1", "v2"], true),
    /// Guards against an instance that is cut off from control and takes the version that it knows for
    /// the only one.
    an_unconfirmed_set_of_one_version_is_not_relied_on => rejects_what_is_unknown(&["v1"], false),
    /// Guards against requests that are held, or sent elsewhere, although no target of their version is
    /// left.
    a_version_that_is_gone_is_rejected_at_once => rejects_a_version_that_is_gone(),
    /// Guards against the first of two beginnings of one id that is taken for the only one.
    an_id_that_began_twice_goes_on_nowhere => doubts_an_id_that_began_twice(),
    /// Guards against streams that begin at a version of which others may not know yet.
    streams_begin_only_at_settled_versions => begins_only_at_settled_versions(),
    /// Guards against targets without a version that are taken for one version.
    a_stream_of_a_target_without_a_version_goes_on_nowhere => a_target_without_a_version_goes_on_nowhere(),
    /// Guards against a border behind which the version that began a stream is forgotten.
    another_region_keeps_to_the_version => carries_the_requirement_over_a_border(),
    /// Guards against a neighbour that forgets the version, where this instance reaches no target.
    a_detour_keeps_to_the_version => carries_the_requirement_over_a_detour(),
    /// Guards against streams of a split route that their callers take up at another service.
    a_split_route_keeps_to_the_service => goes_on_at_the_service_that_began_it(),
    /// Guards against a prompt that a target goes on with from the cache of another version.
    a_cache_is_fetched_from_the_same_version => fetches_caches_of_its_own_version_only(),
    /// Guards against an instance of an older version, which takes a requirement for any other field.
    an_older_instance_gets_no_stream_to_go_on_with =>
        an_instance_that_checks_nothing_gets_no_stream_to_go_on_with(),
    /// Guards against origins and requirements that callers or targets forge.
    origins_of_callers_and_targets_are_not_believed => callers_and_targets_state_no_origins(),
}

async fn corrects_a_record_of_an_earlier_run() {
    let targets = writers(&["v1", "v1"]).await;
    let board = Shared::new(seen(&targets[..1], &["v1", "v2"]));
    let gateway = Gateway::on(board.clone()).await;
    ask(&gateway, "/resumed/1", "s", "").await;
    let mut later = seen(&targets, &["v1", "v2"]);
    let known = later.targets.by_name().clone().into_iter();
    let known = known.map(|(name, mut known)| {
        if name == "target-0" {
            known.report.incarnation += 1;
            known.report.version = Some("v2".to_owned());
        }
        (name, known)
    });
    later.targets = Arc::new(known.collect());
    board.publish(later);
    gateway.proxy.origins.update(&board, Instant::now());
    let fields = "Last-Event-Id: 3\r\nResumes: s\r\n";
    let rest = ask(&gateway, "/resumed/1", "s-1", fields).await;
    assert_rejected(&rest, "version-unknown");
}

cases! {
    /// Guards against a record that was made on the report of an earlier run of the target.
    a_later_run_at_another_version_makes_a_record_doubtful => corrects_a_record_of_an_earlier_run(),
}

/// Starts an instance with a neighbour that only listens to its datagrams.
async fn beside_a_listener(
    settled: &[&str],
    names: &[&'static str],
) -> (Gateway, std::net::UdpSocket) {
    let targets = writers(names).await;
    // Not one of the runtime, which would have to notice first that a datagram is there.
    let neighbour = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    neighbour.set_nonblocking(true).unwrap();
    let address = neighbour.local_addr().unwrap().to_string();
    let mut view = seen(&targets, settled);
    view.instances = Arc::new([instance("edge-2", PLACE, &address)].into_iter().collect());
    let gateway = Gateway::start(view).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    gateway.proxy.origins.set_socket(Rc::new(socket));
    (gateway, neighbour)
}

async fn tells_a_neighbour_before_the_first_event() {
    let (gateway, neighbour) = beside_a_listener(&["v1", "v2"], &["v1"]).await;
    let mut caller = gateway.connect().await;
    caller.send(&get("/resumed/1", "s", "")).await;
    caller.read_until("data: ").await;
    // The event has arrived, so the datagram has, too: both were sent to this machine, in this order.
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let length = neighbour.recv(&mut buffer).unwrap();
    let Datagram::Origins(told) = Datagram::decode(&buffer[..length]).unwrap() else {
        panic!("another datagram");
    };
    assert_eq!(told[0].key, Key::of("s"));
    assert_eq!(told[0].origin.version, "v1");
}

async fn tells_nobody_while_one_version_serves() {
    let (gateway, neighbour) = beside_a_listener(&["v1"], &["v1"]).await;
    for stream in 0..5 {
        let id = format!("s{stream}");
        ask(&gateway, "/resumed/1", &id, "").await;
        let fields = format!("Last-Event-Id: 3\r\nResumes: other-{stream}\r\n");
        let rest = ask(&gateway, "/resumed/1", &format!("{id}-1"), &fields).await;
        assert!(rest.is_complete(), "{rest:?}");
    }
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let received = neighbour.recv(&mut buffer);
    assert!(received.is_err(), "{received:?}");
}

async fn tells_of_earlier_streams_once_a_second_version_is_announced() {
    let (gateway, neighbour) = beside_a_listener(&["v1"], &["v1"]).await;
    let state = &gateway.proxy.state;
    gateway.proxy.origins.update(state, Instant::now());
    ask(&gateway, "/resumed/1", "s", "").await;
    let mut view = View::clone(&state.view());
    view.configuration = Some(Arc::new(Configuration {
        versions: Some(versions(&["v1", "v2"])),
        ..Configuration::clone(view.configuration.as_ref().unwrap())
    }));
    state.publish(view);
    gateway.proxy.origins.update(state, Instant::now());
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let length = neighbour.recv(&mut buffer).unwrap();
    let datagram = Datagram::decode(&buffer[..length]).unwrap();
    let Datagram::Origins(told) = datagram else {
        panic!("{datagram:?}");
    };
    assert_eq!((told.len(), told[0].key), (1, Key::of("s")));
}

cases! {
    /// Guards against an instance that ends right after the first event and takes its record with it.
    others_know_what_began_a_stream_before_its_caller_does => tells_a_neighbour_before_the_first_event(),
    /// Guards against traffic and waits that one version alone doesn't need.
    nobody_is_told_or_asked_while_one_version_serves => tells_nobody_while_one_version_serves(),
    /// Guards against streams that nobody knows since they began when there was one version.
    others_are_told_of_streams_from_before_a_second_version =>
        tells_of_earlier_streams_once_a_second_version_is_announced(),
}
