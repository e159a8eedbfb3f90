//! How a request ended, as its caller saw it.

use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A whole answer arrived.
    Answered,
    /// The system says that it certainly did not run, or no connection was had.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Reads the word that the system uses; everything else is unknown.
    pub fn parse(word: &str) -> Self {
        match word {
            "answered" => Self::Answered,
            "not-run" => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}
