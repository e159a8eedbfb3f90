//! The request path as pure filters over an immutable view.

pub mod locate;
