//! Tickets: work that may run at most once.
//!
//! A caller who loses an answer cannot know whether its request ran. A ticket makes the resend
//! safe. [`Issuer`] makes tickets without keeping any state: a ticket names its issuer and carries
//! a message authentication code. The issuer alone may run a ticket's request, and it enters the
//! ticket in its [`Registry`] before the first byte leaves for a target. A second arrival finds the
//! mark and joins the first, or gets its recorded end.
//!
//! The key is made per run of the issuer's process. After a restart the marks are gone; the old
//! tickets then fail with [`Invalid::OtherIssuer`] instead of running a second time.
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
