//! Settings files of the processes under test.

use serde_json::Value;

use crate::{error::Result, process::Process};

/// Starts a binary with settings that are written to a temporary file.
///
/// # Errors
///
/// Fails when the file cannot be written or the process cannot be started.
pub fn start(name: &str, binary: &str, settings: &Value) -> Result<Process> {
    let file = tempfile::Builder::new().suffix(".json").tempfile()?;
    std::fs::write(file.path(), settings.to_string())?;
    let mut process = Process::start(name, binary, file.path())?;
    process.keep_settings(file);
    Ok(process)
}

/// Puts the fields of `change` over those of `settings`, object by object.
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
