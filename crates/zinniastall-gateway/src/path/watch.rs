//! Notices that a target is silent because it can't be reached any more.
//!
//! A machine that loses power closes no connection: nothing comes any more, and a caller would wait for its
//! answer until the deadline, though another target could go on with it. A long prompt or a full batch makes a
//! target silent as well, and is no reason to leave it. What tells the two apart is whether the target still
//! takes connections.

use std::{io::ErrorKind, pin::pin, time::Duration};

use tokio::{net::TcpStream, time};

/// Silence after which a target is probed, and probed again. Engines that read prompts between events are seldom
/// silent for longer.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait for a connection to a target of the same region, whose round trip is a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for a target that has just closed a connection to refuse another one. A round trip between zones of a
/// region takes a few milliseconds, and the request's next attempt waits for it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(30);
/// Probes that have to fail in a row, since single packets are lost.
const PROBE_ATTEMPTS: usize = 2;

/// Waits for what a target does; returns nothing once it is silent and can't be reached.
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

/// Tells whether a target takes or refuses connections: one that refuses them is there.
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

/// Tells whether nothing listens at an address any more: the machine is there, and the process that listened has
/// ended.
pub(super) async fn is_refused(address: &str) -> bool {
    let connected = time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
