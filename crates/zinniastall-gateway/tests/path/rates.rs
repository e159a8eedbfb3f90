//! Targets that name the rate which they take from all instances together.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::time;
use zinniastall_gateway::view::View;
use zinniastall_model::routing::{Kind, Route};

use crate::{
    cases,
    harness::{
        Action, Gateway, Request, Response, Target, instance, known_target, post, route, run, view,
    },
};

/// Length of the spans in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Requests in a span beyond what the rate gives.
const SPAN_SLACK: f64 = 2.0;
/// Time within which a request is rejected that can't be served. Its deadline is much later.
const AT_ONCE: Duration = Duration::from_millis(700);

/// Value of the field in a target's answers; tests change it.
type Named = Rc<RefCell<Option<String>>>;

fn named(value: &str) -> Named {
    Rc::new(RefCell::new(Some(value.to_owned())))
}

fn routes() -> Vec<Route> {
    let mut plans = route("/plans/", Kind::Idempotent, 2);
    plans.objective_ms = 500;
    vec![plans]
}

fn response(request: &Request, status: &str, named: &Named) -> Vec<u8> {
    let named = named.borrow();
    let field = named
        .as_ref()
        .map(|value| format!("rate-limit: {value}\r\n"));
    format!(
        "HTTP/1.1 {status} Some\r\nrequest-id: {}\r\nsigned: yes\r\n{}content-length: 2\r\n\r\nok",
        request.id(),
        field.unwrap_or_default()
    )
    .into_bytes()
}

/// Arrivals at a target.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

async fn target(named: &Named, arrivals: &Arrivals) -> Target {
    let (named, arrivals) = (Rc::clone(named), Rc::clone(arrivals));
    Target::start(move |request| {
        arrivals.borrow_mut().push(Instant::now());
        vec![Action::Send(response(request, "200", &named))]
    })
    .await
}

fn most_in_span(arrivals: &Arrivals, since: Instant) -> f64 {
    let arrivals = arrivals.borrow();
    let after = arrivals.iter().filter(|at| **at >= since);
    let count = |from: &Instant| {
        let within = |at: &&Instant| (*from..*from + SPAN).contains(*at);
        arrivals.iter().filter(within).count()
    };
    let most = after.map(count).max().unwrap_or(0);
    f64::from(u32::try_from(most).unwrap())
}

async fn get(gateway: &Gateway, id: &str) -> Response {
    gateway
        .connect()
        .await
        .call(&post("/plans/1", id, "body"))
        .await
}

/// Sends requests without a pause for a time, over several connections; returns the statuses with
/// the time that each answer took and its `Retry-After` in seconds.
async fn load(
    gateway: &Gateway,
    connections: usize,
    length: Duration,
) -> Vec<(u16, Duration, f64)> {
    let end = Instant::now() + length;
    let caller = async |number: usize| {
        let mut caller = gateway.connect().await;
        let mut answers = Vec::new();
        while Instant::now() < end {
            let sent = Instant::now();
            let id = format!("r{number}-{}", answers.len());
            let answer = caller.call(&post("/plans/1", &id, "body")).await;
            let after = answer.header("retry-after").parse().unwrap_or(0.0);
            answers.push((answer.status, sent.elapsed(), after));
            time::sleep(Duration::from_millis(3)).await;
        }
        answers
    };
    let callers = (0..connections).map(caller);
    futures_util::future::join_all(callers).await.concat()
}

/// All targets name a rate: it is used up, no more is sent, and the rest is rejected at once with the
/// time of a permit.
async fn uses_the_rate(rate: f64) {
    let (named, arrivals) = (named(&rate.to_string()), Arrivals::default());
    let target = target(&named, &arrivals).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    assert_eq!(get(&gateway, "first").await.status, 200);
    let since = Instant::now() + Duration::from_millis(500);
    let answers = load(&gateway, 24, Duration::from_secs(6)).await;
    let most = most_in_span(&arrivals, since);
    let permitted = rate * SPAN.as_secs_f64() + SPAN_SLACK;
    assert!(most <= permitted, "{most}, permitted {permitted}");
    let end = since + Duration::from_secs(5);
    let used = arrivals
        .borrow()
        .iter()
        .filter(|at| (since..end).contains(*at))
        .count();
    let used = f64::from(u32::try_from(used).unwrap()) / 5.0;
    assert!(used >= 0.9 * rate - 0.2, "{used} a second of {rate}");
    let rejected = answers.iter().filter(|(status, ..)| *status == 503);
    for (_, took, after) in rejected.clone() {
        assert!(*took < AT_ONCE, "rejected after {took:?}");
        assert!(
            (0.2..=1.0 / rate + 1.0).contains(after),
            "{after} s at {rate} a second"
        );
    }
    assert!(rejected.count() > 0);
    assert!(
        answers
            .iter()
            .all(|(status, ..)| [200, 503].contains(status))
    );
}

/// A target names a rate and another one does not: every request is served, and the field is passed
/// on as it came.
async fn serves_from_others() {
    let (limited, free) = (named("1"), Named::default());
    let (at_limited, at_free) = (Arrivals::default(), Arrivals::default());
    let targets = [
        target(&limited, &at_limited).await,
        target(&free, &at_free).await,
    ];
    let gateway = Gateway::start(view(routes(), &[&targets[0], &targets[1]])).await;
    wait_until_named(&gateway).await;
    let since = Instant::now();
    let answers = load(&gateway, 4, Duration::from_secs(5)).await;
    assert!(answers.iter().all(|(status, ..)| *status == 200));
    let most = most_in_span(&at_limited, since);
    assert!(most <= 4.0 + SPAN_SLACK, "{most} in {SPAN:?}");
}

/// Sends requests until an answer names a rate, as its target wrote it.
async fn wait_until_named(gateway: &Gateway) {
    let mut number = 0;
    loop {
        number += 1;
        let answer = get(gateway, &format!("n{number}")).await;
        if !answer.header("rate-limit").is_empty() {
            return;
        }
    }
}

/// The target names no rate any more, and gets its share again within two seconds.
async fn returns_after_the_limit() {
    let (limited, free) = (named("0.5"), Named::default());
    let (at_limited, at_free) = (Arrivals::default(), Arrivals::default());
    let targets = [
        target(&limited, &at_limited).await,
        target(&free, &at_free).await,
    ];
    let gateway = Gateway::start(view(routes(), &[&targets[0], &targets[1]])).await;
    wait_until_named(&gateway).await;
    load(&gateway, 4, Duration::from_secs(1)).await;
    limited.borrow_mut().take();
    // Only an answer of the target tells that it takes requests again.
    let before = at_limited.borrow().len();
    load(&gateway, 4, Duration::from_secs(3)).await;
    assert!(at_limited.borrow().len() > before, "never tried again");
    load(&gateway, 4, Duration::from_secs(2)).await;
    let (again, beside) = (at_limited.borrow().len(), at_free.borrow().len());
    load(&gateway, 4, Duration::from_secs(1)).await;
    let (again, beside) = (
        at_limited.borrow().len() - again,
        at_free.borrow().len() - beside,
    );
    assert!(again * 4 > beside, "{again} beside {beside}");
}

/// What a target names is no rate: the answer is delivered as it came, and the target isn't limited.
async fn ignores(value: String) {
    let (named, arrivals) = (named(&value), Arrivals::default());
    let target = target(&named, &arrivals).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    for number in 0..20 {
        let answer = get(&gateway, &format!("r{number}")).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("rate-limit"), value.trim());
        assert_eq!(answer.body, "ok");
    }
    assert!(gateway.proxy.rates.limits().borrow().is_empty());
}

/// A target that rejects requests names its rate in the rejections.
async fn reads_rejections(status: &'static str, field: &'static str) {
    let arrivals = Arrivals::default();
    let at_target = Rc::clone(&arrivals);
    let target = Target::start(move |request| {
        at_target.borrow_mut().push(Instant::now());
        let head = format!(
            "HTTP/1.1 {status} Some\r\nrequest-id: {}\r\n{field}rate-limit: 1\r\ncontent-length: 0\r\n\r\n",
            request.id()
        );
        vec![Action::Send(head.into_bytes())]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    get(&gateway, "r").await;
    let since = Instant::now();
    load(&gateway, 4, Duration::from_secs(5)).await;
    let most = most_in_span(&arrivals, since);
    assert!(most <= 4.0 + SPAN_SLACK, "{most} in {SPAN:?}");
}

/// A target does not repeat the ids of requests in its answers.
async fn reads_answers_without_ids() {
    let target = Target::start(|_| {
        let head = "HTTP/1.1 200 Some\r\nrate-limit: 1\r\ncontent-length: 0\r\n\r\n";
        vec![Action::Send(head.as_bytes().to_vec())]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    get(&gateway, "r").await;
    assert!(!gateway.proxy.rates.limits().borrow().is_empty());
}

/// Another target has taken over the address and names a rate of its own in its refusal.
async fn ignores_another_target() {
    let target = Target::start(|request| {
        let head = format!(
            "HTTP/1.1 421 Some\r\nrequest-id: {}\r\nrate-limit: 1\r\ncontent-length: 0\r\n\r\n",
            request.id()
        );
        vec![Action::Send(head.into_bytes())]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    get(&gateway, "r").await;
    assert!(gateway.proxy.rates.limits().borrow().is_empty());
}

/// A caller's own field says nothing of a target.
async fn ignores_callers() {
    let (named, arrivals) = (Named::default(), Arrivals::default());
    let target = target(&named, &arrivals).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let request = post("/plans/1", "r", "body");
    let request = request.replacen("\r\n", "\r\nrate-limit: 1\r\n", 1);
    let answer = gateway.connect().await.call(&request).await;
    assert_eq!(answer.status, 200);
    assert!(gateway.proxy.rates.limits().borrow().is_empty());
}

fn two_instances(target: &Target) -> View {
    let mut view = view(routes(), &[target]);
    let place = crate::harness::PLACE;
    let instances = [
        instance("edge-1", place, "127.0.0.1:1"),
        instance("edge-2", place, "127.0.0.1:1"),
    ];
    view.instances = std::sync::Arc::new(instances.into_iter().collect());
    view
}

/// The coordinator of a target is gone and doesn't answer: nothing is sent to the target without a
/// permit, and requests are rejected at once.
async fn sends_nothing_without_the_coordinator() {
    let (named, arrivals) = (named("5"), Arrivals::default());
    let target = target(&named, &arrivals).await;
    let mut view = two_instances(&target);
    let others = |name: &String| {
        let instances = view.instances.by_name().keys();
        zinniastall_coord::rendezvous::choose(name, instances).is_some_and(|name| name == "edge-2")
    };
    let name = (0..1_000)
        .map(|number| format!("t{number}"))
        .find(others)
        .unwrap();
    let known = (name.clone(), known_target(&name, target.address));
    view.targets = std::sync::Arc::new([known].into_iter().collect());
    let gateway = Gateway::start(view).await;
    assert_eq!(get(&gateway, "first").await.status, 200);
    let answers = load(&gateway, 2, Duration::from_secs(1)).await;
    assert_eq!(arrivals.borrow().len(), 1);
    assert!(
        answers
            .iter()
            .all(|(status, took, _)| *status == 503 && *took < AT_ONCE)
    );
}

cases! {
    /// Guards against a low rate that is exceeded, unused or waited for in vain.
    a_target_with_a_low_rate_is_used_at_it => uses_the_rate(2.0),
    /// Guards against a high rate that is exceeded, unused or waited for in vain.
    a_target_with_a_high_rate_is_used_at_it => uses_the_rate(60.0),
    /// Guards against requests that wait for a limited target while another one is free.
    other_targets_serve_what_a_limited_one_does_not => serves_from_others(),
    /// Guards against a target that stays out of use after its limit has ended.
    a_target_gets_its_share_again_after_its_limit => returns_after_the_limit(),
    /// Guards against a limit that is named in rejections and not read there.
    a_rate_in_a_refusal_counts => reads_rejections("503", "not-run: 1\r\n"),
    /// Guards against a limit that is named in failures and not read there.
    a_rate_in_a_failure_counts => reads_rejections("500", ""),
    /// Guards against a limit that is not read because the answer does not repeat the request's id.
    a_rate_in_an_answer_without_id_counts => reads_answers_without_ids(),
    /// Guards against a limit that is taken for that of the target which had the address before.
    a_rate_of_another_target_does_not_count => ignores_another_target(),
    /// Guards against callers that limit a target.
    a_rate_in_a_request_does_not_count => ignores_callers(),
    /// Guards against requests beyond the rate while nobody issues permits.
    nothing_is_sent_without_a_permit => sends_nothing_without_the_coordinator(),
}

macro_rules! no_rates {
    ($($name:ident: $value:expr;)*) => {$(
        /// Guards against an answer that is lost, or a target that is left alone, because of a field
        /// that can't be read.
        #[test]
        fn $name() {
            run(ignores($value.to_owned()));
        }
    )*};
}

no_rates! {
    an_empty_rate_is_ignored: "";
    a_negative_rate_is_ignored: "-1";
    a_rate_that_is_not_a_number_is_ignored: "NaN";
    an_infinite_rate_is_ignored: "1e999";
    a_rate_with_a_comma_is_ignored: "2,5";
    a_long_rate_is_ignored: "7".repeat(10_240);
}
