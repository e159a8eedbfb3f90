//! HTTP/1.1 with strict message framing.
//!
//! | module | content |
//! |---|---|
//! | [`head`] | strict parsing and writing of request and response heads |
//! | [`body`] | decoding and encoding of bodies, without I/O |
//! | [`coding`] | content codings that a request accepts |
//! | [`ending`] | what is known of the end of a message |
//! | [`events`] | streams split into events |
//! | [`connection`] | buffered read and write halves of a connection |
//! | [`client`] | sending a request and reading its answer |
//! | [`pool`] | idle connections, by address |
//! | [`probe`] | whether a server still listens |
//! | [`retry_after`] | the delay that an answer asks for |
//! | [`watch`] | waiting for work that may have become hopeless |
//! | [`server`] | a small server for handlers that work on complete bodies |
//!
//! A proxy and the process behind it must agree on where each message ends, otherwise requests can
//! be smuggled. Ambiguous input (two lengths, a length together with chunked coding, bare line
//! feeds) is therefore refused.

pub mod body;
pub mod client;
pub mod coding;
pub mod connection;
pub mod ending;
pub mod events;
pub mod head;
pub mod pool;
pub mod probe;
pub mod retry_after;
pub mod server;
pub mod watch;
