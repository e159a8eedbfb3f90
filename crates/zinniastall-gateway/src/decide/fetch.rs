//! Whether a target copies a prompt's shared parts from another one before it reads.
//!
//! Load that this answers: a region's engines share the prompts of a few hundred beginnings. Where the engine
//! that holds a beginning has a queue, the prompt goes to another one, which would read the beginning again.
//! Copying it takes a hundredth of that time.

use std::time::Duration;

/// What one target is expected to hold of a prompt, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// What was sent there by this instance.
    pub known: u64,
    /// That, or what others are expected to have sent there.
    pub expected: u64,
}

/// How memory of prompts is copied between the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Bytes of a token's memory.
    pub token_bytes: u64,
    /// Rate between two targets, in megabits a second; 0 where they can't copy.
    pub mbps: u64,
}

impl Link {
    /// Returns the time to copy some tokens.
    pub fn time(&self, tokens: u64) -> Duration {
        let bits = tokens.saturating_mul(self.token_bytes).saturating_mul(8);
        Duration::from_micros(bits / self.mbps.max(1))
    }
}

/// Part of the time to read that copying may take. Links are shared, and who holds what is a guess.
const MIN_SPEEDUP: u32 = 4;
/// Fewest tokens that are copied: a copy costs some milliseconds to set up, in which 200 tokens are read.
const MIN_TOKENS: u64 = 500;

/// Chooses the target from which `chosen` copies what it lacks; `read` is the time to read so many tokens.
pub fn source(
    holders: &[Holder],
    chosen: usize,
    link: Link,
    read: impl Fn(u64) -> Duration,
) -> Option<usize> {
    let own = holders[chosen].known;
    let others = (0..holders.len()).filter(|at| *at != chosen);
    let best = others.max_by_key(|at| (holders[*at].expected, holders[*at].known))?;
    let missing = holders[best].expected.saturating_sub(own);
    let is_worthwhile = link.mbps > 0 && link.time(missing) * MIN_SPEEDUP <= read(missing);
    (missing >= MIN_TOKENS && is_worthwhile).then_some(best)
}
