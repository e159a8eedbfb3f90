//! Write-ahead log and snapshots of one data folder.
//!
//! A [`Store`] keeps what a [`Replica`](zinniastall_coord::Replica) must not forget: its identity,
//! its term and vote, its log and its latest snapshot. Nothing counts as stored before
//! [`Store::save`] has returned, and each call syncs once, however much it stores.
//!
//! ```
//! use zinniastall_store::Store;
//!
//! # fn main() -> Result<(), zinniastall_store::Fault> {
//! # let folder = tempfile::tempdir().expect("a temporary folder");
//! let (store, restored) = Store::open(folder.path())?;
//! assert_ne!(store.id(), 0);
//! assert!(restored.cluster.is_none(), "a new folder belongs to no cluster yet");
//! # Ok(())
//! # }
//! ```
//!
//! A folder holds `lock`, `identity`, segments of the log `log-…` and one `snapshot-…`.
//! `docs/design/store.md` describes their form and what each kind of damage leads to.

mod fault;
mod folder;
mod identity;
mod journal;
mod record;
mod segment;
mod snapshot;
mod store;
mod tail;

pub use fault::{Damage, Fault};
pub use store::{Options, Store};
