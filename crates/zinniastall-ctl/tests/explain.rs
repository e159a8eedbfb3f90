//! Timelines of requests, reconstructed from logs of real runs and from handwritten ones.

use std::{fs, path::PathBuf, process::Command};

use serde_json::Value;
use zinniastall_ctl::explain::{line::Line, read, reconstruct};

fn sample_log(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../docs/operations").join(name)
}

/// Returns the id of the request that a sample log is about.
fn request_id(log: &str) -> String {
    let text = fs::read_to_string(sample_log(log)).expect("the sample log exists");
    let lines = read(text.as_bytes()).expect("the log can be read");
    let line = lines.iter().find(|line| !line.field("id").is_empty());
    line.expect("a line has an id").field("id").to_owned()
}

/// Runs the command as the operations page shows it.
fn explain(log: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_zinniastall-ctl"))
        .args(["--json", "explain", &request_id(log)])
        .arg(sample_log(log))
        .output()
        .expect("the command runs");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the timeline is JSON")
}

fn step<'a>(timeline: &'a Value, event: &str) -> &'a Value {
    let steps = timeline["steps"].as_array().expect("a timeline has steps");
    let step = steps.iter().find(|step| step["event"] == event);
    step.unwrap_or_else(|| panic!("no {event} in {timeline}"))
}

fn number(step: &Value, field: &str) -> u64 {
    let text = step["fields"][field]
        .as_str()
        .expect("the field is present");
    text.parse().expect("the field is a number")
}

/// A caller got a 503. The timeline must show that the wait at the best target was too long for the
/// latency objective, and after which delay the caller was asked to retry.
#[test]
fn a_refusal_names_the_queue() {
    let timeline = explain("refused.log");
    assert_eq!(timeline["end"], "not-sent");
    let given_up = step(&timeline, "given-up");
    assert!(number(given_up, "wait_ms") * 10 > number(given_up, "objective_ms") * 8);
    assert!(number(given_up, "retry_after_ms") > 0);
}

/// Guards against an answer that may be cut and looks complete in its timeline.
#[test]
fn an_answer_without_framing_is_unconfirmed() {
    let timeline = explain("unconfirmed.log");
    assert_eq!(timeline["end"], "unconfirmed");
    let attempt = step(&timeline, "attempt");
    assert_eq!(attempt["fields"]["place"], "i-0");
    assert_eq!(
        attempt["fields"]["why"],
        "the answer states no end of its own"
    );
}

/// A caller got a 502. The timeline must name the target that closed the connection without an
/// answer.
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

/// A caller got a late answer. The timeline must show that the request was placed in another region
/// and how long it waited.
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

/// A log collector may put a time and a process before a line, only a process, or nothing.
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

/// A timeline includes the state changes of the request's target that the process which handled the
/// request logged. It excludes those of other targets and those logged by other processes.
#[test]
fn only_related_state_changes_are_included() {
    let log = "\
        1.0 edge-1 ts=1 event=target target=t1 state=ready\n\
        1.1 edge-1 ts=1 event=target target=t2 state=ready\n\
        1.2 edge-2 ts=1 event=target target=t1 state=ready\n\
        2.0 edge-1 ts=1 event=placed id=a place=t1\n\
        2.2 edge-1 ts=1 event=target-limit target=t1 rate=1 via=answer\n\
        2.5 edge-1 ts=1 event=target-out target=t1 why=unknown\n\
        3.0 edge-1 ts=1 event=request-ended id=a outcome=unknown\n\
        4.0 edge-1 ts=1 event=target target=t1 state=gone\n";
    let timeline = reconstruct("a", &read(log.as_bytes()).expect("a log")).expect("a timeline");
    let events: Vec<&str> = timeline
        .steps
        .iter()
        .map(|step| step.event.as_str())
        .collect();
    let expected = [
        "target",
        "placed",
        "target-limit",
        "target-out",
        "request-ended",
    ];
    assert_eq!(events, expected);
    assert_eq!(timeline.end.as_deref(), Some("unknown"));
}

/// A request is forwarded to another region, and both instances log its outcome, in separate logs
/// that are read in any order and with clocks that differ. The outcome for the caller is the one at
/// the instance that received the request.
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
        let timeline = reconstruct("a", &lines).expect("a timeline");
        assert_eq!(timeline.end.as_deref(), Some("left"), "{log}");
    }
}

/// Entry instances log a request's id under another name than gateway instances. The timeline of a
/// quarantined request must show the crashes, what was heard of it, and what its caller was told.
#[test]
fn a_request_of_an_entry_instance_is_explained() {
    let log = "\
        1.0 entry-1 ts=1 event=target-serving target=t1 incarnation=4\n\
        2.0 entry-1 ts=1 event=target-crashed request=a target=t1 fingerprint=07 crashes=3\n\
        2.0 entry-1 ts=1 event=quarantined request=a fingerprint=07\n\
        2.1 entry-1 ts=1 event=forwarded request=a outcome=not-run reason=quarantined\n\
        2.2 entry-2 ts=1 event=quarantine-heard peer=entry-1 fingerprint=07\n\
        2.3 entry-2 ts=1 event=quarantine-rejected request=a fingerprint=07\n\
        2.4 entry-2 ts=1 event=request request=a outcome=unknown reason=target-lost\n\
        2.5 entry-2 ts=1 event=request request=b outcome=answered\n";
    let lines = read(log.as_bytes()).expect("a log");
    let timeline = reconstruct("a", &lines).expect("a timeline");
    let steps = timeline.steps.iter();
    let events: Vec<&str> = steps.map(|step| step.event.as_str()).collect();
    let expected = [
        "target-serving",
        "target-crashed",
        "quarantined",
        "forwarded",
        "quarantine-heard",
        "quarantine-rejected",
        "request",
    ];
    assert_eq!(events, expected);
    assert_eq!(timeline.end.as_deref(), Some("unknown"));
}

/// A caller resends a request under the same id. The last try gives the outcome.
#[test]
fn the_last_try_ends_a_request() {
    let log = "\
        3.0 edge-2 ts=1 event=request-ended id=a outcome=answered passed_on=false\n\
        2.0 edge-1 ts=1 event=request-ended id=a outcome=not-run passed_on=false\n";
    let lines = read(log.as_bytes()).expect("a log");
    let timeline = reconstruct("a", &lines).expect("a timeline");
    assert_eq!(timeline.end.as_deref(), Some("answered"));
}
