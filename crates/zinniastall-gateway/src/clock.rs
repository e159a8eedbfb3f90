//! A clock that keeps running while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time since the machine started, including time spent suspended.
///
/// [`std::time::Instant`] stops while a machine is suspended, so a duration that it measures can be
/// shorter than the real one.
pub type Moment = Duration;

/// Returns the current moment.
///
/// # Panics
///
/// Panics if the kernel has no `CLOCK_BOOTTIME`; Linux has had it since 2.6.39.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("the kernel has CLOCK_BOOTTIME").into()
}
