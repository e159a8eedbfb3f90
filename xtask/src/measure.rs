//! Long-running tests and measurements defined in other crates.

use std::{path::Path, process::Command};

use crate::build::cargo;

/// Runs the consensus core through random fault schedules.
///
/// # Errors
///
/// Fails if a schedule violates a guarantee; the output names its seed.
pub(crate) fn explore(root: &Path, runs: u64, seed: u64) -> eyre::Result<()> {
    let test = ["--test", "group", "no_schedule", "--", "--nocapture"];
    let mut command = cargo(root);
    command
        .args([
            "test",
            "--release",
            "--locked",
            "--package",
            "zinniastall-coord",
        ])
        .args(test)
        .env("ZINNIASTALL_RUNS", runs.to_string())
        .env("ZINNIASTALL_SEED", seed.to_string());
    run(command)
}

/// Measures how costs grow with size and rewrites the tables of docs/CAPACITY.md.
///
/// # Errors
///
/// Fails if a measurement fails.
pub(crate) fn capacity(root: &Path) -> eyre::Result<()> {
    let mut command = cargo(root);
    command
        .args([
            "run",
            "--release",
            "--locked",
            "--package",
            "zinniastall-entry",
        ])
        .args(["--example", "slopes", "--", "--write", "docs/CAPACITY.md"]);
    run(command)
}

/// Measures the cost of relays and of operators' calls for the control group.
///
/// # Errors
///
/// Fails if the build or a measurement fails.
pub(crate) fn control(root: &Path) -> eyre::Result<()> {
    let mut binaries = cargo(root);
    binaries.args(["build", "--release", "--locked", "--bins"]);
    run(binaries)?;
    let mut command = cargo(root);
    command
        .args(["run", "--release", "--locked"])
        .args(["--package", "xtask"])
        .args(["--example", "control_capacity"]);
    run(command)
}

fn run(mut command: Command) -> eyre::Result<()> {
    let status = command.status()?;
    eyre::ensure!(status.success(), "ended with {status}");
    Ok(())
}
