//! Coordination primitives without I/O: consensus, leases, fencing tokens, command deduplication,
//! tickets, membership, digests and quarantine.
//!
//! Nothing here opens a socket, reads a clock or starts a thread. Each primitive is a state
//! machine: the embedder passes it messages and the current [`Instant`](std::time::Instant), and it
//! returns what to store, send and apply. Every decision can therefore be reproduced from a seed.
//!
//! | module | gives |
//! |---|---|
//! | [`replica`] | one member of a replicated log: [`Replica`] |
//! | [`log`] | entries and the in-memory log |
//! | [`voters`] | who votes, who learns, and single-server changes |
//! | [`election`] | timings and the counting of votes |
//! | [`lease`] | the time during which a leader may answer alone |
//! | [`membership`] | which peers are alive, by evidence in both directions |
//! | [`digest`] | facts about groups, flooded, coalesced to a budget, aged out |
//! | [`fence`] | numbers that only grow, and the gate that refuses lower ones |
//! | [`command`] | recorded answers of commands, so that a resend never runs twice |
//! | [`quarantine`] | requests that crash whoever runs them, and how suspicion is shared |
//! | [`ticket`] | authenticated tickets for work that runs at most once |

pub mod command;
pub mod digest;
pub mod election;
pub mod fence;
pub mod lease;
pub mod log;
pub mod membership;
pub mod quarantine;
pub mod replica;
pub mod ticket;
pub mod voters;

pub use replica::{Cluster, Id, Index, Replica, Term};
