//! Identification of the running process.

use std::{net::SocketAddr, time::SystemTime};

/// Returns a number for this run of the process: the current time in milliseconds since the Unix
/// epoch.
///
/// It is higher than that of earlier runs unless the clock was set back.
pub fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Logs a bound address, which is not known in advance if the settings say port 0.
pub fn listening(role: &str, address: SocketAddr) {
    tracing::info!(event = "listening", role, address = %address);
}
