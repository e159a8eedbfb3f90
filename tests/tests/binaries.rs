//! Tests every daemon's command line: help, version, checks of settings, exit codes.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use zinniastall_tests::binary;

fn run(name: &str, arguments: &[&str]) -> Output {
    let path = binary::path(name).expect("the binary is built");
    let output = Command::new(path).args(arguments).output();
    output.expect("the binary runs")
}

fn example(file: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../crates").join(file)
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

macro_rules! daemons {
    ($($name:ident: $binary:literal, $example:literal;)*) => {$(
        #[test]
        fn $name() {
            let help = run($binary, &["--help"]);
            assert_eq!(code(&help), Some(0));
            assert!(String::from_utf8_lossy(&help.stdout).contains("--settings FILE"));
            let version = run($binary, &["--version"]);
            assert!(String::from_utf8_lossy(&version.stdout).starts_with($binary));
            let path = example($example);
            let valid = run($binary, &["--check", "--settings", path.to_str().unwrap()]);
            assert_eq!(code(&valid), Some(0), "{valid:?}");
            assert_eq!(code(&run($binary, &["--sittings"])), Some(2));
            assert_eq!(code(&run($binary, &[])), Some(2));
            let missing = run($binary, &["--settings", "/nonexistent.json"]);
            assert_eq!(code(&missing), Some(2));
        }
    )*};
}

daemons! {
    entry: "zinniastall-entry", "zinniastall-entry/examples/entry.json";
    control: "zinniastall-control", "zinniastall-control/examples/control.json";
    load: "zinniastall-load", "zinniastall-load/examples/experiment.json";
    standin: "zinniastall-standin", "zinniastall-standin/examples/engine.json";
}

/// A settings file has several wrong fields. One check must name all of them with their paths,
/// so that the operator need not restart once for each.
#[test]
fn a_check_names_every_error() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let settings = r#"{"instance": "", "region": "patras", "zone": 3, "listen":
        {"callers": "localhost:1", "targets": "127.0.0.1:0"}, "threads": 0, "colour": "red"}"#;
    std::fs::write(file.path(), settings).unwrap();
    let path = file.path().to_str().unwrap();
    let output = run("zinniastall-entry", &["--check", "--settings", path]);
    assert_eq!(code(&output), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let wrong = [
        "instance",
        "zone",
        "listen.callers",
        "listen.links",
        "threads",
        "colour",
    ];
    for field in wrong {
        let line = format!("settings: {field}: ");
        assert!(errors.contains(&line), "{field} missing in:\n{errors}");
    }
    assert_eq!(errors.lines().count(), wrong.len(), "{errors}");
}
