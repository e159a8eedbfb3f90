//! Runs the load generator as a separate process.

use std::{path::Path, time::Duration};

use serde_json::Value;
use zinniastall_tests::settings;

/// Time after the planned end of an experiment within which the load generator must exit.
const EXIT_GRACE: Duration = Duration::from_mins(2);

/// Runs an experiment and returns its report, which stays at `report`.
///
/// # Errors
///
/// Fails if the load generator does not exit in time or writes no report.
pub(super) async fn run(mut experiment: Value, report: &Path) -> eyre::Result<Value> {
    // Remove the report of an earlier run, so that it cannot be mistaken for this one's.
    let _ = std::fs::remove_file(report);
    experiment["report"] = report.display().to_string().into();
    let time = |field: &str| experiment[field].as_u64().unwrap_or_default();
    let variants = experiment["variants"].as_array().map_or(1, Vec::len) as u64;
    let millis = (time("warmup_ms") + time("duration_ms")) * variants;
    let timeout = Duration::from_millis(millis) + EXIT_GRACE;
    let mut tool = settings::start("load", "zinniastall-load", &experiment)?;
    let status = tool.wait_exit_within(timeout).await?;
    let text = std::fs::read_to_string(report);
    let text = text.map_err(|error| eyre::eyre!("no report ({status}): {error}"))?;
    Ok(serde_json::from_str(&text)?)
}
