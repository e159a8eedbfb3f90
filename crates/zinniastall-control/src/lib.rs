//! Control instance: a replica of the control log that serves operators and entry instances.
//!
//! One thread runs the [`control::Control`] actor, which owns the replica and the configuration and
//! translates every event into calls of the sans-I/O parts of `zinniastall-coord`. The other
//! modules are thin layers around it: [`disk`] writes and syncs on its own thread, [`rpc`] serves
//! operators on another, [`peers`] manages the links to other replicas, [`hub`] those to gateway
//! instances, and [`links`] accepts incoming links.

pub mod control;
pub mod daemon;
pub mod disk;
pub mod hub;
pub mod limits;
pub mod links;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod reach;
pub mod recall;
pub mod rpc;
pub mod settings;
