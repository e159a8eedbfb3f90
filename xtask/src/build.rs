//! Builds the binaries that tasks run.

use std::{path::Path, process::Command};

use zinniastall_tests::binary;

/// Cargo profile of a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Profile {
    /// For functional runs.
    Debug,
    /// For measurements.
    Release,
}

/// Returns a command for the cargo that runs this task, in the workspace root.
pub(crate) fn cargo(root: &Path) -> Command {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(root);
    command
}

/// Builds all binaries and makes the test harness use them.
///
/// # Errors
///
/// Fails if the build fails.
pub(crate) fn run(root: &Path, profile: Profile) -> eyre::Result<()> {
    let mut command = cargo(root);
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if profile == Profile::Release {
        command.arg("--release");
    }
    let status = command.status()?;
    eyre::ensure!(status.success(), "the build failed: {status}");
    let target = std::env::var_os("CARGO_TARGET_DIR");
    let target = target.map_or_else(|| root.join("target"), Into::into);
    binary::use_folder(match profile {
        Profile::Debug => target.join("debug"),
        Profile::Release => target.join("release"),
    });
    Ok(())
}
