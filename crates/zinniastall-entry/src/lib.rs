//! Entry instance: serves callers and targets, routes requests and forwards them.
//!
//! One thread, the control arbiter, owns the state of the instance: the configuration ([`follow`]),
//! other instances and the zone's targets ([`spread`]). It publishes an immutable [`view::View`],
//! which traffic threads read through an atomic pointer. They never wait for a lock that is held by
//! control work.

pub mod callers;
pub mod daemon;
pub mod follow;
pub mod links;
pub mod notices;
pub mod publish;
pub mod quarantine;
pub mod rates;
pub mod reach;
pub mod settings;
pub mod spread;
pub mod targets;
pub mod view;
