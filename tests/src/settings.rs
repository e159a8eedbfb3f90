//! Settings files for the processes under test.

use serde_json::Value;

use crate::{error::Result, process::Process};

/// Writes the settings to a temporary file and starts a binary with it.
///
/// # Errors
///
/// Fails if the file cannot be written or the process cannot be started.
pub fn start(name: &str, binary: &str, settings: &Value) -> Result<Process> {
    let file = tempfile::Builder::new().suffix(".json").tempfile()?;
    std::fs::write(file.path(), settings.to_string())?;
    let mut process = Process::start(name, binary, file.path())?;
    process.keep_settings(file);
    Ok(process)
}

/// Merges `change` into `settings` recursively; values other than objects are replaced.
pub fn merge(settings: &mut Value, change: Value) {
    match (settings, change) {
        (Value::Object(settings), Value::Object(change)) => {
            for (field, value) in change {
                merge(settings.entry(field).or_insert(Value::Null), value);
            }
        }
        (settings, change) => *settings = change,
    }
}
