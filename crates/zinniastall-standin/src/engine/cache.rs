//! The prefix cache: digests of the prompt blocks that an engine holds, least recently used first.

use indexmap::IndexSet;

/// Digests that an announcement carries at most, newest last.
const MAX_ANNOUNCED_DIGESTS: usize = 512;

/// A prefix cache of limited memory.
#[derive(Debug)]
pub struct Cache {
    blocks: IndexSet<u64>,
    max_blocks: usize,
}

impl Cache {
    /// Creates a cache that holds `limit` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            blocks: IndexSet::new(),
            max_blocks,
        }
    }

    /// Returns how many leading blocks of a prompt are held, then holds all of it.
    pub fn lookup_and_insert(&mut self, chain: &[u64]) -> usize {
        let hits = chain
            .iter()
            .take_while(|block| self.blocks.contains(*block));
        let cached = hits.count();
        // Blocks become the newest, last ones first, so that a prefix outlives what follows it.
        for block in chain.iter().rev() {
            self.blocks.shift_remove(block);
            self.blocks.insert(*block);
        }
        let excess = self.blocks.len().saturating_sub(self.max_blocks);
        self.blocks.drain(..excess);
        cached
    }

    /// Returns the newest digests, newest last.
    pub fn newest(&self) -> Vec<u64> {
        let skipped = self.blocks.len().saturating_sub(MAX_ANNOUNCED_DIGESTS);
        self.blocks.iter().skip(skipped).copied().collect()
    }
}
