//! Open-loop load, experiments and reports.

pub mod sse;
