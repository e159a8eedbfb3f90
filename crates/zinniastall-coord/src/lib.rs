//! Coordination primitives without I/O: consensus, leases, fencing tokens, command deduplication,
//! tickets, membership, digests, quarantine, origins of streams, rate limits, retry budgets,
//! pauses and reachability.
//!
//! Nothing here opens a socket, reads a clock or starts a thread. Each primitive is a state
//! machine: the embedder passes it messages and the current [`Instant`](std::time::Instant), and it
//! returns what to store, send and apply. Every decision can therefore be reproduced from a seed.
//!
//! | module | gives |
//! |---|---|
//! | [`replica`] | a replica of a replicated log: [`Replica`] |
//! | [`log`] | entries and the in-memory log |
//! | [`voters`] | voters and learners, and single-server changes of them |
//! | [`election`] | election timing and vote counting |
//! | [`lease`] | the time during which a leader may act alone |
//! | [`membership`] | failure detection, by evidence for both directions of a link |
//! | [`digest`] | facts about groups, flooded within a budget and expired |
//! | [`confirmation`] | for how long a state counts as the newest |
//! | [`departure`] | servers that say that they leave |
//! | [`fence`] | fencing tokens, and the gate that refuses old ones |
//! | [`command`] | deduplication of commands, so that a resend never runs twice |
//! | [`quarantine`] | requests that crash the processes that run them, and shared suspicions |
//! | [`news`] | what an instance still has to tell the others |
//! | [`origin`] | which software version began a stream, and where it may go on |
//! | [`overflow`] | room that regions lend each other |
//! | [`pause`] | servers that ask an instance to stay away for a time |
//! | [`rate`] | rate limits that many instances keep together |
//! | [`reach`] | paths to targets, as neighbours confirm them |
//! | [`retry`] | retry budgets that many instances share without messages |
//! | [`rendezvous`] | weights that assign keys to members |
//! | [`ticket`] | authenticated tickets for work that runs at most once |

pub mod command;
pub mod confirmation;
pub mod departure;
pub mod digest;
pub mod election;
pub mod fence;
pub mod lease;
pub mod log;
pub mod membership;
pub mod news;
pub mod origin;
pub mod overflow;
pub mod pause;
pub mod quarantine;
pub mod rate;
pub mod reach;
pub mod rendezvous;
pub mod replica;
pub mod retry;
pub mod ticket;
pub mod voters;

pub use replica::{Cluster, Id, Index, Replica, Term};
