//! The prefix cache: digests of the prompt blocks that an engine holds, least recently used first.

use indexmap::IndexSet;

/// Digests that an announcement carries at most, newest last.
const PUBLISHED: usize = 512;

/// A prefix cache of limited memory.
#[derive(Debug)]
pub struct Cache {
    blocks: IndexSet<u64>,
    limit: usize,
}

impl Cache {
    /// Creates a cache that holds `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            blocks: IndexSet::new(),
            limit,
        }
    }

    /// Returns how many leading blocks of a prompt are held, then holds all of it.
    pub fn use_chain(&mut self, chain: &[u64]) -> usize {
        let held = chain
            .iter()
            .take_while(|block| self.blocks.contains(*block));
        let cached = held.count();
        // Blocks become the newest, last ones first, so that a prefix outlives what follows it.
        for block in chain.iter().rev() {
            self.blocks.shift_remove(block);
            self.blocks.insert(*block);
        }
        let surplus = self.blocks.len().saturating_sub(self.limit);
        self.blocks.drain(..surplus);
        cached
    }

    /// Returns the newest digests, newest last.
    pub fn newest(&self) -> Vec<u64> {
        let skipped = self.blocks.len().saturating_sub(PUBLISHED);
        self.blocks.iter().skip(skipped).copied().collect()
    }
}
