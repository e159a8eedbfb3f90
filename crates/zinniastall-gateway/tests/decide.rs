//! Decisions of the request path, without a network.

#![expect(
    clippy::unwrap_used,
    reason = "a failing helper fails its test, as the test's own lines do"
)]

mod decide {
    pub(crate) mod concurrency;
    pub(crate) mod division;
    pub(crate) mod fetch;
    pub(crate) mod outlier;
    pub(crate) mod place;
    pub(crate) mod prefill;
    pub(crate) mod returns;
    pub(crate) mod service_time;
    pub(crate) mod slow_start;
    pub(crate) mod steady;
}
