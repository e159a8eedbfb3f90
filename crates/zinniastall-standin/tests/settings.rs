//! Settings of a stand-in: the examples are valid, and every invalid field is listed by its path.

use zinniastall_settings::load;
use zinniastall_standin::settings::{Kind, Standin};

macro_rules! examples {
    ($($name:ident: $file:literal => $kind:expr;)*) => {$(
        #[test]
        fn $name() {
            let settings: Standin = load::parse(include_str!(concat!("../examples/", $file))).unwrap();
            assert_eq!(settings.kind, $kind);
        }
    )*};
}

examples! {
    engine: "engine.json" => Kind::Engine;
    service: "service.json" => Kind::Service;
    weights: "weights.json" => Kind::Weights;
    statsd: "statsd.json" => Kind::Statsd;
}

#[test]
fn every_fault_is_listed() {
    let text = r#"{"kind": "router", "slots": 0, "sloths": 1,
        "engine": {"models": [{"model": ""}], "role": 3},
        "failure": {"point": "end", "events": 2}}"#;
    let problems = load::parse::<Standin>(text).unwrap_err();
    let paths: Vec<&str> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    let expected = [
        "kind",
        "listen",
        "slots",
        "failure.events",
        "engine.models[0].model",
        "engine.models[0].version",
        "engine.role",
        "sloths",
    ];
    assert_eq!(paths, expected);
}
