//! Checked JSON settings, logging and metrics set-up, and the common command line.
//!
//! A binary describes its settings as a type that implements [`load::Settings`]; it reads itself
//! through a [`reader::Reader`], which notes every wrong, missing or unknown field with its path
//! instead of stopping at the first. [`cli::Action`] is the command line that all daemons share.

pub mod cli;
pub mod load;
pub mod log;
pub mod metrics;
pub mod problem;
pub mod process;
pub mod reader;
pub mod scrape;
