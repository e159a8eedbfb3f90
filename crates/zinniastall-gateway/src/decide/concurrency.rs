//! Learns how many concurrent requests a plain target accepts, from those it refuses.
//!
//! Some targets queue a few requests and refuse the rest in a burst. A refused request costs its
//! caller a round trip and often its only attempt, while another region is idle or a slot would
//! come free within moments. Targets report their slots but not the length of their queues, so the
//! limit is learned from refusals and raised again while the target accepts requests.

/// Increase of the limit for each request accepted at it.
const INCREASE: f64 = 0.05;

/// Concurrency limit of one target.
#[derive(Debug, Default, Clone, Copy)]
pub struct Limit {
    limit: Option<f64>,
}

impl Limit {
    /// Returns whether a target with `in_flight` requests is expected to accept one more.
    pub fn allows(&self, in_flight: u32) -> bool {
        self.limit
            .is_none_or(|limit| f64::from(in_flight) + 1.0 <= limit)
    }

    /// Lowers the limit after the target refused a request behind `in_flight` others; the limit
    /// never falls below its slots.
    pub fn on_refused(&mut self, in_flight: u32, slots: u32) {
        let accepted = f64::from(in_flight.max(slots));
        self.limit = Some(self.limit.map_or(accepted, |limit| limit.min(accepted)));
    }

    /// Raises the limit if the target accepted a request at it, behind `in_flight` others.
    pub fn on_accepted(&mut self, in_flight: u32) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        if f64::from(in_flight) + 1.0 >= *limit {
            *limit += INCREASE;
        }
    }
}
