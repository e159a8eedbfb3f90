//! Frames and links between the system's own processes.
//!
//! A [`link`] is a WebSocket connection between two processes. It begins with the [`hello`]
//! handshake, which identifies both ends, the cluster and the purpose of the link. Each binary
//! message is one CBOR-encoded [`frame::Frame`]. Control state and requests use separate links, so
//! that a long response never delays a heartbeat.

pub mod feed;
pub mod follow;
pub mod frame;
pub mod gossip;
pub mod hello;
pub mod hub;
pub mod link;
pub mod meter;
pub mod rates;
pub mod reach;
pub mod stream;
