//! Errors of the test harness.

use std::{path::PathBuf, time::Duration};

/// Result of a test step.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a test step failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A binary is missing from the build's output directory.
    #[error("{0} is not built; run `cargo build --workspace --bins` or `cargo test --workspace`")]
    NotBuilt(PathBuf),
    /// A binary is older than one of its sources.
    #[error("{path} is older than {changed}; run `cargo build --workspace --bins`")]
    Stale {
        /// Path of the binary.
        path: PathBuf,
        /// Source file that is newer.
        changed: PathBuf,
    },
    /// An operation on a file, socket or process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A signal could not be sent.
    #[error(transparent)]
    Signal(#[from] nix::Error),
    /// A condition was not met in time.
    #[error("timed out after {timeout:?} waiting for {what}")]
    Timeout {
        /// Description of the condition.
        what: String,
        /// Limit of the wait.
        timeout: Duration,
    },
    /// A process exited unexpectedly or with a failure.
    #[error("{name} exited unexpectedly: {status}")]
    Ended {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: std::process::ExitStatus,
    },
    /// An HTTP request failed before its response was complete.
    #[error("incomplete response: {0}")]
    Http(String),
    /// A response or a settings file is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The operators' command line exited with a failure.
    #[error("zinniastall-ctl exited with {code:?}: {output}")]
    Ctl {
        /// Exit code.
        code: Option<i32>,
        /// Standard output followed by standard error.
        output: String,
    },
    /// Something that a test looked up does not exist or does not match.
    #[error("unknown or unexpected: {0}")]
    Unknown(String),
}
