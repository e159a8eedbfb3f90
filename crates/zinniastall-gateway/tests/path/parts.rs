//! Prompt parts that crash the targets that run them, whatever else a prompt holds.

use crate::{
    cases,
    harness::{Action, Gateway, Request, Response, Target, post, route, view},
};
use zinniastall_model::{
    fingerprint::MAX_PARTS,
    routing::{Kind, Route},
};

/// Part of a prompt that crashes any target that runs a request with it.
const POISON: &str = "bad0";
/// Part that all requests share.
const FIRST: &str = "f0";
/// Targets that one part may crash if its requests come one after the other.
const MAX_CRASHES: usize = 3;

fn routes() -> Vec<Route> {
    let mut stream = route("/stream/", Kind::Stream, 3);
    stream.resumable = true;
    vec![
        route("/plans/", Kind::Idempotent, 3),
        route("/pay/", Kind::Once, 1),
        stream,
    ]
}

/// Starts targets that crash when they run a request with the poisonous part.
async fn targets(count: usize) -> Vec<Target> {
    let mut targets = Vec::new();
    for _ in 0..count {
        let script = |request: &Request| {
            if request.header("prompt-parts").contains(POISON) {
                return vec![Action::Crash];
            }
            vec![Action::Send(request.response("fine"))]
        };
        targets.push(Target::start(script).await);
    }
    targets
}

/// Returns the number of targets that have run a request with the poisonous part.
fn crash_count(targets: &[Target]) -> usize {
    let ran = |target: &&Target| {
        let requests = target.requests();
        requests
            .iter()
            .any(|request| request.header("prompt-parts").contains(POISON))
    };
    targets.iter().filter(ran).count()
}

/// Sends a request whose body and last part no other request has.
async fn send(gateway: &Gateway, path: &str, id: &str, shared: &[&str]) -> Response {
    let parts: Vec<String> = shared.iter().map(|part| format!("{part}:10,")).collect();
    let field = format!("prompt-parts: {}own-{id}:5\r\n\r\n", parts.concat());
    let request = post(path, id, id).replacen("\r\n\r\n", &format!("\r\n{field}"), 1);
    gateway.connect().await.call(&request).await
}

/// Requests with the poisonous part come one after the other, no two alike, between sound ones.
async fn crashes_three_at_most(path: &'static str, poison: &'static [&'static str]) {
    let targets = targets(9).await;
    let known: Vec<&Target> = targets.iter().collect();
    let gateway = Gateway::start(view(routes(), &known)).await;
    let mut last = None;
    for at in 0..9 {
        last = Some(send(&gateway, path, &format!("p{at}"), poison).await);
        let sound = send(&gateway, "/plans/1", &format!("o{at}"), &[FIRST, "s1"]).await;
        assert_eq!((sound.status, sound.body.as_str()), (200, "fine"));
    }
    assert_eq!(crash_count(&targets), MAX_CRASHES);
    let last = last.unwrap();
    assert_eq!((last.status, last.header("retry-after")), (400, ""));
    assert!(last.body.contains("quarantined"), "{}", last.body);
}

/// Requests crash their targets by what is theirs alone: none of their shared parts is rejected.
async fn keeps_shared_parts() {
    let mut targets = Vec::new();
    for _ in 0..9 {
        let script = |request: &Request| {
            if request.header("prompt-parts").contains("own-bad") {
                return vec![Action::Crash];
            }
            vec![Action::Send(request.response("fine"))]
        };
        targets.push(Target::start(script).await);
    }
    let known: Vec<&Target> = targets.iter().collect();
    let gateway = Gateway::start(view(routes(), &known)).await;
    for at in 0..3 {
        send(&gateway, "/pay/1", &format!("bad{at}"), &[FIRST, "s1"]).await;
        let sound = send(&gateway, "/pay/1", &format!("o{at}"), &[FIRST, "s1"]).await;
        assert_eq!(sound.status, 200, "{}", sound.body);
    }
    assert_eq!(gateway.proxy.suspects.borrow().quarantined(), 0);
}

/// The poisonous part always comes with the same other one, which a sound request has as well.
async fn keeps_companions() {
    let targets = targets(9).await;
    let known: Vec<&Target> = targets.iter().collect();
    let gateway = Gateway::start(view(routes(), &known)).await;
    let mut last = 0;
    for at in 0..6 {
        let poison = send(&gateway, "/pay/1", &format!("p{at}"), &[POISON, "s1"]).await;
        last = poison.status;
    }
    assert_eq!((last, crash_count(&targets)), (400, MAX_CRASHES));
    for at in 0..2 {
        let sound = send(&gateway, "/pay/1", &format!("o{at}"), &["s1"]).await;
        assert_eq!(sound.status, 200, "{}", sound.body);
    }
    let poison = send(&gateway, "/pay/1", "q", &[POISON, "s1"]).await;
    assert_eq!(poison.status, 400);
    let poison = send(&gateway, "/pay/1", "r", &[POISON]).await;
    assert_eq!((poison.status, crash_count(&targets)), (400, MAX_CRASHES));
}

/// Targets crash under two poisonous parts before a further request with the part that all share finishes.
async fn keeps_the_part_that_two_share() {
    let targets = targets(9).await;
    let known: Vec<&Target> = targets.iter().collect();
    let gateway = Gateway::start(view(routes(), &known)).await;
    let sound = send(&gateway, "/pay/1", "o0", &[FIRST, "s1"]).await;
    assert_eq!(sound.status, 200);
    for (at, other) in ["bad0a", "bad0a", "bad0b"].iter().enumerate() {
        send(&gateway, "/pay/1", &format!("p{at}"), &[FIRST, other]).await;
    }
    assert_eq!(crash_count(&targets), 3);
    for at in 1..3 {
        let sound = send(&gateway, "/pay/1", &format!("o{at}"), &[FIRST, "s2"]).await;
        assert_eq!(sound.status, 200, "{}", sound.body);
    }
    for at in 3..9 {
        let other = ["bad0a", "bad0b"][at % 2];
        send(&gateway, "/pay/1", &format!("p{at}"), &[FIRST, other]).await;
        let sound = send(&gateway, "/pay/1", &format!("q{at}"), &[FIRST, "s2"]).await;
        assert_eq!(sound.status, 200, "{}", sound.body);
    }
    assert_eq!(crash_count(&targets), 2 * MAX_CRASHES);
}

/// The part is written in other ways, between others, and behind more than are told apart.
async fn knows_the_part(other: Vec<String>) {
    let targets = targets(9).await;
    let known: Vec<&Target> = targets.iter().collect();
    let gateway = Gateway::start(view(routes(), &known)).await;
    for at in 0..4 {
        send(&gateway, "/pay/1", &format!("p{at}"), &[FIRST, POISON]).await;
        send(&gateway, "/pay/1", &format!("o{at}"), &[FIRST]).await;
    }
    assert_eq!(crash_count(&targets), MAX_CRASHES);
    let other: Vec<&str> = other.iter().map(String::as_str).collect();
    let response = send(&gateway, "/pay/1", "q", &other).await;
    assert_eq!(response.status, 400);
    assert!(response.body.contains("prompt-part-quarantined"));
}

/// More parts than are told apart come before the last one; all that are too many are one part.
async fn bounds_parts() {
    let targets = targets(2).await;
    let known: Vec<&Target> = targets.iter().collect();
    let gateway = Gateway::start(view(routes(), &known)).await;
    let parts: Vec<String> = (0..300).map(|part| format!("{part:x}")).collect();
    let mut parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    parts.push(POISON);
    send(&gateway, "/pay/1", "p", &parts).await;
    let suspects = gateway.proxy.suspects.borrow();
    assert_eq!(suspects.known().len(), 1 + MAX_PARTS + 1);
}

cases! {
    /// Guards against a part of prompts that crashes one target after the other, because no two
    /// requests with it are alike.
    a_part_that_crashes_targets_crashes_three_at_most =>
        crashes_three_at_most("/plans/1", &[FIRST, POISON, "s1"]),
    a_first_part_crashes_three_at_most => crashes_three_at_most("/plans/1", &[POISON, "s1"]),
    a_last_shared_part_crashes_three_at_most => crashes_three_at_most("/plans/1", &[FIRST, POISON]),
    a_part_of_requests_that_may_run_once_crashes_three_at_most =>
        crashes_three_at_most("/pay/1", &[FIRST, POISON, "s1"]),
    a_part_of_streams_crashes_three_at_most =>
        crashes_three_at_most("/stream/1", &[FIRST, POISON, "s1"]),
    /// Guards against rejecting what many requests share, because each of some crashes by itself.
    parts_of_requests_that_crash_by_themselves_are_not_rejected => keeps_shared_parts(),
    /// Guards against rejecting a part because it always came with the poisonous one.
    a_companion_is_not_rejected => keeps_companions(),
    /// Guards against rejecting what all requests share, because two poisonous parts came with it.
    a_part_that_two_share_is_not_rejected => keeps_the_part_that_two_share(),
    /// Guards against a part that is run again because it is written in another way.
    a_part_is_compared_without_case => knows_the_part(vec!["BAD0".to_owned()]),
    a_part_is_compared_without_spaces => knows_the_part(vec![" bad0 ".to_owned()]),
    a_part_with_a_wrong_count_is_known => knows_the_part(vec!["bad0:x".to_owned()]),
    a_part_that_stands_twice_is_known => knows_the_part(vec![POISON.to_owned(), POISON.to_owned()]),
    /// Guards against a request with hundreds of parts that fills the table of suspects.
    parts_of_a_request_are_bounded => bounds_parts(),
}
