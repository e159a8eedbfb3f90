//! How a request ended, as its caller saw it.

use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A whole answer arrived.
    Answered,
    /// The system reported that it did not run, or no connection was established.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Parses an outcome as the system writes it; any other word is unknown.
    pub fn parse(word: &str) -> Self {
        match word {
            "answered" => Self::Answered,
            "not-run" => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}
