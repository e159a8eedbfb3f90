//! Credit: how much of an answer its sender may still send.

use std::cell::Cell;

use tokio::{sync::Notify, time::timeout};

use super::LINK_TIMEOUT;

/// How much of an answer its sender may still send.
///
/// Without it a slow reader on one side would make the other side's memory grow, or would stop all
/// streams of the link.
#[derive(Debug)]
pub(super) struct Credit {
    bytes: Cell<u64>,
    /// Whether the other end has read the end of the answer.
    delivered: Cell<bool>,
    more: Notify,
}

impl Credit {
    pub(super) fn new(bytes: u64) -> Self {
        Self {
            bytes: Cell::new(bytes),
            delivered: Cell::new(false),
            more: Notify::new(),
        }
    }

    /// Adds what the reader has taken; nothing means that the end of the answer has arrived.
    pub(super) fn add(&self, bytes: u64) {
        self.delivered.set(self.delivered.get() || bytes == 0);
        self.bytes.set(self.bytes.get().saturating_add(bytes));
        self.more.notify_one();
    }

    /// Waits until the end of the answer has arrived, as long as the other end shows life.
    pub(super) async fn delivered(&self) {
        while !self.delivered.get() {
            if timeout(LINK_TIMEOUT, self.more.notified()).await.is_err() {
                return;
            }
        }
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
