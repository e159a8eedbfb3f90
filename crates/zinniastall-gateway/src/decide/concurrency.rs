//! How many requests a plain target takes at once, learned from those that it refused.
//!
//! Load that this answers: a burst at targets that queue a few requests and refuse the rest. A refused request has
//! cost its caller a trip and often its only attempt, while another region was idle, or a place would have come
//! free within moments. Targets state their slots and not their queues, so the bound is found by what they
//! refuse, and tried again as they go on taking requests.

/// By how much the bound rises for each request that was taken at it.
const INCREASE: f64 = 0.05;

/// Bound on the requests at one target.
#[derive(Debug, Default, Clone, Copy)]
pub struct Limit {
    limit: Option<f64>,
}

impl Limit {
    /// Tells whether a target with so many requests is expected to take one more.
    pub fn allows(&self, in_flight: u32) -> bool {
        self.limit
            .is_none_or(|limit| f64::from(in_flight) + 1.0 <= limit)
    }

    /// Notes that the target refused a request that found so many others there; it takes its slots in any case.
    pub fn on_refused(&mut self, in_flight: u32, slots: u32) {
        let in_flight = f64::from(in_flight.max(slots));
        self.limit = Some(self.limit.map_or(in_flight, |limit| limit.min(in_flight)));
    }

    /// Notes that the target took a request that found so many others there.
    pub fn on_accepted(&mut self, in_flight: u32) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        if f64::from(in_flight) + 1.0 >= *limit {
            *limit += INCREASE;
        }
    }
}
