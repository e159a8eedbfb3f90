//! Requests that leave their region under a grant of another one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use zinniastall_gateway::{
    neighbours::{
        datagram::key,
        overflow::messages::{Grant, GrantEntry},
    },
    policy::LoadControl,
    view::{Shared, View},
};
use zinniastall_model::{place::Place, routing::Kind};

use crate::{
    cases,
    harness::{
        Action, Gateway, PLACE, Request, SERVICE, Target, get, instance, known_target, route, view,
    },
    partitions::exchange,
};

const LENDER: (&str, &str) = ("athens", "athens-a");

/// A gateway whose region may have a target, and a lending region with one instance and target, which
/// are one script.
struct Pair {
    gateway: Gateway,
    view: View,
    far: Target,
}

fn rejection(request: &Request) -> Vec<Action> {
    let id = request.id();
    let text = format!(
        "HTTP/1.1 503 X\r\nrequest-id: {id}\r\nzs-outcome: not-sent\r\ncontent-length: 0\r\n\r\n"
    );
    vec![Action::Send(text.into_bytes())]
}

fn answer(request: &Request) -> Vec<Action> {
    vec![Action::Send(request.response("from afar"))]
}

impl Pair {
    /// Starts them; `is_on` tells whether regions lend each other room here.
    async fn start(
        is_on: bool,
        home: Option<&Target>,
        homes: &[&str],
        script: impl Fn(&Request) -> Vec<Action> + 'static,
    ) -> Self {
        let far = Target::start(script).await;
        let mut route = route("/plans/", Kind::Idempotent, 3);
        route.homes = homes.iter().map(|home| (*home).to_owned()).collect();
        let mut view = view(vec![route], &[]);
        let mut target = known_target("target-far", far.address);
        target.report.place = Place::new(LENDER.0, LENDER.1);
        let near = home.map(|home| {
            (
                "target-0".to_owned(),
                known_target("target-0", home.address),
            )
        });
        let far_target = [("target-far".to_owned(), target)];
        view.targets = Arc::new(far_target.into_iter().chain(near).collect());
        let instances = [
            instance("edge-1", PLACE, "127.0.0.1:1"),
            instance("edge-far", LENDER, &far.address.to_string()),
        ];
        view.instances = Arc::new(instances.into_iter().collect());
        view.load_control = LoadControl {
            overflow: is_on,
            ..LoadControl::default()
        };
        let gateway = Gateway::start(view.clone()).await;
        Self { gateway, view, far }
    }

    /// Gives the gateway tokens for half a second of 100 requests per second.
    fn lend(&self) {
        let now = Instant::now();
        let before = now.checked_sub(Duration::from_millis(900)).unwrap();
        for (round, at) in [(1, before), (2, now)] {
            let grant = Grant {
                round,
                for_all: false,
                weight: 1,
                by_capacity: false,
                grants: vec![GrantEntry(key(SERVICE), key(LENDER.0), 0, 100_000, 1_000)],
            };
            let mut wallet = self.gateway.proxy.overflow.wallet.borrow_mut();
            wallet.receive(&self.view, &grant, at).unwrap();
        }
    }

    /// Sends requests one after the other; returns their statuses.
    async fn call(&self, requests: usize) -> Vec<u16> {
        let mut caller = self.gateway.connect().await;
        let mut statuses = Vec::new();
        for at in 0..requests {
            let response = caller.call(&get("/plans/1", &format!("r{at}"), "")).await;
            statuses.push(response.status);
        }
        statuses
    }

    fn count(&self, outcome: &str) -> u64 {
        let text = self.gateway.proxy.metrics.text();
        let name = format!("overflow_total{{outcome=\"{outcome}\"}} ");
        let line = text.lines().find_map(|line| line.split_once(&name));
        line.map_or(0, |(_, count)| count.parse().unwrap())
    }
}

/// Guards against a region that is given up after one rejection although it lends room.
async fn one_rejection() {
    let script = |request: &Request| match request.index {
        0 => rejection(request),
        _ => answer(request),
    };
    let pair = Pair::start(true, None, &[], script).await;
    pair.lend();
    assert_eq!(pair.call(3).await, [503, 200, 200]);
    let counts = ["sent", "rejected", "served"].map(|outcome| pair.count(outcome));
    assert_eq!(counts, [3, 1, 2]);
}

/// Guards against a region that goes on getting requests which it rejects.
async fn many_rejections() {
    let pair = Pair::start(true, None, &[], rejection).await;
    pair.lend();
    assert_eq!(pair.call(8).await, [503; 8]);
    assert_eq!(pair.far.requests().len(), 5, "a quarter of twenty");
}

/// Guards against requests that are lost or held because grants have ended or are used up.
async fn without_tokens() {
    let script = |request: &Request| match request.index {
        0 => rejection(request),
        _ => answer(request),
    };
    let pair = Pair::start(true, None, &[], script).await;
    assert_eq!(pair.call(2).await, [503, 503], "blocked after a rejection");
    assert_eq!(pair.far.requests().len(), 1);
    assert_eq!(pair.count("sent"), 0);
}

/// Guards against a changed choice where the component is off: grants that are there have no effect.
async fn off_changes_nothing() {
    for has_home in [false, true] {
        let home = Target::responding_with("from home").await;
        let home = Some(&home).filter(|_| has_home);
        let mut seen = Vec::new();
        for lends in [false, true] {
            let script = |request: &Request| match request.index {
                0 => rejection(request),
                _ => answer(request),
            };
            let pair = Pair::start(false, home, &[], script).await;
            if lends {
                pair.lend();
            }
            let statuses = pair.call(3).await;
            assert_eq!(pair.count("sent") + pair.count("no-token"), 0);
            seen.push((statuses, pair.far.requests().len()));
        }
        assert_eq!(seen[0], seen[1], "home: {has_home}");
    }
}

/// Guards against requests that leave although their own region would serve them.
async fn home_comes_first() {
    let home = Target::responding_with("from home").await;
    let pair = Pair::start(true, Some(&home), &[], answer).await;
    pair.lend();
    assert_eq!(pair.call(5).await, [200; 5]);
    assert_eq!(pair.far.requests().len(), 0);
}

/// Guards against a request bound to home regions that leaves them by a token.
async fn homes_hold() {
    let pair = Pair::start(true, None, &["patras", "volos"], answer).await;
    pair.lend();
    assert_eq!(pair.call(2).await, [503; 2]);
    assert_eq!(pair.far.requests().len(), 0);
}

/// Guards against a request that crosses a second border, and against need that counts twice.
async fn no_second_border() {
    let pair = Pair::start(true, None, &[], answer).await;
    pair.lend();
    let mut caller = crate::harness::Caller::connect(pair.gateway.forward).await;
    let response = caller
        .call(&get("/plans/1", "b", "zs-revision: 1\r\n"))
        .await;
    assert_eq!(response.status, 503);
    assert_eq!(pair.far.requests().len(), 0);
    let mut wallet = pair.gateway.proxy.overflow.wallet.borrow_mut();
    assert!(wallet.needs(Instant::now()).is_empty());
}

/// Guards against parts that work by themselves and aren't connected: two instances of two regions
/// exchange datagrams until one sends requests under the other's grant.
async fn lends_over_sockets() {
    let target = Target::start(answer).await;
    let route = route("/plans/", Kind::Idempotent, 3);
    let names = [("edge-1", PLACE), ("edge-far", LENDER)];
    let boards = names.map(|(name, place)| {
        let mut view = view(vec![route.clone()], &[]);
        let mut known = known_target("target-far", target.address);
        known.report.place = Place::new(LENDER.0, LENDER.1);
        view.targets = Arc::new([("target-far".to_owned(), known)].into_iter().collect());
        name.clone_into(&mut view.instance);
        view.place = Place::new(place.0, place.1);
        view.load_control.overflow = true;
        Shared::new(view)
    });
    let [home, far] = [&boards[0], &boards[1]].map(|board| Gateway::on(board.clone()));
    let (home, far) = (home.await, far.await);
    let pairs = names.iter().zip([&home, &far]);
    let list =
        pairs.map(|((name, place), gateway)| instance(name, *place, &gateway.forward.to_string()));
    let list = Arc::new(list.collect());
    for (board, gateway) in boards.iter().zip([&home, &far]) {
        let view = View::clone(&board.view());
        let instances = Arc::clone(&list);
        board.publish(View { instances, ..view });
        exchange(gateway).await;
    }
    let view = View::clone(&boards[0].view());
    let pair = Pair {
        gateway: home,
        view,
        far: target,
    };
    while pair.count("served") < 3 {
        assert_eq!(pair.call(1).await, [200]);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

cases! {
    instances_of_two_regions_lend_each_other_room => lends_over_sockets(),
    one_rejection_does_not_end_a_grant => one_rejection(),
    a_quarter_of_the_last_requests_rejected_pauses_a_lender => many_rejections(),
    a_request_without_tokens_is_decided_as_before => without_tokens(),
    with_the_component_off_the_choice_is_the_same => off_changes_nothing(),
    a_request_that_its_region_serves_stays => home_comes_first(),
    a_token_does_not_lead_out_of_the_homes => homes_hold(),
    a_request_from_another_region_goes_no_further => no_second_border(),
}
