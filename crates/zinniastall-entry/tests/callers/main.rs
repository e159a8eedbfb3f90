//! The callers' interface in one process, with scripted targets.

#![expect(clippy::unwrap_used, reason = "a helper of a test fails its test")]

mod bad_input;
mod broken;
mod harness;
mod load;
mod outcomes;
mod tickets;
