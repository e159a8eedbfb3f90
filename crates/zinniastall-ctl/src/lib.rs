//! Command-line client for operators: one call per invocation, JSON in and out.
//!
//! [`arguments`] parses the command line into a [`call::Invocation`]. [`run`] performs its call
//! through [`group`], which finds the replica that can answer and retries lost calls, prints the
//! answer, and maps it to an [`exit`] status. [`explain`] needs no replica: it reconstructs the
//! timeline of a request from logs.

pub mod arguments;
pub mod call;
pub mod exit;
pub mod explain;
pub mod group;
pub mod input;
pub mod run;
