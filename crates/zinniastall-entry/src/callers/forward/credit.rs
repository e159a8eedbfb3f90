//! Credit-based flow control for responses between instances.

use std::cell::Cell;

use tokio::{sync::Notify, time::timeout};

use super::LINK_TIMEOUT;

/// Number of bytes of a response that may still be sent.
///
/// Without flow control, a slow reader at one end would grow memory at the other, or block all
/// streams of the link.
#[derive(Debug)]
pub(super) struct Credit {
    bytes: Cell<u64>,
    /// Whether the other end has received the end of the response.
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

    /// Adds bytes that the reader has consumed; zero acknowledges the end of the response.
    pub(super) fn add(&self, bytes: u64) {
        self.delivered.set(self.delivered.get() || bytes == 0);
        self.bytes.set(self.bytes.get().saturating_add(bytes));
        self.more.notify_one();
    }

    /// Waits until the end of the response is acknowledged, as long as the other end sends credit.
    pub(super) async fn delivered(&self) {
        while !self.delivered.get() {
            if timeout(LINK_TIMEOUT, self.more.notified()).await.is_err() {
                return;
            }
        }
    }

    /// Takes up to `wanted` bytes of credit, waiting until at least one is available.
    pub(super) async fn take(&self, wanted: u64) -> u64 {
        while self.bytes.get() == 0 {
            self.more.notified().await;
        }
        let taken = wanted.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - taken);
        taken
    }
}
