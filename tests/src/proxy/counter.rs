//! A counter that tasks of a proxy increment and tests read.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// A counter shared by its clones.
#[derive(Debug, Clone, Default)]
pub(super) struct Counter {
    count: Arc<AtomicU64>,
}

impl Counter {
    pub(super) fn increment(&self) {
        self.count.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }
}
