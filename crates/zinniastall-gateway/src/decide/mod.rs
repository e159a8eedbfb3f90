//! Decisions of the request path, without I/O: functions of what is known and the present time.

pub mod budget;
pub mod concurrency;
pub mod fetch;
pub mod identity;
pub mod outlier;
pub mod place;
pub mod prefill;
pub mod quota;
pub mod service_time;
pub mod slow_start;
