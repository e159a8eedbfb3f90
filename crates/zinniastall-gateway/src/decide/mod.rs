//! Decisions of the request path as pure functions of the known state and the current time, without
//! I/O.

pub mod capacity;
pub mod concurrency;
pub mod division;
pub mod fair_share;
pub mod fetch;
pub mod fit;
pub mod gaps;
pub mod identity;
pub mod line;
pub mod memory;
pub mod outlier;
pub mod place;
pub mod prefill;
pub mod quota;
pub mod returns;
pub mod run_time;
pub mod service_time;
pub mod vouch;
