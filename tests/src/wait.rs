//! Polling until a condition holds.

use std::time::{Duration, Instant};

use crate::error::{Error, Result};

/// Default limit of a wait; generous because test machines are often overloaded.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `probe` returns a value, for at most [`TIMEOUT`].
///
/// # Errors
///
/// Returns [`Error::Timeout`] with `what` if the condition is not met in time.
pub async fn until<T>(what: &str, probe: impl AsyncFnMut() -> Option<T>) -> Result<T> {
    within(TIMEOUT, what, probe).await
}

/// Waits until `probe` returns a value, for at most `timeout`.
///
/// # Errors
///
/// Returns [`Error::Timeout`] with `what` if the condition is not met in time.
pub async fn within<T>(
    timeout: Duration,
    what: &str,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        if start.elapsed() > timeout {
            let what = what.to_owned();
            return Err(Error::Timeout { what, timeout });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
