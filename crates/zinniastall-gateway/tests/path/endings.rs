//! Answers without a length or chunks, and answers that are broken off: what the caller can tell.

use zinniastall_http::ending::Ending;
use zinniastall_model::routing::{Kind, Route};

use crate::{
    cases,
    harness::{Action, Request, Response, Target, get, post, route},
    quarantine::two_regions,
    streams::{all, chunk, event},
};

const EVENTS: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

fn routes() -> Vec<Route> {
    let mut resumable = route("/resumed/", Kind::Stream, 2);
    resumable.resumable = true;
    vec![
        route("/plans/", Kind::Idempotent, 2),
        route("/pay/", Kind::Once, 1),
        route("/stream/", Kind::Stream, 2),
        resumable,
    ]
}

/// Answers with a head that has some more fields, and a body.
fn answer(request: &Request, fields: &str, body: &str, end: Action) -> Vec<Action> {
    let id = request.id();
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{fields}\r\n");
    vec![Action::Send((head + body).into_bytes()), end]
}

/// Four events and the first half of the fifth.
fn torn() -> String {
    all(4) + &event(5)[..4]
}

/// Calls one instance with a target, or one that forwards to it from another region.
async fn seen(text: &str, is_far: bool, script: fn(&Request) -> Vec<Action>) -> Response {
    let target = Target::start(script).await;
    let (far, near) = two_regions(routes(), &[&target]).await;
    let gateway = if is_far { far } else { near };
    let response = gateway.connect().await.call(text).await;
    assert!(!target.requests().is_empty());
    response
}

/// Answers that are broken off, and what the caller may believe of them at most.
async fn looks_no_more_complete_than_it_is() {
    type Script = fn(&Request) -> Vec<Action>;
    let plain: Script = |request| answer(request, "", "par", Action::Close);
    let in_event: Script = |request| answer(request, EVENTS, &torn(), Action::Close);
    let in_event_chunked: Script = |request| {
        let body = chunk(&torn()) + "0\r\n\r\n";
        answer(request, CHUNKED, &body, Action::Close)
    };
    let between: Script = |request| answer(request, EVENTS, &all(4), Action::Close);
    let reset: Script = |request| answer(request, EVENTS, &all(4), Action::Reset);
    let events = all(4);
    let cases = [
        (
            "plain",
            post("/pay/1", "a", "x"),
            plain,
            Ending::Unconfirmed,
            "par",
        ),
        (
            "plain, repeatable",
            get("/plans/1", "a", ""),
            plain,
            Ending::Unconfirmed,
            "par",
        ),
        (
            "in an event",
            get("/stream/1", "a", ""),
            in_event,
            Ending::Incomplete,
            &events,
        ),
        (
            "in an event, chunked",
            get("/stream/1", "a", ""),
            in_event_chunked,
            Ending::Incomplete,
            &events,
        ),
        (
            "between events",
            get("/stream/1", "a", ""),
            between,
            Ending::Unconfirmed,
            &events,
        ),
        (
            "reset",
            get("/stream/1", "a", ""),
            reset,
            Ending::Incomplete,
            &events,
        ),
    ];
    let mut wrong = Vec::new();
    for (name, text, script, ending, body) in cases {
        let old = text.replace("HTTP/1.1", "HTTP/1.0");
        for (way, text, is_far) in [
            ("near", &text, false),
            ("far", &text, true),
            ("1.0", &old, false),
        ] {
            let response = seen(text, is_far, script).await;
            let got = (response.ending, response.body.as_str());
            if got != (ending, body) {
                wrong.push(format!("{name}, {way}: {got:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

cases! {
    /// Guards against an answer that is broken off and looks complete to its caller.
    a_broken_answer_never_looks_complete => looks_no_more_complete_than_it_is(),
}
