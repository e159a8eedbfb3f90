//! Logging must not block the process.

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
};

const LINES: u32 = 200_000;

/// Nobody reads standard output, and the pipe is full after a few hundred lines. A process that
/// waits for it would stop serving requests; lines must be dropped and counted instead.
#[test]
fn a_full_standard_output_does_not_block_logging() {
    let mut example = Command::new(env!("CARGO"));
    example.args(["run", "--quiet", "--locked", "--example", "chatter", "--"]);
    let mut process = example
        .arg(LINES.to_string())
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the example starts");
    // Standard output stays open and is never read.
    let unread = process.stdout.take().expect("a pipe");
    let stderr = process.stderr.take().expect("a pipe");
    let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
    let line = lines.find(|line| {
        line.split(' ').count() == 2 && line.starts_with(|c: char| c.is_ascii_digit())
    });
    let line = line.expect("the example ends although nobody reads");
    let dropped: u32 = line
        .rsplit(' ')
        .next()
        .and_then(|number| number.parse().ok())
        .expect("a count");
    assert!(dropped > LINES / 2, "{line}");
    drop(unread);
    process.wait().expect("the process ends");
}
