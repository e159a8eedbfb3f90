//! Decisions of the request path, played without a network.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail the test, as its own lines do"
)]

mod decide {
    pub(crate) mod budget;
    pub(crate) mod fetch;
    pub(crate) mod outlier;
    pub(crate) mod place;
    pub(crate) mod reading;
    pub(crate) mod room;
    pub(crate) mod steady;
    pub(crate) mod warm;
    pub(crate) mod work;
}
