//! Settings of a control instance: the example is valid, and every problem is reported.

use zinniastall_control::settings::Control;
use zinniastall_settings::load::parse;

#[test]
fn the_example_is_valid() {
    let control = parse::<Control>(include_str!("../examples/control.json"));
    assert_eq!(control.unwrap().instance, "control-patras");
}

#[test]
fn every_fault_is_named() {
    let text = r#"{"instance":"a b","region":"patras","zone":"a","data":"/tmp/x","extra":1,
        "listen":{"operators":"localhost","links":"127.0.0.1:0"},
        "timing":{"heartbeat_ms":100,"election_ms":200}}"#;
    let problems = parse::<Control>(text).unwrap_err();
    let paths: Vec<&str> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    let expected = [
        "instance",
        "listen.operators",
        "timing.election_ms",
        "extra",
    ];
    assert_eq!(paths, expected);
}
