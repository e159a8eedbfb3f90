//! Messages handled by the gossip actor.

use actix::Message;
use zinniastall_wire::{
    gossip,
    link::{self, Link},
};

use super::links::Handle;

/// A link was accepted.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Linked(pub Link);

/// An attempt to dial an address ended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Dialed {
    /// Address that was dialed.
    pub address: String,
    /// The link, or why there is none.
    pub result: Result<Link, link::Error>,
}

/// A gossip message arrived on a link.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Received(pub Handle, pub gossip::Message);

/// A link was closed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Closed(pub Handle);

/// Publishes the targets, after changes were collected for a short time.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PublishTargets;

/// Forwards facts, after they were collected for a short time.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ForwardFacts;

/// Closes all links and stops the actor.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;
