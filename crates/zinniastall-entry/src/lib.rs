//! Entry instance: serves callers and targets, routes and forwards.
//!
//! One thread, the control arbiter, owns what the instance knows: the configuration
//! ([`follow`]), the other instances and the zone's targets ([`spread`]). It publishes that as an
//! immutable [`view::View`]; traffic threads read the view through one atomic swap and never take a
//! lock that control work holds.

pub mod callers;
pub mod daemon;
pub mod follow;
pub mod links;
pub mod publish;
pub mod settings;
pub mod spread;
pub mod targets;
pub mod view;
