//! The operators' calls.
//!
//! The server needs services that may move between threads, which actors' state may not, so each
//! call is a thin shell: it turns the request into a typed message for the control actor, awaits
//! the reply and turns that into the response. It runs on a thread of its own, so that a slow
//! operator never holds up heartbeats.

mod convert;
mod histograms;
mod operators;
mod server;
mod watch;

pub use self::{
    operators::Operators,
    server::{Server, bind},
};
