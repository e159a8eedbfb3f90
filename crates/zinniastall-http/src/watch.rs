//! Waiting for work that may have become hopeless.

use std::{pin::pin, time::Duration};

use tokio::time;

/// Waits for work, and checks at an interval whether it is hopeless; returns `None` if it is.
///
/// `interval` is called for each wait, so that it may change meanwhile.
pub async fn until<T>(
    work: impl Future<Output = T>,
    interval: impl Fn() -> Duration,
    is_hopeless: impl Fn() -> bool,
) -> Option<T> {
    let mut work = pin!(work);
    loop {
        tokio::select! {
            biased;
            done = &mut work => return Some(done),
            () = time::sleep(interval()) => {}
        }
        if is_hopeless() {
            return None;
        }
    }
}
