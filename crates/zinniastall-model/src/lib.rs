//! Configuration objects and the state machine that the control log replicates.
//!
//! Operators edit [`object::Object`]s by sending [`change::Change`]s. Each committed change is
//! applied to the [`state::State`], which is a pure function of the log: every replica, relay and
//! entry instance that has applied the same changes holds the same state.

pub mod change;
pub mod fingerprint;
pub mod header;
pub mod id;
pub mod machine;
pub mod member;
pub mod narrow;
pub mod object;
pub mod order;
pub mod place;
pub mod presence;
pub mod reference;
pub mod routing;
pub mod state;
pub mod target;
pub mod validate;
