//! Linearizability checking for histories of concurrent calls.
//!
//! A [`Recorder`] records when each call began and ended and what was answered. [`check()`] then
//! searches for a sequential order of the calls that satisfies a [`Model`] and in which no call
//! precedes one that had ended before it began. The history is linearizable if such an order
//! exists. A call without an answer may have taken effect at any time after it began, or never.
//!
//! The algorithm is that of Wing and Gong, "Testing and Verifying Concurrent Objects" (1993), with
//! the caching of visited configurations from Lowe, "Testing for Linearizability" (2017).
//! Linearizability is a local property: calls on different objects are checked separately.

mod check;
mod recorder;
mod register;
pub mod ticket;

pub use check::{Model, Violation, check};
pub use recorder::{Call, Recorder};
pub use register::{Answer, Register, Request};
