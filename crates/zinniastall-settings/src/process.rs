//! What every daemon says of its own process.

use std::{net::SocketAddr, time::SystemTime};

/// Makes a number for this run that is higher than earlier ones as long as the clock was not set
/// back; in milliseconds since the epoch.
pub fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Reports a bound address: with port 0 nobody could know it otherwise.
pub fn listening(role: &str, address: SocketAddr) {
    tracing::info!(event = "listening", role, address = %address);
}
