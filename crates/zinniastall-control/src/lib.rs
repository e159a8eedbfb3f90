//! Control instance: a replica of the control log, which serves operators and entry instances.
//!
//! One thread, the control arbiter, runs the [`control::Control`] actor. It owns the replica and
//! the configuration and turns everything that happens into calls of the sans-I/O parts of
//! `zinniastall-coord`. Around it stand thin shells: [`disk`] writes and syncs on a thread of its
//! own, [`rpc`] serves operators on another, [`peers`] holds the links to other replicas, [`hub`]
//! those to gateway instances, and [`links`] takes links in.

pub mod control;
pub mod daemon;
pub mod disk;
pub mod hub;
pub mod links;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod recall;
pub mod rpc;
pub mod settings;
