//! Long runs that other crates provide.

use std::{path::Path, process::Command};

use crate::build::cargo;

/// Drives the consensus core through random schedules of faults.
///
/// # Errors
///
/// Fails when a schedule broke a promise; the output names its seed.
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

/// Measures slopes and rewrites the tables of the page on capacity.
///
/// # Errors
///
/// Fails when a case does.
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

/// Measures what relays cost the control group, and what an operator's call costs.
///
/// # Errors
///
/// Fails when a build or a case does.
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
