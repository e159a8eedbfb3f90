//! Digests: small facts about groups of instances, flooded to all instances and expired when they
//! are not renewed.
//!
//! A *maker* publishes facts about a group, such as an availability zone, as numbered items; an
//! item holds until a later one with the same key. So that an unchanged fact costs next to nothing,
//! the maker sends only what changed, and from time to time a [`Renewal`]: "everything that I have
//! sent up to this number still holds". [`Table`] keeps the newest item of each key and expires it
//! if neither it nor a renewal has arrived for a while. [`Outbox`] tracks what a link still has to
//! carry, in its newest state only, so that a slow link or a spent [`Bucket`] delays facts but
//! never queues outdated ones. [`overlay`] defines who forwards to whom.
//!
//! A renewal must never confirm an item that its receiver doesn't have. Therefore an outbox holds a
//! renewal back until all items of its maker have been sent on that link, and links must deliver in
//! order.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use zinniastall_coord::digest::{Author, Table};
//!
//! let now = Instant::now();
//! let mut author = Author::new("entry-1", 1);
//! let mut table = Table::new(Duration::from_secs(10));
//! let item = author.make("zone-a", Some(12)).expect("first value");
//! assert!(author.make("zone-a", Some(12)).is_none(), "unchanged values cost nothing");
//! assert!(table.apply(item, now));
//! assert_eq!(table.fresh(now).count(), 1);
//!
//! let later = now + Duration::from_secs(8);
//! assert!(table.renew(&author.renewal(), later));
//! assert_eq!(table.fresh(later + Duration::from_secs(8)).count(), 1);
//! assert_eq!(table.fresh(later + Duration::from_secs(11)).count(), 0);
//! ```

mod author;
mod bucket;
mod outbox;
pub mod overlay;
mod table;

pub use author::Author;
pub use bucket::Bucket;
pub use outbox::{Batch, Outbox};
pub use table::{Entry, Item, Renewal, Table};
