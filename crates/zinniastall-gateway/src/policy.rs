//! Timings and limits of a deployment.

mod load_control;

use std::time::Duration;

use zinniastall_coord::retry::Bound;

pub use self::load_control::{LoadControl, Switches, UnknownPart};
use crate::decide::{prefill::Rates, quota};

/// Timings and limits that the request path decides by.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Limit on retries.
    pub retry_budget: Bound,
    /// Rates at which engines are expected to read prompts.
    pub rates: Rates,
    /// Service time assumed for a plain service until one has been observed.
    pub default_service_time: Duration,
    /// Round-trip time to another region.
    pub region_round_trip: Duration,
    /// Window and limits by which client accounts' quotas are enforced.
    pub quota: quota::Bound,
    /// Time for which the accounts' keys may be relied on after the confirmation of the configuration;
    /// `None` for no limit.
    pub keys_lease: Option<Duration>,
    /// Parts of load control that are switched on.
    pub load_control: Switches,
    /// Memory of the process, in bytes; half of it may be taken by bodies of requests, a quarter by
    /// answers that are held until they are whole.
    pub memory: usize,
}

impl Default for Policy {
    /// Returns values for engines of the usual size and for regions of one continent.
    fn default() -> Self {
        Self {
            retry_budget: Bound::default(),
            rates: Rates::default(),
            default_service_time: Duration::from_millis(20),
            region_round_trip: Duration::from_millis(120),
            quota: quota::Bound::default(),
            keys_lease: None,
            load_control: Switches::default(),
            memory: 256 << 20,
        }
    }
}
