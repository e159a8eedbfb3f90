//! Open-loop load generator: runs experiments and reports their results.
//!
//! [`settings`] describe an experiment: sources of requests and variants to compare. One [`plan`]
//! of arrivals is generated from the seed, and every variant receives the same one. [`run`] sends
//! each request at its planned time whether or not earlier ones have ended, and measures from the
//! planned time, so that a stalled system cannot hide its delays by slowing its callers
//! (coordinated omission). [`tally`] collects histograms and outcomes by client and class,
//! [`audit`] compares the outcomes with the stand-ins' ledgers, [`report`] and [`plot`] write the
//! result.

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
