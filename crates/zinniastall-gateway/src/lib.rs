//! Gateway instance: routes by host and path prefix, from callers to targets, across regions.
//!
//! One thread, the control arbiter, owns what the instance knows: [`uplink`] keeps links to the
//! control replicas, [`knowledge`] merges what they say and [`view`] publishes it as one immutable
//! value. The traffic thread runs the [`path`] of requests over that value. What it decides stands in
//! [`decide`], as functions without I/O.

pub mod books;
pub mod clock;
pub mod daemon;
pub mod decide;
pub mod fetching;
pub mod figures;
pub mod freshness;
pub mod groups;
pub mod journal;
pub mod knowledge;
pub mod locate;
pub mod names;
pub mod neighbours;
pub mod path;
pub mod policy;
pub mod suspects;
pub mod uplink;
pub mod view;
