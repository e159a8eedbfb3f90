//! The request path between scripted targets and raw callers.

#![expect(
    clippy::unwrap_used,
    reason = "a failing helper fails its test, as the test's own lines do"
)]

mod accounts;
mod answers;
mod bounds;
mod broken;
mod caller;
mod capacity;
mod confirmation;
mod departures;
mod endings;
mod endless;
mod fair_shares;
mod harness;
mod heads;
mod hops;
mod overflow;
mod partitions;
mod parts;
mod pauses;
mod promises;
mod quarantine;
mod rates;
mod request_log;
mod restarts;
mod returns;
mod streams;
mod versions;

/// Defines tests that run on one thread: `cases! { name => async function, ... }`.
macro_rules! cases {
    ($($(#[$about:meta])* $name:ident => $test:expr,)*) => {
        $($(#[$about])* #[test] fn $name() { crate::harness::run($test); })*
    };
}
pub(crate) use cases;
