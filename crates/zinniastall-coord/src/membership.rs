//! Membership: failure detection by heartbeats with evidence for both directions of a link.
//!
//! Each instance numbers its heartbeats and sends one per period to every peer. A heartbeat echoes
//! the newest one that its sender has received from the receiver. An instance that reads the echo
//! of its own heartbeat 7 knows that heartbeat 7 arrived and that an answer came back, so the peer
//! was alive after heartbeat 7 was sent. The time since then is the *staleness* of the evidence,
//! and [`Roster`] judges nothing else: a frozen peer, a peer that receives but can't be heard, and
//! a peer that can be heard but doesn't receive all stop the evidence in the same way.
//!
//! The longest staleness at which a peer still counts as alive comes from a [`Window`] over recent
//! samples, so that a slow link isn't taken for a dead peer.
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
