//! What an instance knows of a target's cache.
//!
//! Cache events come late: prompts that were sent to a target lately count as cached there before it
//! says so.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

/// Blocks of own requests that are remembered for each target.
const MAX_RECENT_BLOCKS: usize = 4096;
/// Prefixes that are forgotten at once.
const EVICTION_BATCH: usize = 512;
/// Time for which a block that was sent to a target counts as cached there before it says so. By
/// then a report has it, or the target has dropped it again: remembering it for longer makes every
/// target look warm for every prompt.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(2);
/// Worth of a cached block while cache events are missing.
const UNSURE_BLOCK_WEIGHT: f64 = 0.5;

/// What is known of a target's cache.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cache {
    reported: HashSet<u64>,
    gap: bool,
    recent: IndexMap<u64, Instant>,
}

impl Cache {
    pub(crate) fn new(prefixes: &[u64], gap: bool) -> Self {
        let mut cache = Self::default();
        cache.update(prefixes, gap);
        cache
    }

    /// Takes note of the prefixes that a report names, and whether cache events were missed.
    pub(crate) fn update(&mut self, prefixes: &[u64], gap: bool) {
        self.reported = prefixes.iter().copied().collect();
        self.gap = gap;
    }

    /// Takes note of a prompt that is sent there.
    pub(crate) fn record_sent(&mut self, prefixes: &[u64], now: Instant) {
        // The first blocks are the ones that others share, so they become the newest.
        for digest in prefixes.iter().rev() {
            self.recent.shift_remove(digest);
            self.recent.insert(*digest, now);
        }
        let fresh = |sent: &Instant| now.saturating_duration_since(*sent) < MAX_REPORT_DELAY;
        let expired = self.recent.values().take_while(|sent| !fresh(sent)).count();
        let surplus = self.recent.len().saturating_sub(MAX_RECENT_BLOCKS);
        let evicted = surplus.max(expired);
        // Taking some from the front moves all that stay, as much work for one as for hundreds, and
        // all traffic threads wait for it. What is old meanwhile counts for nothing, see `leading`.
        if evicted >= EVICTION_BATCH {
            self.recent.drain(..evicted);
        }
    }

    /// Returns how many leading blocks of a prompt are cached; a fraction where that is unsure.
    #[expect(clippy::cast_precision_loss, reason = "at most a few hundred blocks")]
    pub(crate) fn leading_blocks(&self, chain: &[u64], now: Instant) -> f64 {
        let fresh = |sent: &Instant| now.saturating_duration_since(*sent) < MAX_REPORT_DELAY;
        let known = |digest: &&u64| {
            let recent = self.recent.get(*digest).is_some_and(fresh);
            recent || (!self.gap && self.reported.contains(*digest))
        };
        let known = chain.iter().take_while(known).count();
        if !self.gap {
            return known as f64;
        }
        let unsure = chain[known..].iter();
        let unsure = unsure.take_while(|digest| self.reported.contains(*digest));
        unsure.count() as f64 * UNSURE_BLOCK_WEIGHT + known as f64
    }
}
