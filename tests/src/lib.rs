//! Test harness for the whole system: real processes behind fault-injecting proxies.
//!
//! [`process::Process`] starts one of the workspace's binaries, captures its log and kills it on
//! drop. [`proxy::Proxy`] forwards connections to an address and injects network faults.
//! [`cluster::Cluster`] combines both: control replicas, entry instances in availability zones and
//! stand-in targets, with a proxy in front of every address. Waiting is always for a condition;
//! see [`wait`]. [`history`] records concurrent calls and checks that they are
//! linearizable.

pub mod binary;
pub mod cluster;
pub mod ctl;
pub mod error;
pub mod history;
pub mod http;
pub mod log;
pub mod node;
pub mod page;
pub mod process;
pub mod proxy;
pub mod raw;
pub use zinniastall_load::sse;
pub mod settings;
pub mod usage;
pub mod wait;

pub use error::{Error, Result};
