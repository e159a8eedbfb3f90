//! What the callers of an instance could not be given in their own region.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::Amount;

/// Time over which need is counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time whose requests are counted together.
const SLOT: Duration = Duration::from_millis(100);

/// Need of one service within the last second.
#[derive(Debug, Clone, Default)]
pub struct Need {
    slots: VecDeque<(Instant, Amount)>,
}

impl Need {
    /// Counts a request with some prefill time, in microseconds.
    pub fn record(&mut self, work: u64, now: Instant) {
        let request = Amount {
            work,
            requests: 1_000,
        };
        match self.slots.back_mut() {
            Some((since, sum)) if now.saturating_duration_since(*since) < SLOT => {
                *sum = sum.plus(request);
            }
            _ => self.slots.push_back((now, request)),
        }
        self.expire(now);
    }

    /// Returns the need of the last second.
    pub fn sum(&mut self, now: Instant) -> Amount {
        self.expire(now);
        let sums = self.slots.iter().map(|(_, sum)| *sum);
        sums.fold(Amount::default(), Amount::plus)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, _)) = self.slots.front() {
            if now.saturating_duration_since(*since) < WINDOW {
                return;
            }
            self.slots.pop_front();
        }
    }
}
