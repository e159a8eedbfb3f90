//! Detects targets that are silent because they are unreachable.
//!
//! A machine that loses power closes no connection: the caller would wait until the deadline
//! although another target could continue. A long prompt or a full batch also makes a target
//! silent, but is no reason to leave it. The difference is whether the target still accepts
//! connections.

use std::{pin::pin, time::Duration};

use tokio::{net::TcpStream, time};

/// Silence after which a target is probed, repeatedly. Engines that prefill prompts between events
/// are seldom silent for longer.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Connect timeout of a probe. The target is in the same region, a few milliseconds away.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
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
