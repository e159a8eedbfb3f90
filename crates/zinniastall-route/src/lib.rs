//! The request path as pure filters over an immutable view.
//!
//! A request passes `identify → residency → ticket → admit → choose → dispatch → relay → settle`.
//! Each filter is one module: a function of what is known, the request and the time, with a typed
//! verdict and no I/O, so that property tests drive it without processes. The daemon around it is a
//! thin shell that does what a verdict says.
//!
//! Every request ends in exactly one [`outcome::Outcome`].

pub mod admit;
pub mod budget;
mod cache;
pub mod choose;
pub mod dispatch;
pub mod eject;
mod fair_queue;
pub mod hops;
pub mod identify;
pub mod limit;
pub mod load;
pub mod locate;
pub mod outcome;
pub mod policy;
pub mod prefix;
pub mod relay;
pub mod request;
pub mod residency;
pub mod spill;
