//! Compares what callers were told with the targets' ledgers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use awc::Client;
use serde::{Deserialize, Serialize};

use crate::{outcome::Outcome, tally::Observation};

/// Longest ledger that is read.
const MAX_LEDGER_BYTES: usize = 1 << 30;
/// Longest wait for a ledger.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// One run of a request, as a ledger lists it.
#[derive(Debug, Clone, Deserialize)]
pub struct Run {
    /// BLAKE3 digest of the body, as hex.
    pub body_digest: String,
    /// When it started, in milliseconds since the Unix epoch.
    pub started: u64,
    /// When its whole answer was ready, in milliseconds since the Unix epoch.
    pub finished: Option<u64>,
    /// Event at which it resumed a stream; 0 for a run from the start.
    pub offset: usize,
    /// Prompt blocks that were found in the cache.
    pub cached: usize,
    /// Prompt blocks in total.
    pub blocks: usize,
}

/// Result of an audit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Ledgers that were read.
    pub ledgers: usize,
    /// Runs in them.
    pub runs: u64,
    /// Answers reported as whole that were not the ones to their prompts.
    pub wrong: u64,
    /// Whole answers to requests without a run.
    pub invented: u64,
    /// Requests reported as not run that ran.
    pub ran_anyway: u64,
    /// Requests that may run at most once and ran more than once.
    pub doubled: u64,
    /// Streams that hold events of two software versions.
    pub mixed: u64,
    /// Sum of the times of finished runs, in milliseconds.
    pub busy_ms: u64,
    /// Prompt blocks that were found in caches.
    pub cached: u64,
    /// Prompt blocks in total.
    pub blocks: u64,
}

impl Audit {
    /// Returns the number of broken guarantees.
    pub const fn violations(&self) -> u64 {
        self.wrong + self.invented + self.ran_anyway + self.doubled + self.mixed
    }
}

/// Why a ledger cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("ledger of {target} cannot be read: {cause}")]
pub struct Error {
    /// Target.
    pub target: SocketAddr,
    /// Cause.
    pub cause: String,
}

/// Reads all ledgers.
///
/// # Errors
///
/// Fails when one cannot be read.
pub async fn read(ledgers: &[SocketAddr]) -> Result<Vec<Run>, Error> {
    let client = Client::builder().timeout(READ_TIMEOUT).finish();
    let mut runs = Vec::new();
    for target in ledgers {
        let fail = |cause: String| Error {
            target: *target,
            cause,
        };
        let reading = tokio::time::timeout(READ_TIMEOUT, read_ledger(&client, *target));
        let ledger = reading.await.unwrap_or_else(|late| Err(late.to_string()));
        runs.extend(ledger.map_err(fail)?);
    }
    Ok(runs)
}

async fn read_ledger(client: &Client, target: SocketAddr) -> Result<Vec<Run>, String> {
    let sent = client.get(format!("http://{target}/ledger")).send().await;
    let response = sent.map_err(|error| error.to_string())?;
    let ledger = response
        .timeout(READ_TIMEOUT)
        .json()
        .limit(MAX_LEDGER_BYTES)
        .await;
    ledger.map_err(|error| error.to_string())
}

/// Compares observations with runs; without ledgers it only checks the answers themselves.
pub fn compare(observations: &[Observation], runs: &[Run], ledgers: usize) -> Audit {
    let mut by_digest: HashMap<&str, u64> = HashMap::new();
    let mut audit = Audit {
        ledgers,
        ..Audit::default()
    };
    for run in runs {
        // A run that resumes a stream continues an earlier one and does not count as a second run.
        *by_digest.entry(&run.body_digest).or_default() += u64::from(run.offset == 0);
        audit.runs += 1;
        audit.busy_ms += run
            .finished
            .map_or(0, |end| end.saturating_sub(run.started));
        audit.cached += run.cached as u64;
        audit.blocks += run.blocks as u64;
    }
    for observation in observations {
        let ran = by_digest
            .get(observation.digest.as_str())
            .copied()
            .unwrap_or(0);
        let answered = observation.outcome == Outcome::Answered;
        audit.wrong += u64::from(answered && !observation.correct);
        audit.mixed += u64::from(observation.mixed);
        if ledgers > 0 {
            audit.invented += u64::from(answered && ran == 0);
            audit.ran_anyway += u64::from(observation.outcome == Outcome::NotRun && ran > 0);
            audit.doubled += u64::from(!observation.idempotent && ran > 1);
        }
    }
    audit
}
