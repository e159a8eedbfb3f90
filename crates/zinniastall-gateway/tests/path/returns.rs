//! Returns of rejected requests: what their callers are told, and what a promise brings.

use std::{sync::Arc, time::Duration};

use tokio::time;
use zinniastall_gateway::view::View;
use zinniastall_model::routing::{Engine, Kind};
use zinniastall_wire::hub::Configuration;

use crate::{
    cases,
    harness::{Action, Gateway, Request, Target, get, route, view, wait_until},
};

/// Fields of all requests: a prompt whose prefill is expected to take 0.1 s.
const PROMPT: &str = "tokens: 4400\r\n";
/// Urgent requests that wait at the target: together longer than a less urgent one may wait, and less
/// than its objective of 1 s.
const WAITING: usize = 6;

/// Returns a view with an urgent and a less urgent route to one engine.
fn engine_view(is_on: bool, target: &Target) -> View {
    let mut routes = vec![
        route("/urgent/", Kind::Idempotent, 1),
        route("/calm/", Kind::Idempotent, 1),
    ];
    routes[1].priority = 5;
    let mut view = view(routes, &[target]);
    let mut table = view.table().cloned().unwrap();
    table.services[0].engine = Some(Engine {
        slots: 16,
        tokens: 100_000,
        stride: 1,
        token_bytes: 0,
        link_mbps: 0,
    });
    view.configuration = Some(Arc::new(Configuration {
        revision: 1,
        table: Some(table),
        evacuated: Vec::new(),
        versions: view.versions().cloned(),
    }));
    view.load_control.returns = is_on;
    view
}

/// Answers at once, except for requests that wait.
fn script(request: &Request) -> Vec<Action> {
    if request.head.contains("/wait") {
        return vec![Action::Wait(Duration::from_secs(10))];
    }
    vec![Action::Send(request.response("fine"))]
}

/// A gateway whose target is so busy that it rejects less urgent requests.
struct Busy {
    gateway: Gateway,
    target: Target,
}

impl Busy {
    async fn start(is_on: bool) -> Self {
        let target = Target::start(script).await;
        let gateway = Gateway::start(engine_view(is_on, &target)).await;
        for _ in 0..20 {
            let response = Self::call(&gateway, &get("/calm/1", "a", PROMPT)).await;
            assert_eq!(response.0, 200);
        }
        // The schedule averages the work of slots that have passed.
        time::sleep(Duration::from_millis(110)).await;
        let before = target.requests().len();
        for _ in 0..WAITING {
            let mut caller = gateway.connect().await;
            tokio::task::spawn_local(async move {
                caller.call(&get("/urgent/wait", "b", PROMPT)).await;
            });
        }
        wait_until("the target is busy", || {
            target.requests().len() == before + WAITING
        })
        .await;
        Self { gateway, target }
    }

    /// Returns the status of the answer and its retry time.
    async fn call(gateway: &Gateway, request: &str) -> (u16, String) {
        let response = gateway.connect().await.call(request).await;
        let retry_after = response.header("retry-after").to_owned();
        (response.status, retry_after)
    }

    /// Makes a less urgent request whose caller has some of its 5 s left.
    async fn calm(&self, left_ms: u64) -> (u16, String) {
        let fields = format!("{PROMPT}deadline-ms: {left_ms}\r\n");
        Self::call(&self.gateway, &get("/calm/1", "c", &fields)).await
    }

    fn counts(&self, event: &str, count: u32) -> bool {
        let line = format!("returns_total{{event=\"{event}\"}} {count}");
        self.gateway.proxy.metrics.text().contains(&line)
    }
}

/// A rejected caller returns at the time that it was promised, and is served although the target is as
/// busy as before. The promise is used up with that.
async fn a_promise_is_kept_once() {
    let busy = Busy::start(true).await;
    let (status, retry_after) = busy.calm(5_000).await;
    assert_eq!(status, 503);
    let delay = Duration::from_secs_f64(retry_after.parse().unwrap());
    assert!(delay >= Duration::from_millis(250) && delay <= Duration::from_secs(5) / 3);
    assert!(busy.counts("promised", 1));
    let left = 5_000 - u64::try_from(delay.as_millis()).unwrap();
    let (status, retry_after) = busy.calm(left).await;
    assert_eq!(status, 503, "an early return gained room");
    assert!(retry_after.parse::<f64>().unwrap() <= delay.as_secs_f64());
    assert!(busy.counts("early", 1));
    time::sleep(delay).await;
    assert_eq!(busy.calm(left).await.0, 200);
    assert!(busy.counts("kept", 1));
    assert_eq!(busy.calm(left).await.0, 503, "a promise was used twice");
    assert!(busy.counts("unknown", 1));
    assert!(busy.counts("promised", 1), "a return was promised room");
}

/// Guards against a promise by the receiver of a forwarded request, which the caller isn't connected
/// to: only the instance that it is connected to promises room.
async fn a_forwarded_request_books_nothing() {
    let busy = Busy::start(true).await;
    let fields = format!("{PROMPT}zs-revision: 1\r\n");
    let mut instance = crate::harness::Caller::connect(busy.gateway.forward).await;
    let response = instance.call(&get("/calm/1", "c", &fields)).await;
    assert_eq!(
        (response.status, response.header("retry-after")),
        (503, "0.25")
    );
    assert!(!busy.gateway.proxy.metrics.text().contains("returns_total{"));
}

/// Guards against a change of decisions while the schedule is off: retry times are those by which the
/// queue exceeds the limit, for first attempts and returns alike, and nobody is asked or promised.
async fn retry_times_are_as_before_while_off() {
    let busy = Busy::start(false).await;
    let before = busy.target.requests().len();
    assert_eq!(busy.calm(5_000).await, (503, "0.25".to_owned()));
    assert_eq!(busy.calm(4_000).await, (503, "0.25".to_owned()));
    time::sleep(Duration::from_millis(300)).await;
    assert_eq!(busy.calm(4_000).await, (503, "0.25".to_owned()));
    assert_eq!(busy.target.requests().len(), before);
    assert!(busy.gateway.proxy.returns.is_empty());
    assert!(!busy.gateway.proxy.metrics.text().contains("returns_total{"));
}

cases! {
    a_rejected_caller_returns_to_promised_room => a_promise_is_kept_once(),
    only_the_instance_of_the_caller_promises => a_forwarded_request_books_nothing(),
    the_schedule_changes_nothing_while_off => retry_times_are_as_before_while_off(),
}
