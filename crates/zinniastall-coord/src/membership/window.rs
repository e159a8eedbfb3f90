//! How long silence has to last before it means something.

use std::{collections::VecDeque, time::Duration};

/// Samples kept; at two heartbeats a second the window spans about a minute.
const MAX_SAMPLES: usize = 128;
/// Mean deviations above the mean that are still believed.
///
/// Measured over ten minutes and twelve pairs at 10% loss: 4 flapped 12 times, 6 and 8 once each, 10
/// never; on links without loss the deviation is small and all four find a cut equally fast.
const DEVIATION_FACTOR: u32 = 10;

/// Recent stalenesses of one peer's evidence, and the bound that follows from them.
///
/// The bound is mean + ten mean deviations + half the floor, within a floor and a ceiling. A fixed timeout would
/// have to be sized to the slowest link, and would then find a dead neighbour late.
#[derive(Debug, Clone)]
pub struct Window {
    samples: VecDeque<Duration>,
    sum: Duration,
    floor: Duration,
    ceiling: Duration,
}

impl Window {
    /// Creates an empty window; its bound is the ceiling until samples speak.
    pub const fn new(floor: Duration, ceiling: Duration) -> Self {
        Self {
            samples: VecDeque::new(),
            sum: Duration::ZERO,
            floor,
            ceiling,
        }
    }

    /// Takes one staleness in. One beyond the ceiling counts as the ceiling: a long outage must
    /// not make the next one harder to find.
    pub fn record(&mut self, staleness: Duration) {
        let sample = staleness.min(self.ceiling);
        if self.samples.len() == MAX_SAMPLES
            && let Some(oldest) = self.samples.pop_front()
        {
            self.sum -= oldest;
        }
        self.sum += sample;
        self.samples.push_back(sample);
    }

    /// Returns the longest staleness that is still believed.
    pub fn bound(&self) -> Duration {
        let Ok(count @ 1..) = u32::try_from(self.samples.len()) else {
            return self.ceiling;
        };
        let mean = self.sum / count;
        let total_deviation: Duration = self
            .samples
            .iter()
            .map(|sample| sample.abs_diff(mean))
            .sum();
        let bound = mean + total_deviation / count * DEVIATION_FACTOR + self.floor / 2;
        bound.clamp(self.floor, self.ceiling)
    }
}
