//! Runs the operators' command line.

use std::{net::SocketAddr, process::Command};

use serde_json::Value;

use crate::{
    binary,
    error::{Error, Result},
};

/// What one run of the command line gave.
#[derive(Debug, Clone)]
pub struct Run {
    /// Exit code; `None` when a signal ended it.
    pub code: Option<i32>,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl Run {
    /// Returns the JSON on standard output, whatever the exit code; null when there is none.
    pub fn answer(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_default()
    }

    /// Returns the JSON on standard output.
    ///
    /// # Errors
    ///
    /// Fails when the run was not accepted or printed no JSON.
    pub fn json(&self) -> Result<Value> {
        if self.code != Some(0) {
            return Err(Error::Ctl {
                code: self.code,
                output: format!("{}{}", self.output, self.errors),
            });
        }
        Ok(serde_json::from_str(&self.output)?)
    }
}

/// Runs `zinniastall-ctl` with these arguments against some control replicas.
///
/// # Errors
///
/// Fails when the binary is not built; a refusal is a [`Run`] with its exit code.
pub async fn run(addresses: &[SocketAddr], arguments: &[&str]) -> Result<Run> {
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut command = Command::new(binary::path("zinniastall-ctl")?);
    command.arg("--address").arg(list.join(",")).args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output())
        .await
        .map_err(std::io::Error::other)??;
    Ok(Run {
        code: output.status.code(),
        output: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}
