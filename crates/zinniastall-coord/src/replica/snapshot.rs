//! Snapshots: the state as of one entry, which replaces all entries up to it.

use serde::{Deserialize, Serialize};

use super::message::Chunk;
use crate::log::Position;
use crate::voters::Voters;

/// The embedder's state as of one entry, opaque to the replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the state covers.
    pub last: Position,
    /// Voters as of that entry.
    pub voters: Voters,
    /// The embedder's state.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

impl Snapshot {
    pub(super) fn size(&self) -> u64 {
        self.data.len() as u64
    }

    /// Returns the chunk at an offset; it is shorter at the end of the snapshot and empty beyond
    /// it.
    pub(super) fn chunk(&self, round: u64, offset: u64, bytes: usize) -> Chunk {
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(self.data.len());
        let end = start.saturating_add(bytes).min(self.data.len());
        Chunk {
            round,
            last: self.last,
            voters: self.voters.clone(),
            total: self.size(),
            offset: start as u64,
            data: self.data[start..end].to_vec(),
        }
    }
}

/// A snapshot of which chunks are still missing.
#[derive(Debug)]
pub(super) struct Reassembly {
    total: u64,
    snapshot: Snapshot,
}

impl Reassembly {
    /// Starts with the first chunk; returns `None` for any other.
    pub(super) fn start(chunk: &Chunk) -> Option<Self> {
        (chunk.offset == 0).then(|| Self {
            total: chunk.total,
            snapshot: Snapshot {
                last: chunk.last,
                voters: chunk.voters.clone(),
                data: Vec::new(),
            },
        })
    }

    pub(super) fn matches(&self, chunk: &Chunk) -> bool {
        self.snapshot.last == chunk.last && self.total == chunk.total
    }

    /// Appends the chunk that comes next; ignores duplicate and early ones.
    pub(super) fn append(&mut self, chunk: &Chunk) {
        let fits = self.received() + chunk.data.len() as u64 <= self.total;
        if chunk.offset == self.received() && fits {
            self.snapshot.data.extend_from_slice(&chunk.data);
        }
    }

    pub(super) fn received(&self) -> u64 {
        self.snapshot.size()
    }

    pub(super) fn is_complete(&self) -> bool {
        self.received() == self.total
    }

    pub(super) fn into_snapshot(self) -> Snapshot {
        self.snapshot
    }
}
