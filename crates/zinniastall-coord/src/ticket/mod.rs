//! Tickets for work that may run at most once.
//!
//! A caller that loses an answer can't know whether its request ran. A ticket makes a resend safe.
//! [`Issuer`] creates tickets without keeping any state: a ticket names its issuer and carries a
//! message authentication code. Only the issuer may run a ticket's request, and it records the
//! ticket in its [`Registry`] before the first byte is sent to a target. A second arrival finds
//! that record and joins the first run, or gets its recorded result.
//!
//! The key is created anew for each run of the issuer's process. A restart loses the registry; the
//! old tickets then fail with [`Invalid::OtherIssuer`] instead of running a second time.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use zinniastall_coord::ticket::{Address, Issuer};
//!
//! let address = Address::new("patras", "a", "patras-a-1", 7);
//! let issuer = Issuer::new(address, [3; 32], Duration::from_secs(60));
//! let ticket = issuer.issue(Duration::from_secs(5), 42);
//! assert!(issuer.check(&ticket, Duration::from_secs(6)).is_ok());
//! assert!(issuer.check(&ticket, Duration::from_secs(66)).is_err());
//! ```

mod issuer;
mod registry;

pub use issuer::{Address, Invalid, Issuer, Ticket};
pub use registry::{Entry, Redemption, Registry, Use};
