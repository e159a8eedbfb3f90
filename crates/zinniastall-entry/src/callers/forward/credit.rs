//! Credit: how much of an answer its sender may still send.

use std::cell::Cell;

use tokio::sync::Notify;

/// How much of an answer its sender may still send.
///
/// Without it a slow reader on one side would make the other side's memory grow, or would stop all
/// streams of the link.
#[derive(Debug)]
pub(super) struct Credit {
    bytes: Cell<u64>,
    more: Notify,
}

impl Credit {
    pub(super) fn new(bytes: u64) -> Self {
        Self {
            bytes: Cell::new(bytes),
            more: Notify::new(),
        }
    }

    /// Adds what the reader has taken.
    pub(super) fn add(&self, bytes: u64) {
        self.bytes.set(self.bytes.get().saturating_add(bytes));
        self.more.notify_one();
    }

    /// Takes up to `wanted` bytes, and waits until there is at least one.
    pub(super) async fn take(&self, wanted: u64) -> u64 {
        while self.bytes.get() == 0 {
            self.more.notified().await;
        }
        let taken = wanted.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - taken);
        taken
    }
}
