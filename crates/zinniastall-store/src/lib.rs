//! Write-ahead log and snapshots in a data folder.
//!
//! A [`Store`] holds the durable state of a [`Replica`](zinniastall_coord::Replica): its identity,
//! its term and vote, its log and its latest snapshot. State is durable once [`Store::save`] has
//! returned; each batch is synced once, whatever its size.
//!
//! ```
//! use zinniastall_store::Store;
//!
//! # fn main() -> Result<(), zinniastall_store::Error> {
//! # let folder = tempfile::tempdir().expect("a temporary folder");
//! let (store, restored) = Store::open(folder.path())?;
//! assert_ne!(store.id(), 0);
//! assert!(restored.cluster.is_none(), "a new folder belongs to no cluster yet");
//! # Ok(())
//! # }
//! ```
//!
//! A folder contains the files `lock` and `identity`, the log segments `log-…` and, once one has
//! been stored, a `snapshot-…`. `docs/design/store.md` describes their format and how each kind of
//! damage is handled.

mod error;
mod folder;
mod identity;
mod journal;
mod record;
mod segment;
mod snapshot;
mod store;
mod tail;

pub use error::{Damage, Error};
pub use store::{Options, Store};
