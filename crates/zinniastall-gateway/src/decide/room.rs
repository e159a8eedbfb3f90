//! How many requests a plain target takes at once, learned from those that it refused.
//!
//! Load that this answers: a burst at targets that queue a few requests and refuse the rest. A refused request has
//! cost its caller a trip and often its only attempt, while another region was idle, or a place would have come
//! free within moments. Targets state their slots and not their queues, so the bound is found by what they
//! refuse, and tried again as they go on taking requests.

/// By how much the bound rises for each request that was taken at it.
const STEP: f64 = 0.05;

/// Bound on the requests at one target.
#[derive(Debug, Default, Clone, Copy)]
pub struct Room {
    most: Option<f64>,
}

impl Room {
    /// Tells whether a target with so many requests is expected to take one more.
    pub fn is_open(&self, requests: u32) -> bool {
        self.most
            .is_none_or(|most| f64::from(requests) + 1.0 <= most)
    }

    /// Notes that the target refused a request that found so many others there; it takes its slots in any case.
    pub fn refused(&mut self, requests: u32, slots: u32) {
        let found = f64::from(requests.max(slots));
        self.most = Some(self.most.map_or(found, |most| most.min(found)));
    }

    /// Notes that the target took a request that found so many others there.
    pub fn taken(&mut self, requests: u32) {
        let Some(most) = &mut self.most else {
            return;
        };
        if f64::from(requests) + 1.0 >= *most {
            *most += STEP;
        }
    }
}
