//! Requests that crash the targets that run them.

use zinniastall_model::routing::{Kind, Route};

use crate::{
    cases,
    stage::{Act, Got, Seen, Stage, Target, post, route, view},
};

/// Body of a request that crashes whoever runs it.
const POISON: &str = "poison";
/// Targets that one request may take down.
const LIMIT: usize = 3;

fn routes() -> Vec<Route> {
    let mut stream = route("/stream/", Kind::Stream, 3);
    stream.resumable = true;
    vec![
        route("/plans/", Kind::Idempotent, 3),
        route("/pay/", Kind::Once, 1),
        stream,
    ]
}

fn crashes_on_poison(seen: &Seen) -> Vec<Act> {
    if seen.body == POISON.as_bytes() {
        return vec![Act::Crash];
    }
    vec![Act::Send(seen.answer("fine"))]
}

/// Targets that crash under the poison.
async fn targets(count: usize) -> Vec<Target> {
    let mut targets = Vec::new();
    for _ in 0..count {
        targets.push(Target::start(crashes_on_poison).await);
    }
    targets
}

/// Returns how many targets have run the poison.
fn crashed(targets: &[Target]) -> usize {
    let ran = |target: &&Target| {
        let seen = target.seen();
        seen.iter().any(|seen| seen.body == POISON.as_bytes())
    };
    targets.iter().filter(ran).count()
}

async fn ask(stage: &Stage, path: &str, id: &str, body: &str) -> Got {
    stage.connect().await.call(&post(path, id, body)).await
}

/// A caller sends the poison again and again, each time on a connection and under an id of its own.
async fn ends_three_at_most(path: &'static str) {
    let targets = targets(9).await;
    let known: Vec<&Target> = targets.iter().collect();
    let stage = Stage::start(view(routes(), &known)).await;
    let mut last = None;
    for at in 0..9 {
        last = Some(ask(&stage, path, &format!("p{at}"), POISON).await);
        let other = ask(&stage, "/plans/1", &format!("o{at}"), "x").await;
        assert_eq!((other.status, other.body.as_str()), (200, "fine"));
    }
    assert_eq!(crashed(&targets), LIMIT);
    let last = last.unwrap();
    assert_eq!((last.status, last.header("retry-after")), (400, ""));
    assert!(last.body.contains("quarantined"), "{}", last.body);
}

cases! {
    /// A request takes down one target after the other, and the service with them.
    a_request_that_crashes_targets_ends_three_at_most => ends_three_at_most("/plans/1"),
    a_request_that_may_run_once_ends_three_at_most => ends_three_at_most("/pay/1"),
    a_stream_that_may_be_resumed_ends_three_at_most => ends_three_at_most("/stream/1"),
}
