//! Failures of the scaffolding.

use std::{path::PathBuf, time::Duration};

/// Result of a step of a test.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a step of a test failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A binary is not where the build puts it.
    #[error("{0} is not built; run `cargo build --workspace --bins` or `cargo test --workspace`")]
    NotBuilt(PathBuf),
    /// A binary is older than one of its sources.
    #[error("{path} is older than {changed}; run `cargo build --workspace --bins`")]
    Stale {
        /// Binary.
        path: PathBuf,
        /// Source.
        changed: PathBuf,
    },
    /// A file, socket or process cannot be had.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A signal cannot be sent.
    #[error(transparent)]
    Signal(#[from] nix::Error),
    /// A condition did not come about in time.
    #[error("not seen within {timeout:?}: {what}")]
    Timeout {
        /// Condition.
        what: String,
        /// Time waited.
        timeout: Duration,
    },
    /// A process ended although it should run.
    #[error("{name} ended early: {status}")]
    Ended {
        /// Process.
        name: String,
        /// How it ended.
        status: std::process::ExitStatus,
    },
    /// An HTTP request got no whole answer.
    #[error("no whole answer: {0}")]
    Http(String),
    /// An answer or settings are not the JSON that was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The operators' command line refused.
    #[error("zinniastall-ctl exited with {code:?}: {output}")]
    Ctl {
        /// Exit code.
        code: Option<i32>,
        /// Both outputs.
        output: String,
    },
    /// A test names something that its cluster does not have.
    #[error("the cluster has no {0}")]
    Unknown(String),
}
