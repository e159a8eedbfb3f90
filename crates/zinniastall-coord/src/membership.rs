//! Membership: which of the other instances are alive, judged by evidence in both directions.
//!
//! Each instance counts its heartbeats and sends one a period to every peer. A heartbeat echoes the
//! newest one that its sender has heard from the receiver. An instance that reads the echo of its
//! own heartbeat 7 knows that heartbeat 7 arrived and that the answer came back, so the peer was
//! alive after heartbeat 7 was sent. How long ago that was is the *staleness* of the evidence, and
//! it is the only thing that [`Roster`] judges: a frozen peer, a peer that hears but isn't heard
//! and one that is heard but doesn't hear all stop the evidence the same way.
//!
//! The longest staleness that is still believed comes from a [`Window`] over the recent ones, so
//! that a slow link isn't taken for a dead peer.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use zinniastall_coord::membership::{Config, Roster};
//!
//! let start = Instant::now();
//! let mut a = Roster::new("a", 1, Config::default(), start);
//! let mut b = Roster::new("b", 1, Config::default(), start);
//! for step in 0..8 {
//!     let now = start + Duration::from_millis(500) * step;
//!     a.tick(now);
//!     b.tick(now);
//!     let (to_b, to_a) = (a.heartbeat(&"b"), b.heartbeat(&"a"));
//!     b.hear(&"a", to_b, now);
//!     a.hear(&"b", to_a, now);
//! }
//! let now = start + Duration::from_millis(4_000);
//! assert!(a.is_alive(&"b", now));
//! assert!(!a.is_alive(&"b", now + Duration::from_secs(60)));
//! ```

mod roster;
mod window;

pub use roster::{Bounds, Config, Echo, Heard, Heartbeat, Incarnation, Roster, Sequence};
pub use window::Window;
