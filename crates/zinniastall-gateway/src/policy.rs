//! Times and weights of a deployment.

use std::time::Duration;

use crate::decide::{budget::Bound, prefill::Rates, quota};

/// Times and weights by which the request path decides.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Bound on requests that are sent a second time.
    pub retry_budget: Bound,
    /// How fast engines are expected to read prompts.
    pub rates: Rates,
    /// Time that a plain service takes for a request, until it has been measured.
    pub default_service_time: Duration,
    /// Time to another region and back.
    pub region_round_trip: Duration,
    /// How client accounts' quotas are measured.
    pub quota: quota::Bound,
    /// Time after its confirmation for which a configuration says whose keys are valid; `None` for good.
    pub lease: Option<Duration>,
}

impl Default for Policy {
    /// What engines of the usual size do, and regions of one continent.
    fn default() -> Self {
        Self {
            retry_budget: Bound::default(),
            rates: Rates::default(),
            default_service_time: Duration::from_millis(20),
            region_round_trip: Duration::from_millis(120),
            quota: quota::Bound::default(),
            lease: None,
        }
    }
}
