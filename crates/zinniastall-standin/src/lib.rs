//! Stand-ins of outside systems for tests and the demo: a model engine, a plain service, the weight
//! store and a statsd sink.
//!
//! One binary runs any of them; the setting `kind` selects which. Targets ([`engine`], [`service`])
//! announce themselves through [`announce`] and keep a [`ledger`] of every request that they ran.
//! Tests compare the ledger with what callers were told.

pub mod announce;
pub mod answer;
pub mod daemon;
pub mod engine;
pub mod failure;
pub mod ledger;
pub mod said;
pub mod service;
pub mod settings;
pub mod slots;
pub mod statsd;
mod unframed;
pub mod weights;
