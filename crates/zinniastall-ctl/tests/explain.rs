//! Stories of requests, told from kept logs of real runs.

use std::{fs, path::PathBuf, process::Command};

use serde_json::Value;
use zinniastall_ctl::explain::{line::Line, read, reconstruct};

fn sample_log(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../docs/operations").join(name)
}

/// Returns the id of the request that a kept log is about.
fn request_id(log: &str) -> String {
    let text = fs::read_to_string(sample_log(log)).expect("the log is kept");
    let lines = read(text.as_bytes()).expect("the log can be read");
    let line = lines.iter().find(|line| !line.field("id").is_empty());
    line.expect("a line has an id").field("id").to_owned()
}

/// Runs the command that the page shows.
fn explain(log: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_zinniastall-ctl"))
        .args(["--json", "explain", &request_id(log)])
        .arg(sample_log(log))
        .output()
        .expect("the command runs");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the story is JSON")
}

fn step<'a>(timeline: &'a Value, event: &str) -> &'a Value {
    let steps = timeline["steps"].as_array().expect("a story has steps");
    let step = steps.iter().find(|step| step["event"] == event);
    step.unwrap_or_else(|| panic!("no {event} in {timeline}"))
}

fn number(step: &Value, field: &str) -> u64 {
    let text = step["fields"][field].as_str().expect("the field is there");
    text.parse().expect("the field is a number")
}

/// A user complains of a 503. The log says that the wait at the best target was longer than the
/// objective, and when the request should have come back.
#[test]
fn a_refusal_names_the_queue() {
    let timeline = explain("refused.log");
    assert_eq!(timeline["end"], "not-sent");
    let given_up = step(&timeline, "given-up");
    assert!(number(given_up, "wait_ms") * 10 > number(given_up, "objective_ms") * 8);
    assert!(number(given_up, "retry_after_ms") > 0);
}

/// A user complains of a 502. The log names the target that closed without an answer.
#[test]
fn an_unknown_outcome_names_the_target() {
    let timeline = explain("unknown.log");
    assert_eq!(timeline["end"], "unknown");
    let attempt = step(&timeline, "attempt");
    let outcome = attempt["fields"]["outcome"].as_str().unwrap_or_default();
    assert!(["unknown", "broken"].contains(&outcome), "{timeline}");
    assert_eq!(
        step(&timeline, "placed")["fields"]["place"],
        attempt["fields"]["place"]
    );
}

/// A user complains of a late answer. The log shows that it went to another region and for how long it
/// waited there.
#[test]
fn a_late_answer_shows_where_it_waited() {
    let timeline = explain("late.log");
    assert_eq!(step(&timeline, "placed")["fields"]["far"], "true");
    let mut ended = timeline["steps"].as_array().expect("steps").iter();
    let ended = ended
        .rfind(|step| step["event"] == "request-ended")
        .expect("an end");
    assert!(
        number(ended, "first_ms") > number(ended, "objective_ms"),
        "{timeline}"
    );
}

#[test]
fn an_unknown_request_has_no_timeline() {
    assert_eq!(
        reconstruct(
            "nobody",
            &read(&b"ts=1 event=x id=other"[..]).expect("a log")
        ),
        None
    );
}

/// Collectors put a time and a process before a line, or a process, or nothing.
#[test]
fn lines_are_read_with_and_without_a_prefix() {
    let own = "ts=2026-07-27T15:14:47.500Z level=info event=placed id=a why=\"two words\"";
    let line = |text: &str| Line::parse(text).expect("a line");
    let bare = line(own);
    assert_eq!(
        (bare.event(), bare.field("why"), bare.process.as_str()),
        ("placed", "two words", "")
    );
    let named = line(&format!("edge-1 {own}"));
    assert_eq!((named.process.as_str(), named.time), ("edge-1", bare.time));
    let timed = line(&format!("  -9.25 edge-1 {own}"));
    assert_eq!((timed.process.as_str(), timed.time), ("edge-1", -9.25));
    assert_eq!(Line::parse("no line of a log"), None);
}

/// What a process came to believe of the target that the request met is part of its story; what it came
/// to believe of others, or what other processes believe, is not.
#[test]
fn only_related_state_changes_are_included() {
    let log = "\
        1.0 edge-1 ts=1 event=target target=t1 state=ready\n\
        1.1 edge-1 ts=1 event=target target=t2 state=ready\n\
        1.2 edge-2 ts=1 event=target target=t1 state=ready\n\
        2.0 edge-1 ts=1 event=placed id=a place=t1\n\
        2.5 edge-1 ts=1 event=target-out target=t1 why=unknown\n\
        3.0 edge-1 ts=1 event=request-ended id=a outcome=unknown\n\
        4.0 edge-1 ts=1 event=target target=t1 state=gone\n";
    let timeline = reconstruct("a", &read(log.as_bytes()).expect("a log")).expect("a story");
    let events: Vec<&str> = timeline
        .steps
        .iter()
        .map(|step| step.event.as_str())
        .collect();
    assert_eq!(events, ["target", "placed", "target-out", "request-ended"]);
    assert_eq!(timeline.end.as_deref(), Some("unknown"));
}

/// A request was passed on to another region. Both instances write how it ended, in logs of their own that come in
/// any order and from clocks that differ; what its caller saw is what the instance says to which it came.
#[test]
fn the_end_is_what_the_caller_saw() {
    let receiver = "\
        2.5 edge-1 ts=1 event=request-ended id=a outcome=left passed_on=false\n";
    let forwarded = "\
        2.4 edge-9 ts=1 event=request-ended id=a outcome=answered passed_on=true\n\
        9.0 edge-9 ts=1 event=request-ended id=b outcome=answered passed_on=true\n";
    let forwarded_later = "\
        2.6 edge-9 ts=1 event=request-ended id=a outcome=answered passed_on=true\n";
    for log in [
        [receiver, forwarded].concat(),
        [forwarded, receiver].concat(),
        [receiver, forwarded_later].concat(),
    ] {
        let lines = read(log.as_bytes()).expect("a log");
        let timeline = reconstruct("a", &lines).expect("a story");
        assert_eq!(timeline.end.as_deref(), Some("left"), "{log}");
    }
}

/// A caller sends a request again under its id. How it ended is how its last try ended.
#[test]
fn the_last_try_ends_a_request() {
    let log = "\
        3.0 edge-2 ts=1 event=request-ended id=a outcome=answered passed_on=false\n\
        2.0 edge-1 ts=1 event=request-ended id=a outcome=not-run passed_on=false\n";
    let lines = read(log.as_bytes()).expect("a log");
    let timeline = reconstruct("a", &lines).expect("a story");
    assert_eq!(timeline.end.as_deref(), Some("answered"));
}
