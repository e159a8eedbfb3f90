//! Histories of concurrent calls, and whether one object could have answered them one by one.
//!
//! A [`Recorder`] notes when each call began and what was answered, if anything was. [`check`] then
//! looks for an order of the calls that fits a [`Model`] and in which no call comes before one that
//! had ended when it began: the history is linearizable if there is one. A call without an answer
//! may have taken effect at any moment after it began, or never.
//!
//! The search is that of Wing and Gong, "Testing and Verifying Concurrent Objects" (1993), with
//! Lowe's memory of configurations, "Testing for Linearizability" (2017). Linearizability is local:
//! calls on different objects are checked apart.

mod check;
mod recorder;
mod register;
pub mod ticket;

pub use check::{Model, Violation, check};
pub use recorder::{Call, Recorder};
pub use register::{Answer, Register, Request};
