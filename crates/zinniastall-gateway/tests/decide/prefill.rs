//! Expected prefill times of prompts.

use std::time::Duration;

use zinniastall_gateway::decide::prefill::Rates;

const RATES: Rates = Rates {
    tokens_per_ms: 40.0,
    pairs_ms: 0.5,
};

/// A prompt of twice the length takes more than twice the time, and tokens that are already held
/// take none. Without the latter, a caller's next question would go to any idle engine and be
/// prefilled from its start.
#[test]
fn prefill_time_grows_with_tokens_not_held() {
    assert_eq!(RATES.expected(4_000, 0), Duration::from_millis(108));
    assert_eq!(RATES.expected(8_000, 0), Duration::from_millis(232));
    assert_eq!(RATES.expected(8_000, 4_000), Duration::from_millis(124));
    assert_eq!(RATES.expected(8_000, 8_000), Duration::ZERO);
}

/// A caller names more shared tokens than its prompt has. The remainder must not become negative.
#[test]
fn more_tokens_held_than_the_prompt_has_count_as_all() {
    assert_eq!(RATES.expected(4_000, 9_000), Duration::ZERO);
}
