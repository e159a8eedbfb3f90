//! Target table, address book, atlas and bounds; and a restart with the clock set back.

use std::time::{Duration, Instant};

use actix::{Actor, Addr};
use indexmap::IndexMap;
use serde_json::json;
use zinniastall_coord::retry::{Bound, Division};
use zinniastall_entry::{
    links::{self, Acceptors, Addresses, Identity},
    publish::Publisher,
    spread::{
        Gossip,
        actor::{Dependencies, Spread},
        address_book::Book,
        messages::Stop,
        renewals::{Renewals, appended_prefixes},
        settings,
        topology::Topology,
    },
    targets::{
        body::Announce,
        problem::Problem,
        table::{Change, Table},
    },
    view::{Shared, View},
};
use zinniastall_model::{object::Subject, place::Place};
use zinniastall_settings::metrics::Registry;
use zinniastall_wire::{
    gossip::{Peer, Serving, Target},
    hello::Purpose,
    link,
};

const LEASE: Duration = Duration::from_secs(3);

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn target(name: &str, incarnation: u64, sequence: u64) -> Target {
    Target {
        target: name.to_owned(),
        incarnation,
        sequence,
        place: Place::new("athens", "a"),
        address: "127.0.0.1:9".to_owned(),
        health_path: None,
        kind: "standin".to_owned(),
        role: "both".to_owned(),
        serves: vec![Serving {
            subject: Subject::Model("map-labels".to_owned()),
            version: "1".to_owned(),
            adapters: Vec::new(),
        }],
        slots: 8,
        busy: 0,
        price: 1.0,
        leaving: false,
        left_ms: 3_000,
        prefixes: Vec::new(),
        gap: false,
    }
}

fn peer(name: &str, region: &str, zone: &str) -> Peer {
    Peer {
        instance: name.to_owned(),
        incarnation: 1,
        place: Place::new(region, zone),
        links: format!("{name}:1"),
        callers: format!("{name}:2"),
        targets: format!("{name}:3"),
        draining: false,
        load: 0,
        up_ms: 0,
    }
}

// A target dies without notice. Only the end of its lease reveals that, by the clock of the
// instance that holds the report.
#[test]
fn lease_expires_by_the_holders_clock() {
    let now = Instant::now();
    let mut table = Table::new(LEASE);
    let report = Target {
        left_ms: 1_200,
        ..target("engine", 1, 1)
    };
    assert_eq!(table.apply(report, now), Ok(Change::Targets));
    assert_eq!(table.serving(now + seconds(1)).len(), 1);
    assert_eq!(table.serving(now + seconds(2)).len(), 0);
    assert!(
        table.sweep(now, now + seconds(2)),
        "the sweep must report the expired lease"
    );
    table.sweep(now, now + seconds(60));
    assert!(table.is_empty(), "expired reports remain");
}

// A report that claims a lease of an hour would keep a dead target for an hour.
#[test]
fn lease_is_capped_at_the_zone_lease() {
    let now = Instant::now();
    let mut table = Table::new(LEASE);
    let report = Target {
        left_ms: 3_600_000,
        ..target("engine", 1, 1)
    };
    assert_eq!(table.apply(report, now), Ok(Change::Targets));
    assert_eq!(table.serving(now + seconds(4)).len(), 0);
}

// A renewal identifies its report by a tag. If the target has changed or restarted since, the
// renewal must not renew the report that is held instead.
#[test]
fn renewal_of_another_report_is_ignored() {
    let now = Instant::now();
    let (mut near, mut far) = (Table::new(LEASE), Table::new(LEASE));
    assert_eq!(near.apply(target("engine", 1, 1), now), Ok(Change::Targets));
    assert_eq!(far.apply(target("engine", 2, 1), now), Ok(Change::Targets));
    assert_eq!(near.apply(target("engine", 1, 2), now), Ok(Change::Load));
    let load = near.load("engine", Vec::new(), now).unwrap();
    assert_eq!(far.renew(&load, now + seconds(2)), None);
    assert_eq!(far.serving(now + seconds(4)).len(), 0);
}

// A sender of announcements could invent an unlimited number of names.
#[test]
fn table_is_bounded() {
    let now = Instant::now();
    let mut table = Table::new(LEASE);
    for number in 0..4_096 {
        assert_eq!(
            table.apply(target(&format!("engine-{number}"), 1, 1), now),
            Ok(Change::Targets)
        );
    }
    assert_eq!(
        table.apply(target("one-more", 1, 1), now),
        Err(Problem::Full)
    );
    assert_eq!(table.apply(target("engine-7", 1, 2), now), Ok(Change::Load));
}

// The byte budget is spent. Leases are still renewed; prefixes wait for a later message.
#[test]
fn prefixes_wait_for_the_budget_and_leases_do_not() {
    let now = Instant::now();
    let mut table = Table::new(LEASE);
    let mut renewals = Renewals::default();
    assert_eq!(
        table.apply(target("engine", 1, 1), now),
        Ok(Change::Targets)
    );
    renewals.add("engine", &[1, 2, 3]);
    let loads = renewals.take(&table, 0, now);
    assert_eq!((loads.len(), loads[0].added.len()), (1, 0));
    let loads = renewals.take(&table, 18, now);
    assert_eq!(loads[0].added, [1, 2]);
    assert_eq!(renewals.take(&table, 1_000, now)[0].added, [3]);
    assert!(renewals.take(&table, 1_000, now).is_empty());
}

macro_rules! growth_cases {
    ($($name:ident: $before:expr, $after:expr => $grown:expr;)*) => {$(
        #[test]
        fn $name() {
            let with = |prefixes: &[u64]| Target { prefixes: prefixes.to_vec(), ..target("e", 1, 1) };
            let expected: Option<&[u64]> = $grown;
            assert_eq!(appended_prefixes(&with(&$before), &with(&$after)), expected);
        }
    )*};
}

growth_cases! {
    nothing_new: [1, 2], [1, 2] => Some(&[]);
    appended: [1, 2], [1, 2, 3] => Some(&[3]);
    oldest_pushed_out: [1, 2, 3], [2, 3, 4] => Some(&[4]);
    first_prefixes: [], [1, 2] => Some(&[1, 2]);
    replaced: [1, 2], [3, 4] => None;
    emptied: [1, 2], [] => None;
}

// An instance is gone for good. Without backoff, each instance of the zone would dial its address
// every half second, and after a partition all would dial at the same moment.
#[test]
fn dial_attempts_back_off() {
    let start = Instant::now();
    let mut book = Book::new(
        "entry-1".to_owned(),
        ["seed:1".to_owned()].into_iter(),
        start,
    );
    book.report(peer("entry-2", "athens", "a"), start);
    let (mut peers, mut seeds) = (0, 0);
    for step in 0..60 {
        let now = start + Duration::from_millis(500) * step;
        peers += book.due(|_| true, now).len();
        seeds += book.due_seeds(|_| false, now).len();
    }
    println!("in 30 s: {peers} attempts for a peer, {seeds} for a seed");
    assert!(
        (5..=20).contains(&peers) && (5..=20).contains(&seeds),
        "{peers}, {seeds}"
    );
}

// What a peer reports of another may be outdated. It may be used to dial, but must never be passed
// on to callers.
#[test]
fn secondhand_report_does_not_confirm_a_peer() {
    let now = Instant::now();
    let mut book = Book::new("entry-1".to_owned(), std::iter::empty(), now);
    book.report(peer("entry-2", "athens", "a"), now);
    assert!(book.confirmed("entry-2").is_none());
    assert!(book.confirm(peer("entry-2", "athens", "a"), now).is_none());
    assert!(book.confirmed("entry-2").is_some());
    let successor = Peer {
        links: "entry-2:1".to_owned(),
        ..peer("entry-3", "athens", "a")
    };
    assert_eq!(book.confirm(successor, now).as_deref(), Some("entry-2"));
    assert!(
        book.confirmed("entry-2").is_none(),
        "two owners of one address"
    );
}

#[test]
fn first_zone_of_a_region_connects_to_other_regions() {
    let now = Instant::now();
    let doors = |zones: &[(&str, &str)]| -> Vec<(Place, Vec<Peer>)> {
        let door = |(region, zone): &(&str, &str)| {
            let name = |number| format!("{region}-{zone}-{number}");
            let doors = [1, 2].map(|number| peer(&name(number), region, zone));
            (Place::new(*region, *zone), doors.to_vec())
        };
        zones.iter().map(door).collect()
    };
    let wanted = |topology: &Topology, rank| -> Vec<String> {
        let peers = topology.wanted(rank, now);
        peers.into_iter().map(|peer| peer.instance).collect()
    };
    let mut first = Topology::new(Place::new("athens", "a"), now);
    first.update(
        doors(&[("athens", "b"), ("patras", "a"), ("patras", "b")]),
        now,
    );
    assert_eq!(wanted(&first, 0), ["athens-b-1", "patras-a-1"]);
    assert_eq!(wanted(&first, 1), ["athens-b-2", "patras-a-2"]);
    let mut second = Topology::new(Place::new("athens", "b"), now);
    second.update(doors(&[("athens", "a"), ("patras", "a")]), now);
    assert_eq!(wanted(&second, 0), ["athens-a-1"]);
    // All speakers dial every zone of a region from which nothing is heard any more.
    second.update(doors(&[("athens", "a")]), now);
    assert_eq!(wanted(&second, 0), ["athens-a-1", "patras-a-1"]);
}

macro_rules! refusal_cases {
    ($($name:ident: $field:expr, $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut body = json!({
                "target": "engine", "incarnation": 1, "sequence": 1, "address": "127.0.0.1:9",
                "kind": "standin", "role": "both", "slots": 8, "busy": 0, "price": 1.0,
                "serves": [{"model": "map-labels"}],
            });
            body[$field] = $value;
            let announce: Announce = serde_json::from_value(body).unwrap();
            let refused = announce.check(&Place::new("athens", "a"));
            assert!(matches!(refused, Err(Problem::Field(_))), "{refused:?}");
        }
    )*};
}

refusal_cases! {
    empty_name: "target", json!("");
    long_name: "target", json!("x".repeat(65));
    control_characters: "role", json!("a\nb");
    no_slots: "slots", json!(0);
    too_many_slots: "slots", json!(70_000);
    negative_price: "price", json!(-1.0);
    nothing_served: "serves", json!([]);
    model_and_service: "serves", json!([{"model": "a", "service": "b"}]);
    too_many_models: "serves", json!(vec![json!({"model": "a"}); 65]);
    malformed_prefix: "cache", json!({"prefixes": ["xyz"]});
}

/// Starts the membership actor of an instance in athens/a on the current arbiter.
async fn instance(
    name: &str,
    incarnation: u64,
    seeds: Vec<String>,
) -> (Shared, Identity, Addr<Spread>) {
    instance_at(Place::new("athens", "a"), name, incarnation, seeds).await
}

async fn instance_at(
    place: Place,
    name: &str,
    incarnation: u64,
    seeds: Vec<String>,
) -> (Shared, Identity, Addr<Spread>) {
    let listener = link::listen("127.0.0.1:0").await.expect("a free port");
    let links = listener.local_addr().expect("a bound socket").to_string();
    let addresses = Addresses {
        callers: links.clone(),
        targets: links.clone(),
        links,
    };
    let identity = Identity::new(name.to_owned(), incarnation, place.clone(), addresses);
    let shared_view = Shared::new(View::new(name.to_owned(), incarnation, place));
    let dependencies = Dependencies {
        identity: identity.clone(),
        shared_view: shared_view.clone(),
        publisher: Publisher::new(shared_view.clone(), Division::new(Bound::default().window))
            .start(),
        recorder: Registry::start("test", None)
            .expect("no socket is needed")
            .recorder(),
    };
    let settings = settings::Spread {
        period: Duration::from_millis(50),
        floor: Duration::from_millis(500),
        ceiling: Duration::from_secs(2),
        lease: LEASE,
        digest_interval: Duration::from_millis(500),
        bytes_per_second: 100_000,
    };
    let spread = Spread::new(settings, seeds.into_iter(), dependencies).start();
    let acceptors = Acceptors::new(identity.clone());
    let acceptors = acceptors.owner(Purpose::Gossip, Gossip(spread.clone()));
    actix::spawn(links::serve(listener, acceptors));
    (shared_view, identity, spread)
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < seconds(20), "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn seen_incarnation(shared_view: &Shared, name: &str) -> Option<u64> {
    let view = shared_view.view();
    let peers: &IndexMap<_, _> = &view.peers;
    peers.get(name).map(|peer| peer.incarnation)
}

// An instance restarts on a machine whose clock was set back. Its incarnation is lower than the one
// that its peers remember, so they would ignore its messages as outdated and it would never serve
// again.
#[actix_rt::test]
async fn restart_with_an_earlier_clock_raises_its_incarnation() {
    let (peer, identity, _) = instance("entry-1", 5, Vec::new()).await;
    let seeds = vec![identity.addresses().links.clone()];
    let (_, _, former) = instance("entry-2", 100, seeds.clone()).await;
    until("the former incarnation is seen", || {
        seen_incarnation(&peer, "entry-2") == Some(100)
    })
    .await;
    former.send(Stop).await.unwrap();
    let (restarted, _, _) = instance("entry-2", 40, seeds).await;
    until("the restarted instance is seen", || {
        seen_incarnation(&peer, "entry-2") == Some(101)
    })
    .await;
    until("its own view has the new incarnation", || {
        restarted.view().incarnation == 101
    })
    .await;
}

// All zones have the same seed in their settings. Facts about a zone are not relayed by a third, so
// zones that never learn of each other would never spill requests to each other, although every
// link works.
#[actix_rt::test]
async fn zones_discover_each_other_through_a_third() {
    let places = [
        ("athens", "a"),
        ("athens", "b"),
        ("athens", "c"),
        ("patras", "a"),
        ("nantes", "a"),
    ];
    let mut seeds = Vec::new();
    let mut shared_views = Vec::new();
    for (number, (region, zone)) in places.into_iter().enumerate() {
        let name = format!("entry-{number}");
        let started = instance_at(Place::new(region, zone), &name, 1, seeds.clone()).await;
        if seeds.is_empty() {
            seeds.push(started.1.addresses().links.clone());
        }
        shared_views.push(started.0);
    }
    for (shared_view, place) in shared_views.iter().zip(places) {
        let what = format!("{place:?} sees all zones");
        until(&what, || shared_view.view().peers.len() == places.len()).await;
    }
}
