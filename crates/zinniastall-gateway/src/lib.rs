//! Gateway instance: routes by host and path prefix, from callers to targets, across regions.
//!
//! One thread, the control arbiter, owns what the instance knows: [`uplink`] keeps links to the
//! control replicas, [`cluster_state`] merges what they say and [`view`] publishes it as one immutable
//! value. The traffic thread runs the [`path`] of requests over that value. What it decides stands in
//! [`decide`], as functions without I/O.

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
pub mod path;
pub mod policy;
pub mod request_log;
pub mod suspects;
pub mod tracker;
pub mod uplink;
pub mod view;
