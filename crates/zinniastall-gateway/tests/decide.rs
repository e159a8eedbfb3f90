//! Decisions of the request path, played without a network.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test, as its own lines do"
)]

mod decide {
    pub(crate) mod budget;
    pub(crate) mod concurrency;
    pub(crate) mod fetch;
    pub(crate) mod outlier;
    pub(crate) mod place;
    pub(crate) mod prefill;
    pub(crate) mod service_time;
    pub(crate) mod slow_start;
    pub(crate) mod steady;
}
