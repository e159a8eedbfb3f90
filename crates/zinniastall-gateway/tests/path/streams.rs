//! Streams: passed on event by event, broken off, resumed.

use std::time::Duration;

use zinniastall_model::routing::{Kind, Route};

use crate::{
    cases,
    harness::{Action, Gateway, Request, Target, get, route, view},
};

fn routes() -> Vec<Route> {
    let mut resumable = route("/resumed/", Kind::Stream, 2);
    resumable.resumable = true;
    vec![route("/stream/", Kind::Stream, 2), resumable]
}

pub(crate) fn head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Sends the events after `Last-Event-Id` up to `last`, and breaks off in the middle of event
/// `break_at`.
pub(crate) fn script(request: &Request, last: u32, break_at: Option<u32>) -> Vec<Action> {
    let from = request.header("last-event-id").parse().unwrap_or(0) + 1;
    let mut actions = vec![Action::Send(head(request.id()).into_bytes())];
    for id in from..=last {
        if break_at == Some(id) {
            actions.push(Action::Send(chunk(&event(id)[..4]).into_bytes()));
            actions.push(Action::Close);
            return actions;
        }
        actions.push(Action::Send(chunk(&event(id)).into_bytes()));
    }
    actions.push(Action::Send(b"0\r\n\r\n".to_vec()));
    actions
}

pub(crate) fn all(last: u32) -> String {
    (1..=last).map(event).collect()
}

async fn passes_events_on_at_once() {
    let target = Target::start(|request| {
        let first = head(request.id()) + &chunk(&event(1));
        vec![
            Action::Send(first.into_bytes()),
            Action::Wait(Duration::from_secs(2)),
            Action::Send((chunk(&event(2)) + "0\r\n\r\n").into_bytes()),
        ]
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let mut caller = gateway.connect().await;
    let since = std::time::Instant::now();
    caller.send(&get("/stream/1", "a", "")).await;
    caller.read_until("data: 1").await;
    assert!(since.elapsed() < Duration::from_secs(1));
    let response = caller.read_response().await.unwrap();
    assert!(response.is_complete());
    assert_eq!(response.body, all(2));
}

async fn truncates_a_broken_stream() {
    let target = Target::start(|request| script(request, 9, Some(4))).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/stream/1", "a", ""))
        .await;
    assert!(!response.is_complete());
    assert_eq!(response.body, all(3), "a partial event was passed on");
    assert_eq!(target.requests().len(), 1);
}

async fn resumes_elsewhere() {
    let one = Target::start(|request| {
        script(
            request,
            9,
            request.header("last-event-id").is_empty().then_some(4),
        )
    })
    .await;
    let two = Target::start(|request| {
        script(
            request,
            9,
            request.header("last-event-id").is_empty().then_some(4),
        )
    })
    .await;
    let gateway = Gateway::start(view(routes(), &[&one, &two])).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/resumed/1", "a", ""))
        .await;
    assert!(response.is_complete());
    assert_eq!(response.body, all(9));
    assert_eq!((one.requests().len(), two.requests().len()), (1, 1));
}

/// Breaks the first stream off after three events; the target that resumes it acts as `then` says.
async fn fails_to_resume(then: impl Fn(&Request) -> Vec<Action> + Clone + 'static) {
    let script = move |request: &Request| {
        if request.header("last-event-id").is_empty() {
            return script(request, 9, Some(4));
        }
        then(request)
    };
    let one = Target::start(script.clone()).await;
    let two = Target::start(script).await;
    let gateway = Gateway::start(view(routes(), &[&one, &two])).await;
    let mut caller = gateway.connect().await;
    let response = caller.call(&get("/resumed/1", "a", "")).await;
    assert!(!response.is_complete());
    assert_eq!(response.body, all(3));
    assert!(
        caller.reads_eof().await,
        "bytes of another response followed"
    );
    assert_eq!((one.requests().len(), two.requests().len()), (1, 1));
}

/// Requests a stream from targets that lose power after four events of a first run. Returns the
/// response and the number of runs.
async fn loses_power(path: &str) -> (crate::harness::Response, usize) {
    let script = |request: &Request| {
        if !request.header("last-event-id").is_empty() {
            return script(request, 9, None);
        }
        let mut actions = script(request, 4, None);
        actions.pop();
        actions.push(Action::PowerLoss);
        actions
    };
    let (one, two) = (
        Target::with_short_backlog(script),
        Target::with_short_backlog(script),
    );
    let mut routes = routes();
    routes[0].timeout_ms = 4_000;
    let gateway = Gateway::start(view(routes, &[&one, &two])).await;
    let response = gateway.connect().await.call(&get(path, "a", "")).await;
    (response, one.requests().len() + two.requests().len())
}

async fn resumes_after_power_loss() {
    let since = std::time::Instant::now();
    let (response, runs) = loses_power("/resumed/1").await;
    assert!(response.is_complete());
    assert_eq!((response.body, runs), (all(9), 2));
    assert!(since.elapsed() < Duration::from_secs(3));
}

async fn runs_once_despite_power_loss() {
    let (response, runs) = loses_power("/stream/1").await;
    assert!(!response.is_complete());
    assert_eq!((response.body, runs), (all(4), 1));
}

async fn waits_for_a_reachable_target() {
    let target = Target::start(|request| {
        let mut actions = script(request, 4, None);
        actions.insert(3, Action::Wait(Duration::from_secs(2)));
        actions
    })
    .await;
    let other = Target::start(|request| script(request, 4, None)).await;
    let gateway = Gateway::start(view(routes(), &[&target, &other])).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/resumed/1", "a", ""))
        .await;
    assert!(response.is_complete());
    assert_eq!(response.body, all(4));
    assert_eq!(target.requests().len() + other.requests().len(), 1);
}

async fn part_of_a_long_event_is_not_resumed() {
    let long = chunk(&format!("id: 4\ndata: {}", "x".repeat(300 << 10)));
    let script = move |request: &Request| {
        if !request.header("last-event-id").is_empty() {
            return script(request, 9, None);
        }
        let mut actions = script(request, 3, None);
        actions.pop();
        actions.push(Action::Send(long.clone().into_bytes()));
        actions.push(Action::Close);
        actions
    };
    let one = Target::start(script.clone()).await;
    let two = Target::start(script).await;
    let gateway = Gateway::start(view(routes(), &[&one, &two])).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/resumed/1", "a", ""))
        .await;
    assert!(
        !response.body.contains("xid:"),
        "an event was made of two halves"
    );
    assert!(!response.is_complete());
    assert_eq!(one.requests().len() + two.requests().len(), 1);
}

async fn starts_after_the_named_event() {
    let target = Target::start(|request| script(request, 5, None)).await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let text = get("/resumed/1", "a", "Last-Event-Id: 3\r\n");
    let response = gateway.connect().await.call(&text).await;
    assert_eq!(response.body, event(4) + &event(5));
}

async fn outcome_is_unknown_before_the_first_event() {
    let target =
        Target::start(|request| vec![Action::Send(head(request.id()).into_bytes()), Action::Close])
            .await;
    let gateway = Gateway::start(view(routes(), &[&target])).await;
    let response = gateway
        .connect()
        .await
        .call(&get("/stream/1", "a", ""))
        .await;
    assert_eq!(response.status, 502);
    assert_eq!(target.requests().len(), 1);
}

async fn ends_at_the_route_timeout() {
    let mut routes = routes();
    routes[0].timeout_ms = 300;
    let target = Target::start(|request| {
        let first = head(request.id()) + &chunk(&event(1));
        vec![
            Action::Send(first.into_bytes()),
            Action::Wait(Duration::from_secs(15)),
        ]
    })
    .await;
    let gateway = Gateway::start(view(routes, &[&target])).await;
    let since = std::time::Instant::now();
    let response = gateway
        .connect()
        .await
        .call(&get("/stream/1", "a", ""))
        .await;
    assert!(!response.is_complete());
    assert!(since.elapsed() < Duration::from_millis(800));
    crate::harness::wait_until("the target's connection closes", || target.closed() == 1).await;
}

cases! {
    /// Events are not held back: a caller shows each one as it is produced.
    events_arrive_as_they_are_produced => passes_events_on_at_once(),
    /// An engine crashes in the middle of a stream that must not run twice. The caller must see
    /// that the stream is broken, and no partial event.
    a_broken_stream_never_looks_complete => truncates_a_broken_stream(),
    /// An engine crashes in the middle of an event of a resumable stream. The caller reads one
    /// stream, complete and without a duplicate event.
    a_broken_stream_resumes_at_another_target => resumes_elsewhere(),
    /// An engine's machine loses power: its connections stay open and nothing arrives any more. The
    /// caller would wait for the rest until its deadline, although another engine can resume the
    /// stream.
    a_stream_resumes_after_its_target_loses_power => resumes_after_power_loss(),
    /// The same for a stream that may run only once. What the engine did is unknown, so the request
    /// is not sent again.
    a_stream_that_may_run_once_is_not_rerun_after_a_power_loss => runs_once_despite_power_loss(),
    /// An engine prefills long prompts and sends nothing for two seconds. It can be reached, and a
    /// second run elsewhere would cost as much again and come later.
    a_silent_but_reachable_target_keeps_its_stream => waits_for_a_reachable_target(),
    /// The target that should resume a broken stream fails. Written after the events that the
    /// caller has, its response would be garbage in the middle of a stream.
    a_failure_never_follows_a_begun_stream => fails_to_resume(|request| {
        vec![Action::Send(crate::harness::response(500, request.id(), "broke"))]
    }),
    /// The target that should resume a broken stream responds with something that is no stream.
    another_response_never_follows_a_begun_stream => fails_to_resume(|request| {
        vec![Action::Send(crate::harness::response(404, request.id(), "what stream?"))]
    }),
    /// The target that should resume a broken stream closes without a response.
    a_refusal_never_follows_a_begun_stream => fails_to_resume(|_| vec![Action::Close]),
    /// An engine crashes in the middle of an event that is too long to be buffered as a whole. If
    /// the stream resumed after the event before, the caller would read one event made of parts of
    /// two runs.
    a_long_event_that_is_broken_off_ends_the_stream => part_of_a_long_event_is_not_resumed(),
    /// A caller resumes a stream itself.
    a_stream_starts_after_the_named_event => starts_after_the_named_event(),
    /// An engine crashes after its head and before the first event: the run may have begun.
    a_stream_cut_before_its_first_event_is_unknown => outcome_is_unknown_before_the_first_event(),
    /// A stream runs beyond its route's timeout. The caller's stream then ends, and the connection
    /// to the engine closes.
    a_stream_ends_with_its_routes_time => ends_at_the_route_timeout(),
}
