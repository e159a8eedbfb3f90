//! How long an engine is expected to read a prompt.

use std::time::Duration;

/// How fast engines are expected to read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Prompt tokens that an engine reads in a millisecond, as its operators state it.
    pub tokens_per_ms: f64,
    /// Time that counts for comparing a million pairs of prompt tokens, in milliseconds.
    pub pairs_ms: f64,
}

impl Default for Rates {
    /// The rate of engines of the usual size.
    ///
    /// Pairs count for less than such engines take: the engine holds more of a prompt than is known here, and long
    /// prompts would be refused more often than need be.
    fn default() -> Self {
        Self {
            tokens_per_ms: 44.0,
            pairs_ms: 0.3,
        }
    }
}

impl Rates {
    /// Returns the expected time to read a prompt of which some tokens are held.
    ///
    /// Each token is read once, and compared with all before it: the second part grows with the square of
    /// the length.
    pub fn expected(&self, tokens: u64, kept: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
        let (all, kept) = (tokens as f64, kept.min(tokens) as f64);
        let each = (all - kept) / self.tokens_per_ms;
        let pairs = (all * all - kept * kept) / 1e6 * self.pairs_ms;
        Duration::from_secs_f64((each + pairs) / 1_000.0)
    }
}
