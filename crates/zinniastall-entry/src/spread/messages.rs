//! Messages of the actor.

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

/// An attempt to dial ended.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Dialed {
    /// Address that was dialled.
    pub address: String,
    /// Link, or why there is none.
    pub result: Result<Link, link::Error>,
}

/// A message arrived on a link.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Received(pub Handle, pub gossip::Message);

/// A link broke.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Closed(pub Handle);

/// Targets changed some time ago and are to be published.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PublishTargets;

/// Facts arrived some time ago and are to be passed on.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ForwardFacts;

/// The instance stops: it closes its links.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;
