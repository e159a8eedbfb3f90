//! Scaffolding of the whole-system tests: real processes behind a fault-injecting proxy.
//!
//! [`process::Process`] starts one of the workspace's binaries, captures its log and ends it on
//! drop. [`proxy::Proxy`] stands before an address and breaks what passes it. [`cluster::Cluster`]
//! puts both together: control replicas, entry instances in availability zones, stand-in targets,
//! every address behind a proxy. Waiting is always for a condition, see [`wait`]. [`history`] records
//! concurrent calls and checks that one object could have answered them one by one.

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
pub use zinniastall_load::sse;
pub mod settings;
pub mod usage;
pub mod wait;

pub use error::{Error, Result};
