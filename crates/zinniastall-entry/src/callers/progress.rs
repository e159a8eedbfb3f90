//! Counts requests in progress, so that a shutdown knows when it is safe to stop.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Counts requests in progress across all threads.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    count: Arc<AtomicU64>,
}

/// Counts one request until dropped.
#[derive(Debug)]
pub struct Started {
    count: Arc<AtomicU64>,
}

impl Progress {
    /// Starts counting a request.
    pub fn start(&self) -> Started {
        self.count.fetch_add(1, Ordering::SeqCst);
        Started {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the number of requests in progress.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
