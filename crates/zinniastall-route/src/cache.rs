//! Estimate of the prefixes that a target has cached.
//!
//! Cache events arrive late, so prompts that were recently sent to a target count as cached there
//! before it reports them.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

/// Number of blocks of own requests remembered per target, exceeded by less than
/// [`MIN_EVICTION_BATCH`].
const MAX_RECENT_BLOCKS: usize = 4096;
/// Minimum number of blocks evicted at once.
const MIN_EVICTION_BATCH: usize = 512;
/// How long a block that was sent to a target counts as cached there without a report. By then a
/// report includes it, or the target has evicted it: after a longer time, every target would seem
/// to have cached every prompt.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(2);
/// Weight of a reported block while cache events are missing.
const UNSURE_BLOCK_WEIGHT: f64 = 0.5;

/// Prefixes that a target is expected to have cached.
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

    /// Applies the prefixes of a report, and whether cache events were missed.
    pub(crate) fn update(&mut self, prefixes: &[u64], gap: bool) {
        self.reported = prefixes.iter().copied().collect();
        self.gap = gap;
    }

    /// Records a prompt that is sent to the target.
    pub(crate) fn record_sent(&mut self, prefixes: &[u64], now: Instant) {
        // The first blocks are the ones shared with other prompts, so they become the newest.
        for digest in prefixes.iter().rev() {
            self.recent.shift_remove(digest);
            self.recent.insert(*digest, now);
        }
        let fresh = |sent: &Instant| now.saturating_duration_since(*sent) < MAX_REPORT_DELAY;
        let expired = self.recent.values().take_while(|sent| !fresh(sent)).count();
        let surplus = self.recent.len().saturating_sub(MAX_RECENT_BLOCKS);
        let evicted = surplus.max(expired);
        // Draining the front moves all remaining entries, so removing one costs as much as removing
        // hundreds, while all request threads wait. `leading_blocks` ignores expired entries.
        if evicted >= MIN_EVICTION_BATCH {
            self.recent.drain(..evicted);
        }
    }

    /// Returns how many leading blocks of a prompt are cached; uncertain ones count as a fraction.
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
