//! Detects targets that are silent because they are unreachable.
//!
//! A machine that loses power closes no connection: the caller would wait until the deadline
//! although another target could continue. A long prompt or a full batch also makes a target
//! silent, but is no reason to leave it. The difference is whether the target still accepts
//! connections.

use std::{io::ErrorKind, pin::pin, time::Duration};

use tokio::{net::TcpStream, time};

/// Silence after which a target is probed, repeatedly. Engines that prefill prompts between events
/// are seldom silent for longer.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Connect timeout of a probe. The target is in the same region, a few milliseconds away.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for a target that has just closed a connection to refuse another one. A round trip
/// between zones of a region takes a few milliseconds, and the request's next attempt is delayed
/// meanwhile.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(30);
/// Probes that have to fail in a row, since single packets get lost.
const PROBE_ATTEMPTS: usize = 2;

/// Waits for a target's work; returns `None` once the target is silent and unreachable.
pub(super) async fn until_unreachable<T>(
    work: impl Future<Output = T>,
    address: &str,
) -> Option<T> {
    let mut work = pin!(work);
    loop {
        tokio::select! {
            biased;
            done = &mut work => return Some(done),
            () = time::sleep(SILENCE_TIMEOUT) => {}
        }
        tokio::select! {
            biased;
            done = &mut work => return Some(done),
            is_up = is_reachable(address) => if !is_up {
                return None;
            }
        }
    }
}

/// Returns whether a target is up: it either accepts or refuses connections.
async fn is_reachable(address: &str) -> bool {
    for _ in 0..PROBE_ATTEMPTS {
        if time::timeout(PROBE_TIMEOUT, TcpStream::connect(address))
            .await
            .is_ok()
        {
            return true;
        }
    }
    false
}

/// Returns whether an address refuses connections: the machine is up, but the listening process has
/// ended.
pub(super) async fn is_refused(address: &str) -> bool {
    let connected = time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
