//! Gateway instance: routes requests by host and path prefix, from callers to targets, across
//! regions.
//!
//! One thread, the control arbiter, owns the instance's knowledge of the system: [`uplink`] keeps
//! links to the control replicas, [`cluster_state`] merges their messages, and [`view`] publishes
//! the result as one immutable value. The traffic thread serves requests with the [`path`] module,
//! which reads that value. Its decisions are pure functions in [`decide`].

pub mod clock;
pub mod cluster_state;
pub mod config_fetch;
pub mod daemon;
pub mod decide;
pub mod freshness;
pub mod headers;
pub mod index;
pub mod locate;
pub mod metrics;
pub mod neighbours;
pub mod origins;
pub mod path;
pub mod policy;
pub mod reach;
pub mod request_log;
pub mod suspects;
pub mod tracker;
pub mod uplink;
pub mod view;
pub mod watch;
