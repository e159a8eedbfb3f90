//! Work for the embedder: what to store, send and apply.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message::Message;
use super::snapshot::Snapshot;
use super::{Cluster, Id, Index, Term};
use crate::log::{Entry, Payload};
use crate::voters::Voters;

/// State that must survive a restart besides the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Replica that got this replica's vote in that term.
    pub vote: Option<Id>,
}

/// State read from the store when the process starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Cluster that the data folder belongs to, if any.
    pub cluster: Option<Cluster>,
    /// Term and vote.
    pub hard: HardState,
    /// Latest complete snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// Creates the initial state of a cluster that a single replica founds.
    ///
    /// The embedder stores and syncs it before it builds the replica. It does so once in the life
    /// of a cluster, on an operator's explicit order.
    pub fn founding(cluster: Cluster, id: Id, address: impl Into<String>) -> Self {
        let voters = Voters::founding(id, address);
        Self {
            cluster: Some(cluster),
            hard: HardState {
                term: 1,
                vote: Some(id),
            },
            snapshot: None,
            entries: vec![Entry {
                term: 1,
                index: 1,
                payload: Payload::Voters(voters),
            }],
        }
    }
}

/// A batch of work for the embedder.
///
/// The order is: store `cluster`, `install`, `truncate_from`, `append` and `hard`, and sync them
/// together; send `messages`; restore the state from `install`, then apply `committed` in order;
/// then call [`Replica::synced`](super::Replica::synced) with `batch`. Messages that promise
/// something which must survive a restart are held back until then and come with a later batch.
/// `messages` holds only messages that promise nothing new, so they may be sent before the sync.
#[derive(Debug, Default)]
pub struct Ready {
    /// Number to pass to [`Replica::synced`](super::Replica::synced).
    pub batch: u64,
    /// Cluster that this replica has joined, to be stored permanently.
    pub cluster: Option<Cluster>,
    /// Term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Snapshot that replaces the whole log.
    pub install: Option<Arc<Snapshot>>,
    /// First index to remove from the log before `append`.
    pub truncate_from: Option<Index>,
    /// Entries to append.
    pub append: Vec<Entry>,
    /// Entries to apply, each returned once, in order, without gaps.
    pub committed: Vec<Entry>,
    /// Messages to send now.
    pub messages: Vec<(Id, Message)>,
}

impl Ready {
    /// Returns whether anything has to be stored and synced.
    pub fn needs_sync(&self) -> bool {
        self.cluster.is_some()
            || self.hard.is_some()
            || self.install.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
    }

    pub(super) fn is_empty(&self) -> bool {
        !self.needs_sync() && self.committed.is_empty() && self.messages.is_empty()
    }
}
