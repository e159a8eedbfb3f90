//! Reachability of targets, as one of many instances sees it and as the others confirm it.
//!
//! A target that does not answer may be down, or this instance may be cut off from it while others
//! are not (a partial network partition). One instance alone cannot tell the two apart, so it asks
//! its neighbours for evidence:
//!
//! - [`Paths`] holds the state of the path from this instance to each target. Requests and probes are
//!   the evidence. A lost path is probed in the background, so that no request pays for it.
//! - A *voucher* is a neighbour's statement of when it last heard from a target itself. It is never
//!   passed on as one's own, so that two instances that are both cut off can't convince each other.
//! - [`Paths::route`] is the one rule by which a request reaches a target: directly, by a neighbour
//!   that vouches for it, or not at all. A request that a neighbour handed on goes directly or not at
//!   all, so there are no loops.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use zinniastall_coord::reach::{Change, Paths, Probe, Route};
//!
//! let now = Instant::now();
//! let mut paths = Paths::default();
//! assert_eq!(paths.route("engine-1", now, |_| true), Route::Direct);
//! assert_eq!(paths.failed("engine-1", now), Change::Lost);
//! assert!(matches!(paths.route("engine-1", now, |_| true), Route::None { .. }));
//! paths.vouch("engine-1", "edge-2", Duration::ZERO, now);
//! assert_eq!(paths.route("engine-1", now, |_| true), Route::Detour(vec!["edge-2"]));
//! assert_eq!(paths.probed("engine-1", Probe::Answered, now), Change::Back);
//! assert_eq!(paths.route("engine-1", now, |_| true), Route::Direct);
//! ```

mod path;
mod paths;

use std::time::{Duration, Instant};

use path::LATER_MARGIN;
pub use path::{Probe, State};
pub use paths::{Change, Paths, Route};

/// Age up to which hearing from a target shows that it is reached.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(1);
/// Interval of the questions to neighbours while a path is not open.
pub const QUESTION_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a neighbour's voucher expires that was not repeated: several datagrams were lost,
/// or the neighbour has lost its path as well.
pub const VOUCHER_TTL: Duration = Duration::from_millis(700);
/// Silence of a target that is reached by nobody after which requests stop waiting for it. A target
/// that pauses for a second goes on with its requests.
pub const DARK_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Returns the longest age of the evidence that neighbours are asked for. `crashed_at` is when the target
/// may have crashed: what they heard before, or too soon after to tell, says nothing, and would keep them
/// from probing it.
pub fn longest_age(crashed_at: Option<Instant>, now: Instant) -> Duration {
    crashed_at.map_or(EVIDENCE_TTL, |at| {
        now.saturating_duration_since(at)
            .saturating_sub(LATER_MARGIN)
    })
}
