//! Tests of settings: all faults are reported with their paths, and no input panics.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use zinniastall_settings::{
    cli::{Action, Error},
    load::{self, Settings},
    metrics::{OTHER, Registry},
    problem::{Fault, Problem},
    reader::Reader,
};

const SEED: u64 = 11;

/// Settings with every kind of field.
#[derive(Debug, PartialEq)]
struct Sample {
    address: std::net::SocketAddr,
    name: String,
    number: u64,
    time: Duration,
    share: f64,
    flag: bool,
    word: u8,
    text: Option<String>,
    items: Vec<String>,
    nested: Option<std::net::SocketAddr>,
}

impl Settings for Sample {
    fn read(reader: &mut Reader<'_>) -> Self {
        let word = |word: &str| ["one", "two"].iter().position(|known| *known == word);
        Self {
            address: reader.address("address"),
            name: reader.name("name"),
            number: reader.number("number", 1..=10, 5),
            time: reader.millis("time_ms", 0..=100, 7),
            share: reader.fraction("share", 1.0, 0.5),
            flag: reader.flag("flag", true),
            word: reader
                .word("word", "one, two", word, 0)
                .try_into()
                .unwrap_or(0),
            text: reader.optional_text("text"),
            items: reader.objects("items", |reader| reader.name("id")),
            nested: reader.nested("nested", |reader| reader.optional_address("address")),
        }
    }
}

fn faults_in(text: &str) -> Vec<(String, Fault)> {
    let problems = load::parse::<Sample>(text).expect_err("wrong settings");
    let pair = |problem: Problem| (problem.path, problem.fault);
    problems.into_iter().map(pair).collect()
}

/// Returns the faults of settings that are valid except for one field.
fn faults_with(field: &str) -> Vec<(String, Fault)> {
    faults_in(&format!(
        r#"{{"address": "127.0.0.1:1", "name": "a", {field}}}"#
    ))
}

#[test]
fn defaults_fill_what_is_absent() {
    let sample: Sample = load::parse(r#"{"address": "127.0.0.1:1", "name": "a"}"#).unwrap();
    assert_eq!((sample.number, sample.time), (5, Duration::from_millis(7)));
    assert!(sample.flag && sample.items.is_empty() && sample.nested.is_none());
}

macro_rules! faults {
    ($($name:ident: $field:literal => $path:literal, $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(faults_with($field), [($path.to_owned(), $fault)]);
        }
    )*};
}

faults! {
    number_too_high: r#""number": 11"# => "number", Fault::Range { low: 1, high: 10 };
    number_negative: r#""number": -1"# => "number", Fault::Type("a whole number");
    number_as_text: r#""number": "1""# => "number", Fault::Type("a whole number");
    time_too_long: r#""time_ms": 101"# => "time_ms", Fault::Range { low: 0, high: 100 };
    flag_as_number: r#""flag": 1"# => "flag", Fault::Type("true or false");
    word_unknown: r#""word": "three""# => "word", Fault::Word("one, two");
    text_empty: r#""text": """# => "text", Fault::Type("text that is not empty");
    items_no_list: r#""items": {}"# => "items", Fault::Type("a list");
    item_no_object: r#""items": [1]"# => "items[0]", Fault::Type("an object");
    item_unknown_field: r#""items": [{"id": "a", "x": 1}]"# => "items[0].x", Fault::Unknown;
    nested_host_name: r#""nested": {"address": "host:1"}"# => "nested.address", Fault::Address;
    unknown_field: r#""colour": 1"# => "colour", Fault::Unknown;
}

#[test]
fn all_faults_are_reported_at_once() {
    let faults = faults_in(r#"{"name": "a b", "number": 0, "x": 1}"#);
    let paths: Vec<&str> = faults.iter().map(|(path, _)| path.as_str()).collect();
    assert_eq!(paths, ["address", "name", "number", "x"]);
}

#[test]
fn invalid_json_reports_its_position() {
    let expected = Fault::Syntax { line: 2, column: 8 };
    assert_eq!(faults_in("{\n  \"a\": }"), [(".".to_owned(), expected)]);
    assert_eq!(
        faults_in("[]")[0],
        (".".to_owned(), Fault::Type("an object"))
    );
}

#[test]
fn an_unreadable_file_is_a_fault() {
    let missing = std::path::Path::new("/nonexistent/settings.json");
    assert!(load::load::<Sample>(missing).is_err());
}

fn action(arguments: &[&str]) -> Result<Action, Error> {
    Action::parse(arguments.iter().map(Into::into))
}

#[test]
fn command_lines_are_parsed() {
    assert_eq!(action(&["--help"]).unwrap(), Action::Help);
    assert_eq!(action(&["-V"]).unwrap(), Action::Version);
    assert_eq!(
        action(&["--settings", "f"]).unwrap(),
        Action::Run("f".into())
    );
    assert_eq!(
        action(&["--check", "--settings=f"]).unwrap(),
        Action::Check("f".into())
    );
    assert!(matches!(action(&["--check"]), Err(Error::Settings)));
    assert!(matches!(action(&["--what"]), Err(Error::Arguments(_))));
    assert!(matches!(action(&["--settings"]), Err(Error::Arguments(_))));
}

/// A caller makes up ever new client names. The number of histograms must stay bounded; values
/// beyond the limit are counted together.
#[test]
fn tags_are_bounded() {
    let registry = Registry::start("test", None).unwrap();
    let recorder = registry.recorder();
    for number in 0..5_000 {
        recorder.time(
            "request.whole",
            &number.to_string(),
            "batch",
            Duration::from_millis(1),
        );
    }
    let report = registry.report();
    assert!(report.len() <= 2_049, "{}", report.len());
    let other = report.iter().find(|row| row.key.client == OTHER).unwrap();
    let counted: u64 = report.iter().map(|row| row.count).sum();
    assert!(other.count > 0);
    assert_eq!(counted, 5_000);
}

fn json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        any::<f64>().prop_map(Into::into),
        any::<String>().prop_map(Into::into),
    ];
    let field = prop_oneof![
        "address|name|number|time_ms|share|flag|word|text|items|nested|id",
        any::<String>(),
    ];
    leaf.prop_recursive(4, 64, 8, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Into::into),
            prop::collection::vec((field.clone(), inner), 0..8)
                .prop_map(|fields| fields.into_iter().collect()),
        ]
    })
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn arbitrary_settings_never_panic(value in json()) {
        let _ = load::parse::<Sample>(&value.to_string());
    }

    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        prop_assert!(load::parse::<Sample>(&text).is_err());
    }
}
