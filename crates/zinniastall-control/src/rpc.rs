//! The operator interface (gRPC).
//!
//! The server requires services that can move between threads, which the state of actors cannot. So
//! each call is a thin wrapper: it converts the request into a typed message for the control actor,
//! awaits the reply and converts that into the response. The server runs on its own thread, so that
//! a slow operator never delays heartbeats.

mod convert;
mod histograms;
mod operators;
mod server;
mod watch;

pub use self::{
    operators::Operators,
    server::{Server, bind},
};
