//! Streams: passed on event by event, broken off, resumed.

use std::time::Duration;

use zinniastall_model::routing::{Kind, Route};

use crate::{
    cases,
    stage::{Act, Seen, Stage, Target, get, route, view},
};

fn routes() -> Vec<Route> {
    let mut resumable = route("/resumed/", Kind::Stream, 2);
    resumable.resumable = true;
    vec![route("/stream/", Kind::Stream, 2), resumable]
}

fn head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Sends events from the one after `Last-Event-Id` to the last one, and breaks off in the middle of an
/// event where told to.
fn script(seen: &Seen, last: u32, break_in: Option<u32>) -> Vec<Act> {
    let from = seen.header("last-event-id").parse().unwrap_or(0) + 1;
    let mut acts = vec![Act::Send(head(seen.id()).into_bytes())];
    for id in from..=last {
        if break_in == Some(id) {
            acts.push(Act::Send(chunk(&event(id)[..4]).into_bytes()));
            acts.push(Act::Close);
            return acts;
        }
        acts.push(Act::Send(chunk(&event(id)).into_bytes()));
    }
    acts.push(Act::Send(b"0\r\n\r\n".to_vec()));
    acts
}

fn all(last: u32) -> String {
    (1..=last).map(event).collect()
}

async fn arrives_as_it_is_made() {
    let target = Target::start(|seen| {
        let first = head(seen.id()) + &chunk(&event(1));
        vec![
            Act::Send(first.into_bytes()),
            Act::Wait(Duration::from_secs(2)),
            Act::Send((chunk(&event(2)) + "0\r\n\r\n").into_bytes()),
        ]
    })
    .await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let mut caller = stage.connect().await;
    let since = std::time::Instant::now();
    caller.send(&get("/stream/1", "a", "")).await;
    caller.until_text("data: 1").await;
    assert!(since.elapsed() < Duration::from_secs(1));
    let got = caller.answer().await.unwrap();
    assert!(got.is_whole);
    assert_eq!(got.body, all(2));
}

async fn broken_stream_looks_broken() {
    let target = Target::start(|seen| script(seen, 9, Some(4))).await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let got = stage.connect().await.call(&get("/stream/1", "a", "")).await;
    assert!(!got.is_whole);
    assert_eq!(got.body, all(3), "a half event was passed on");
    assert_eq!(target.seen().len(), 1);
}

async fn resumes_elsewhere() {
    let one = Target::start(|seen| {
        script(
            seen,
            9,
            seen.header("last-event-id").is_empty().then_some(4),
        )
    })
    .await;
    let two = Target::start(|seen| {
        script(
            seen,
            9,
            seen.header("last-event-id").is_empty().then_some(4),
        )
    })
    .await;
    let stage = Stage::start(view(routes(), &[&one, &two])).await;
    let got = stage
        .connect()
        .await
        .call(&get("/resumed/1", "a", ""))
        .await;
    assert!(got.is_whole);
    assert_eq!(got.body, all(9));
    assert_eq!((one.seen().len(), two.seen().len()), (1, 1));
}

/// Breaks the first stream off after three events, and lets the target at which it goes on act as told.
async fn goes_on_badly(then: impl Fn(&Seen) -> Vec<Act> + Clone + 'static) {
    let script = move |seen: &Seen| {
        if seen.header("last-event-id").is_empty() {
            return script(seen, 9, Some(4));
        }
        then(seen)
    };
    let one = Target::start(script.clone()).await;
    let two = Target::start(script).await;
    let stage = Stage::start(view(routes(), &[&one, &two])).await;
    let mut caller = stage.connect().await;
    let got = caller.call(&get("/resumed/1", "a", "")).await;
    assert!(!got.is_whole);
    assert_eq!(got.body, all(3));
    assert!(caller.ends().await, "bytes of another answer came behind");
    assert_eq!((one.seen().len(), two.seen().len()), (1, 1));
}

/// Lets both targets go dark after four events of a first run, on a route.
async fn goes_dark(path: &str) -> (crate::stage::Got, usize) {
    let script = |seen: &Seen| {
        if !seen.header("last-event-id").is_empty() {
            return script(seen, 9, None);
        }
        let mut acts = script(seen, 4, None);
        acts.pop();
        acts.push(Act::Dark);
        acts
    };
    let (one, two) = (Target::mortal(script), Target::mortal(script));
    let mut routes = routes();
    routes[0].timeout_ms = 4_000;
    let stage = Stage::start(view(routes, &[&one, &two])).await;
    let got = stage.connect().await.call(&get(path, "a", "")).await;
    (got, one.seen().len() + two.seen().len())
}

async fn goes_on_without_a_dark_target() {
    let since = std::time::Instant::now();
    let (got, runs) = goes_dark("/resumed/1").await;
    assert!(got.is_whole);
    assert_eq!((got.body, runs), (all(9), 2));
    assert!(since.elapsed() < Duration::from_secs(3));
}

async fn runs_once_on_a_dark_target() {
    let (got, runs) = goes_dark("/stream/1").await;
    assert!(!got.is_whole);
    assert_eq!((got.body, runs), (all(4), 1));
}

async fn waits_for_a_silent_target() {
    let target = Target::start(|seen| {
        let mut acts = script(seen, 4, None);
        acts.insert(3, Act::Wait(Duration::from_secs(2)));
        acts
    })
    .await;
    let other = Target::start(|seen| script(seen, 4, None)).await;
    let stage = Stage::start(view(routes(), &[&target, &other])).await;
    let got = stage
        .connect()
        .await
        .call(&get("/resumed/1", "a", ""))
        .await;
    assert!(got.is_whole);
    assert_eq!(got.body, all(4));
    assert_eq!(target.seen().len() + other.seen().len(), 1);
}

async fn part_of_a_long_event_is_not_resumed() {
    let long = chunk(&format!("id: 4\ndata: {}", "x".repeat(300 << 10)));
    let script = move |seen: &Seen| {
        if !seen.header("last-event-id").is_empty() {
            return script(seen, 9, None);
        }
        let mut acts = script(seen, 3, None);
        acts.pop();
        acts.push(Act::Send(long.clone().into_bytes()));
        acts.push(Act::Close);
        acts
    };
    let one = Target::start(script.clone()).await;
    let two = Target::start(script).await;
    let stage = Stage::start(view(routes(), &[&one, &two])).await;
    let got = stage
        .connect()
        .await
        .call(&get("/resumed/1", "a", ""))
        .await;
    assert!(
        !got.body.contains("xid:"),
        "an event was made of two halves"
    );
    assert!(!got.is_whole);
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

async fn goes_on_after_the_named_event() {
    let target = Target::start(|seen| script(seen, 5, None)).await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let text = get("/resumed/1", "a", "Last-Event-Id: 3\r\n");
    let got = stage.connect().await.call(&text).await;
    assert_eq!(got.body, event(4) + &event(5));
}

async fn before_the_first_event_nothing_is_known() {
    let target =
        Target::start(|seen| vec![Act::Send(head(seen.id()).into_bytes()), Act::Close]).await;
    let stage = Stage::start(view(routes(), &[&target])).await;
    let got = stage.connect().await.call(&get("/stream/1", "a", "")).await;
    assert_eq!(got.status, 502);
    assert_eq!(target.seen().len(), 1);
}

async fn ends_with_its_time() {
    let mut routes = routes();
    routes[0].timeout_ms = 300;
    let target = Target::start(|seen| {
        let first = head(seen.id()) + &chunk(&event(1));
        vec![
            Act::Send(first.into_bytes()),
            Act::Wait(Duration::from_secs(15)),
        ]
    })
    .await;
    let stage = Stage::start(view(routes, &[&target])).await;
    let since = std::time::Instant::now();
    let got = stage.connect().await.call(&get("/stream/1", "a", "")).await;
    assert!(!got.is_whole);
    assert!(since.elapsed() < Duration::from_millis(800));
    crate::stage::until("the target's connection closes", || target.closed() == 1).await;
}

cases! {
    /// An event waits for nothing: a caller shows it as it is made.
    events_arrive_as_they_are_made => arrives_as_it_is_made(),
    /// An engine crashes in the middle of a stream that must not run twice. The caller must see that
    /// it is broken, and no half event.
    a_broken_stream_never_looks_whole => broken_stream_looks_broken(),
    /// An engine crashes in the middle of an event of a stream that may be resumed. The caller reads
    /// one stream, whole and without a doubled event.
    a_broken_stream_goes_on_at_another_target => resumes_elsewhere(),
    /// An engine's machine loses power: its connections stay open and nothing comes any more. The caller would
    /// wait for the rest until its deadline, though another engine can go on.
    a_stream_goes_on_when_its_target_is_dark => goes_on_without_a_dark_target(),
    /// The same where the stream may run only once. What the engine did is not known, so it is not sent again.
    a_stream_that_may_run_once_stays_with_a_dark_target => runs_once_on_a_dark_target(),
    /// An engine reads long prompts and sends nothing for two seconds. It is there, and a second run elsewhere
    /// would cost as much again and come later.
    a_silent_target_that_can_be_reached_keeps_its_stream => waits_for_a_silent_target(),
    /// The target at which a broken stream is to go on fails it. Written behind the events that the caller
    /// has, its answer would be garbage in the middle of a stream.
    a_failure_never_follows_a_begun_stream => goes_on_badly(|seen| {
        vec![Act::Send(crate::stage::answer(500, seen.id(), "broke"))]
    }),
    /// The target at which a broken stream is to go on answers with something that is no stream.
    another_answer_never_follows_a_begun_stream => goes_on_badly(|seen| {
        vec![Act::Send(crate::stage::answer(404, seen.id(), "what stream?"))]
    }),
    /// The target at which a broken stream is to go on closes without an answer.
    a_refusal_never_follows_a_begun_stream => goes_on_badly(|_| vec![Act::Close]),
    /// An engine crashes in the middle of an event that is too long to be kept until it is whole. Gone on after
    /// the event before, the caller would read one event made of halves of two runs.
    a_long_event_that_is_broken_off_ends_the_stream => part_of_a_long_event_is_not_resumed(),
    /// A caller resumes a stream itself.
    a_stream_goes_on_after_the_named_event => goes_on_after_the_named_event(),
    /// An engine crashes after its head and before the first event: the run may have begun.
    a_stream_cut_before_its_first_event_is_unknown => before_the_first_event_nothing_is_known(),
    /// A stream goes on beyond its route's time; the caller gets its end then, and the engine too.
    a_stream_ends_with_its_routes_time => ends_with_its_time(),
}
