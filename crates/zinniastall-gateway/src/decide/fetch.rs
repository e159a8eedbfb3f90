//! Decides whether a target fetches the KV cache of a prompt's shared prefix from another target.
//!
//! The engines of a region share the prompts of a few hundred prefixes. If the engine that has a
//! prefix cached is busy, the prompt goes to another engine, which would prefill the prefix again.
//! Copying its cache takes a hundredth of that time.

use std::time::Duration;

/// Tokens of a prompt that one target is expected to have cached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holder {
    /// Tokens that this instance sent there.
    pub known: u64,
    /// Those, or the tokens that other instances are expected to have sent there.
    pub expected: u64,
}

/// Link over which the targets of a service copy KV caches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Size of a token's KV cache, in bytes.
    pub token_bytes: u64,
    /// Rate between two targets, in megabits per second; 0 if they cannot copy.
    pub mbps: u64,
}

impl Link {
    /// Returns the time to copy the cache of `tokens` tokens.
    pub fn time(&self, tokens: u64) -> Duration {
        let bits = tokens.saturating_mul(self.token_bytes).saturating_mul(8);
        Duration::from_micros(bits / self.mbps.max(1))
    }
}

/// Factor by which copying has to be quicker than prefilling. Links are shared, and the cache
/// contents are a guess.
const MIN_SPEEDUP: u32 = 4;
/// Fewest tokens that are copied. Setting up a copy takes some milliseconds, in which 200 tokens
/// are prefilled.
const MIN_TOKENS: u64 = 500;

/// Chooses the target from which `chosen` copies the tokens it lacks; `prefill_time` returns
/// the prefill time of a number of tokens.
pub fn source(
    holders: &[Holder],
    chosen: usize,
    link: Link,
    prefill_time: impl Fn(u64) -> Duration,
) -> Option<usize> {
    let own = holders[chosen].known;
    let others = (0..holders.len()).filter(|at| *at != chosen);
    let best = others.max_by_key(|at| (holders[*at].expected, holders[*at].known))?;
    let missing = holders[best].expected.saturating_sub(own);
    let is_worthwhile = link.mbps > 0 && link.time(missing) * MIN_SPEEDUP <= prefill_time(missing);
    (missing >= MIN_TOKENS && is_worthwhile).then_some(best)
}
