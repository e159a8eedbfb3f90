//! The request path keeps its promises when processes and connections fail.
//!
//! Every stand-in target keeps a ledger of what it ran. The tests compare it with what callers were
//! told, so that "not run", "at most once" and "whole" are counted instead of assumed.

mod border;
mod calls;
mod cold;
mod drain;
mod entry_lost;
mod forward;
mod forwarded;
mod frames;
mod hops;
mod loss;
mod once;
mod overtake;
mod poison;
mod races;
mod storm;
mod support;
mod together;
