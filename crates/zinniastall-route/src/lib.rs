//! The request path as pure filters over an immutable view.
//!
//! A request passes `identify → residency → ticket → admit → choose → dispatch → relay → settle`.
//! Each filter is one module: a function of the current view, the request and the time that returns
//! a typed decision and performs no I/O, so that property tests run it without processes. The
//! daemon around the filters only carries out their decisions.
//!
//! Every request ends with exactly one [`outcome::Outcome`].

pub mod admit;
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
