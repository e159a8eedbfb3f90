//! Learned speed and memory of engines, without a network.

#![expect(
    clippy::unwrap_used,
    reason = "a failing helper fails its test, as the test's own lines do"
)]

mod figures;
mod fit;
mod load;
mod memory;
mod paces;
