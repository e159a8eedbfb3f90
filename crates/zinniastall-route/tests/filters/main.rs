//! Filters of the request path, tested without processes.

#![expect(clippy::unwrap_used, reason = "a helper of a test fails its test")]

mod admission;
mod choice;
mod relaying;
mod rules;

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests in this target.
const SEED: u64 = 0x7a69_6e6e_6961;

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
