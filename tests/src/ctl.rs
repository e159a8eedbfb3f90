//! Runs the operators' command line, `zinniastall-ctl`.

use std::{net::SocketAddr, process::Command};

use serde_json::Value;

use crate::{
    binary,
    error::{Error, Result},
};

/// Exit code and output of one run of the command line.
#[derive(Debug, Clone)]
pub struct Run {
    /// Exit code; `None` if a signal ended the process.
    pub code: Option<i32>,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl Run {
    /// Returns the JSON on standard output regardless of the exit code, or null if there is none.
    pub fn answer(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_default()
    }

    /// Returns the JSON on standard output of a successful run.
    ///
    /// # Errors
    ///
    /// Fails if the exit code is not zero or the output is not JSON.
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

/// Runs `zinniastall-ctl` with these arguments against the given control replicas.
///
/// # Errors
///
/// Fails if the binary cannot be run. A rejected command is not an error but a [`Run`] with a
/// non-zero exit code.
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
