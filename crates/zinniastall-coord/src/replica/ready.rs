//! What the embedder has to store, send and apply.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message::Message;
use super::snapshot::Snapshot;
use super::{Cluster, Id, Index, Term};
use crate::log::{Entry, Payload};
use crate::voters::Voters;

/// What a replica must remember of elections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Replica voted for in that term.
    pub vote: Option<Id>,
}

/// What the store gave back when the process started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Cluster that the data folder belongs to, if any.
    pub cluster: Option<Cluster>,
    /// Term and vote.
    pub hard: HardState,
    /// Latest whole snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// Creates the state with which one replica founds a cluster of its own.
    ///
    /// The embedder stores and syncs it before it builds the replica, and does so once in the life
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

/// One batch of work for the embedder.
///
/// The order is: store `cluster`, `install`, `truncate_from`, `append` and `hard`, and sync them
/// together; send `messages`; restore the state from `install`, then apply `committed` in order;
/// then call [`Replica::synced`](super::Replica::synced) with `batch`. Messages that promise
/// something which must survive a restart are held back until then and come with a later batch.
/// Sending before the sync is permitted, since `messages` holds only what promises nothing new.
#[derive(Debug, Default)]
pub struct Ready {
    /// Number to hand to [`Replica::synced`](super::Replica::synced).
    pub batch: u64,
    /// Cluster that this replica has joined, to be recorded for good.
    pub cluster: Option<Cluster>,
    /// Term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Snapshot that takes the place of the whole log.
    pub install: Option<Arc<Snapshot>>,
    /// First place to drop from the log before the append.
    pub truncate_from: Option<Index>,
    /// Entries to append.
    pub append: Vec<Entry>,
    /// Entries to apply, each handed out once, in order, without gaps.
    pub committed: Vec<Entry>,
    /// Messages to send now.
    pub messages: Vec<(Id, Message)>,
}

impl Ready {
    /// Tells whether anything has to be stored and synced.
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
