//! Fits a line through recent samples: a fixed part and a factor.
//!
//! The time until an answer begins has a part that does not depend on the prompt: the way to the
//! engine, the step in progress, and the steps that produce the first event. Divided by the expected
//! prefill alone, short prompts would make every engine look slow.

use std::time::{Duration, Instant};

/// Time after which a sample has lost half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Squared seconds of expected time for which the nominal factor counts.
const PRIOR: f64 = 0.01;

/// Samples of the time expected and the time taken, in which older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub struct Line {
    weight: f64,
    expected: f64,
    taken: f64,
    squares: f64,
    products: f64,
    at: Option<Instant>,
}

impl Line {
    /// Adds a sample in seconds with a weight.
    pub fn add(&mut self, expected: f64, taken: f64, weight: f64, now: Instant) {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let left = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.weight = self.weight * left + weight;
        self.expected = self.expected * left + weight * expected;
        self.taken = self.taken * left + weight * taken;
        self.squares = self.squares * left + weight * expected * expected;
        self.products = self.products * left + weight * expected * taken;
        self.at = Some(now);
    }

    /// Returns the factor by least squares, drawn towards 1; it may be negative.
    pub fn factor(&self) -> f64 {
        if self.weight <= 0.0 {
            return 1.0;
        }
        let spread = self.squares - self.expected * self.expected / self.weight;
        let common = self.products - self.expected * self.taken / self.weight;
        (common + PRIOR) / (spread.max(0.0) + PRIOR)
    }

    /// Returns the fixed part in seconds for a factor; it may be negative.
    pub fn fixed(&self, factor: f64) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        (self.taken - factor * self.expected) / self.weight
    }
}
