//! Operators' command line: one call a run, JSON in and out.
//!
//! [`arguments`] reads the command line into a [`call::Call`], [`group`] finds the replica that can
//! answer and sends again what got lost, and [`verdict`] says what the answer means for the exit
//! code. [`explain`] needs no replica: it tells the story of a request from logs.

pub mod arguments;
pub mod call;
pub mod exit;
pub mod explain;
pub mod group;
pub mod input;
pub mod run;
