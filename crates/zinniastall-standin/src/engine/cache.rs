//! The prefix cache: digests of the prompt blocks that an engine has cached.

use indexmap::IndexSet;

/// Most digests that an announcement carries.
const MAX_ANNOUNCED_DIGESTS: usize = 512;

/// A prefix cache that evicts the least recently used blocks.
#[derive(Debug)]
pub struct Cache {
    /// Digests, least recently used first.
    blocks: IndexSet<u64>,
    max_blocks: usize,
}

impl Cache {
    /// Creates a cache that holds at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            blocks: IndexSet::new(),
            max_blocks,
        }
    }

    /// Returns how many leading blocks of a prompt are cached, then caches all of its blocks.
    pub fn lookup_and_insert(&mut self, chain: &[u64]) -> usize {
        let hits = chain
            .iter()
            .take_while(|block| self.blocks.contains(*block));
        let cached = hits.count();
        // Blocks are renewed from the last to the first, so that a prefix outlives what follows it.
        for block in chain.iter().rev() {
            self.blocks.shift_remove(block);
            self.blocks.insert(*block);
        }
        let excess = self.blocks.len().saturating_sub(self.max_blocks);
        self.blocks.drain(..excess);
        cached
    }

    /// Returns the most recently used digests, the latest last.
    pub fn newest(&self) -> Vec<u64> {
        let skipped = self.blocks.len().saturating_sub(MAX_ANNOUNCED_DIGESTS);
        self.blocks.iter().skip(skipped).copied().collect()
    }
}
