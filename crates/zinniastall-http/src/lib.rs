//! HTTP/1.1 on connections whose every byte is accounted for.
//!
//! | module | gives |
//! |---|---|
//! | [`head`] | heads of requests and responses, strictly parsed |
//! | [`body`] | the framings of a body, decoded without I/O |
//! | [`connection`] | the two halves of a connection with their buffers |
//! | [`server`] | a small server for pages that answer whole bodies |
//!
//! A proxy and the process behind it must agree on where each message ends. Whatever could be read
//! in two ways (two lengths, a length beside chunks, bare line ends) is refused instead of guessed.

pub mod body;
pub mod connection;
pub mod head;
pub mod server;
