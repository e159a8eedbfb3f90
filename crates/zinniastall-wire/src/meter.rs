//! Traffic counters of links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the messages and bytes of all links that share it, in both directions.
///
/// Only the bytes of frames are counted; the transport adds about 70 bytes of headers per packet.
#[derive(Debug, Default)]
pub struct Meter {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
}

/// Counts of a meter since its creation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

impl Meter {
    /// Counts a sent frame.
    pub fn sent(&self, bytes: usize) {
        add(&self.sent_messages, &self.sent_bytes, bytes);
    }

    /// Counts a received frame.
    pub fn received(&self, bytes: usize) {
        add(&self.received_messages, &self.received_bytes, bytes);
    }

    /// Returns the current counts.
    pub fn count(&self) -> Count {
        Count {
            sent_messages: self.sent_messages.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_messages: self.received_messages.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }
}

impl Count {
    /// Returns the difference to an earlier count of the same meter.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            sent_messages: self.sent_messages.saturating_sub(earlier.sent_messages),
            sent_bytes: self.sent_bytes.saturating_sub(earlier.sent_bytes),
            received_messages: self
                .received_messages
                .saturating_sub(earlier.received_messages),
            received_bytes: self.received_bytes.saturating_sub(earlier.received_bytes),
        }
    }
}

fn add(messages: &AtomicU64, total: &AtomicU64, bytes: usize) {
    messages.fetch_add(1, Ordering::Relaxed);
    total.fetch_add(u64::try_from(bytes).unwrap_or(u64::MAX), Ordering::Relaxed);
}
