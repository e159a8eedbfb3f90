//! Learned speed and memory of engines on the request path.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use zinniastall_gateway::{
    decide::{capacity::Run, memory::Footprint},
    view::View,
};
use zinniastall_model::routing::{Engine, Kind};

use crate::{
    cases,
    harness::{Action, Gateway, Request, SERVICE, Target, get, route, view},
    streams,
};

/// Memory of an engine in tokens.
const TOKENS: u64 = 10_000;
/// Time between two events.
const GAP: Duration = Duration::from_millis(30);
const FIELDS: &str = "tokens: 800,100\r\nprompt-parts: own:800\r\n";

fn script(request: &Request) -> Vec<Action> {
    let mut actions = vec![Action::Send(streams::head(request.id()).into_bytes())];
    for id in 1..=15 {
        actions.push(Action::Wait(GAP));
        let event = streams::chunk(&streams::event(id));
        actions.push(Action::Send(event.into_bytes()));
    }
    actions.push(Action::Send(b"0\r\n\r\n".to_vec()));
    actions
}

/// Returns a view with engines; `is_on` tells whether they are learned.
fn engines(targets: &[&Target], is_on: bool) -> View {
    let mut view = view(vec![route("/stream/", Kind::Stream, 1)], targets);
    view.load_control.capacity = is_on;
    let configuration = Arc::get_mut(view.configuration.as_mut().unwrap()).unwrap();
    let table = configuration.table.as_mut().unwrap();
    table.services[0].engine = Some(Engine {
        slots: 4,
        tokens: TOKENS,
        stride: 7,
        ..Engine::default()
    });
    view
}

async fn call(gateway: &Gateway, id: &str, fields: &str) -> u16 {
    let mut caller = gateway.connect().await;
    caller.call(&get("/stream/1", id, fields)).await.status
}

/// Counts requests at the first engine that leave no memory for another.
fn fill_memory(gateway: &Gateway) {
    let footprint = Footprint::new(Vec::new(), TOKENS, Some(0));
    let memory = &mut gateway.proxy.tracker.borrow_mut().memory;
    memory.start("target-0", SERVICE, &footprint);
}

async fn sent(is_on: bool) -> (usize, usize) {
    let targets = (
        Target::start(|request| vec![Action::Send(request.response(""))]).await,
        Target::start(|request| vec![Action::Send(request.response(""))]).await,
    );
    let gateway = Gateway::start(engines(&[&targets.0, &targets.1], is_on)).await;
    fill_memory(&gateway);
    for at in 0..24 {
        assert_eq!(call(&gateway, &format!("q{at}"), FIELDS).await, 200);
    }
    (targets.0.requests().len(), targets.1.requests().len())
}

async fn an_engine_without_memory_gets_nothing() {
    assert_eq!(sent(true).await, (0, 24));
}

async fn memory_is_no_matter_while_it_is_off() {
    let (full, _) = sent(false).await;
    assert!(full > 0);
}

async fn is_learned_and_returns_to_zero() {
    for is_on in [true, false] {
        let target = Target::start(script).await;
        let gateway = Gateway::start(engines(&[&target], is_on)).await;
        assert_eq!(call(&gateway, "q1", FIELDS).await, 200);
        let tracker = &mut gateway.proxy.tracker.borrow_mut();
        assert_eq!(tracker.memory.own("target-0"), 0);
        let run = Run {
            target: "target-0",
            service: SERVICE,
            incarnation: 1,
        };
        let figures = tracker.capacity.figures(run, Instant::now());
        if is_on {
            assert!(
                figures.gap >= GAP && figures.high_gap >= GAP.mul_f64(0.9),
                "{figures:?}"
            );
        } else {
            assert_eq!(figures.age, None);
        }
    }
}

async fn a_request_larger_than_any_memory_is_rejected_at_once() {
    let target = Target::start(script).await;
    let gateway = Gateway::start(engines(&[&target], true)).await;
    let since = Instant::now();
    let fields = "tokens: 9950,100\r\nprompt-parts: own:9950\r\n";
    assert_eq!(call(&gateway, "q1", fields).await, 503);
    assert!(since.elapsed() < Duration::from_millis(500));
    assert!(target.requests().is_empty());
}

async fn a_request_is_held_until_memory_is_free() {
    let target = Target::start(script).await;
    let gateway = Gateway::start(engines(&[&target], true)).await;
    fill_memory(&gateway);
    let freed = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let footprint = Footprint::new(Vec::new(), TOKENS, Some(0));
        let memory = &mut gateway.proxy.tracker.borrow_mut().memory;
        memory.end("target-0", &footprint);
    };
    let (status, ()) = tokio::join!(call(&gateway, "q1", FIELDS), freed);
    assert_eq!(status, 200);
}

cases! {
    /// Guards against a request that makes its engine preempt others, while another has room.
    a_full_memory_is_avoided => an_engine_without_memory_gets_nothing(),
    /// Guards against a part that is switched off and still changes where requests go.
    nothing_changes_while_capacity_is_off => memory_is_no_matter_while_it_is_off(),
    /// Guards against engines that nothing is learned of, and tokens that are counted for ever.
    a_stream_is_observed => is_learned_and_returns_to_zero(),
    /// Guards against a request that is held or sent although no engine can hold it.
    a_request_too_large_is_rejected => a_request_larger_than_any_memory_is_rejected_at_once(),
    /// Guards against rejections while memory comes free within moments.
    a_request_waits_for_memory => a_request_is_held_until_memory_is_free(),
}
