//! Frames and links between the system's own processes.
//!
//! A [`link`] is a WebSocket connection between two processes. Its first frames are the
//! [`hello`] handshake, which names both ends, the cluster and the purpose of the link; after it
//! each binary message is one CBOR-encoded [`frame::Frame`]. Control state and requests travel on
//! links of their own, so that a long answer never delays a heartbeat.

pub mod feed;
pub mod follow;
pub mod frame;
pub mod gossip;
pub mod hello;
pub mod hub;
pub mod link;
pub mod meter;
pub mod stream;
