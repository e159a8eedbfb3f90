//! Estimates how long an engine takes to prefill a prompt.

use std::time::Duration;

/// Prefill speed assumed for engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Prompt tokens that an engine processes per millisecond, as stated by its operators.
    pub tokens_per_ms: f64,
    /// Attention cost of a million pairs of prompt tokens, in milliseconds.
    pub pairs_ms: f64,
}

impl Default for Rates {
    /// Returns the speed of engines of the usual size.
    ///
    /// The attention cost is set below what such engines take: an engine often has more of a prompt
    /// cached than is known here, and the full cost would refuse long prompts needlessly.
    fn default() -> Self {
        Self {
            tokens_per_ms: 44.0,
            pairs_ms: 0.3,
        }
    }
}

impl Rates {
    /// Returns the expected prefill time of a prompt of `tokens` tokens, of which the first
    /// `cached` are cached.
    ///
    /// Each token is processed once and compared with all tokens before it, so the second term
    /// grows with the square of the length.
    pub fn expected(&self, tokens: u64, cached: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
        let (all, cached) = (tokens as f64, cached.min(tokens) as f64);
        let linear = (all - cached) / self.tokens_per_ms;
        let quadratic = (all * all - cached * cached) / 1e6 * self.pairs_ms;
        Duration::from_secs_f64((linear + quadratic) / 1_000.0)
    }
}
