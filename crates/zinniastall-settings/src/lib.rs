//! Validated JSON settings, set-up of logging and metrics, and the common command line.
//!
//! A binary defines its settings as a type that implements [`load::Settings`] and is read through a
//! [`reader::Reader`]. The reader collects every invalid, missing or unknown field with its path
//! instead of stopping at the first. [`cli::Daemon`] implements the command line of all daemons.

pub mod cli;
pub mod load;
pub mod log;
pub mod metrics;
pub mod problem;
pub mod process;
pub mod reader;
pub mod scrape;
