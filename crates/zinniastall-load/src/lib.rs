//! Open-loop load, experiments and reports.
//!
//! [`settings`] describe an experiment: sources of requests and variants to compare. From the seed
//! one [`plan`] of arrivals is made; every variant meets the same one. [`run`] sends each request
//! at its planned time whether or not earlier ones have ended, and measures from the planned time,
//! so that a stalled system cannot hide its delays by slowing the callers (coordinated omission).
//! [`tally`] collects histograms and outcomes by client and class, [`audit`] compares outcomes with
//! the stand-ins' ledgers, [`report`] and [`plot`] write the result.

pub mod audit;
pub mod call;
pub mod locate;
pub mod outcome;
pub mod plan;
pub mod plot;
pub mod prompt;
pub mod report;
pub mod run;
pub mod settings;
pub mod sse;
pub mod tally;
mod worker;
