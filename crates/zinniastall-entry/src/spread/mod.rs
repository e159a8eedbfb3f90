//! Membership of entry instances, the zone's targets, and digests of other zones.
//!
//! [`actor::Spread`] owns it all on the control arbiter. [`lines`] holds the open links, [`book`]
//! the addresses to dial, [`news`] what waits to be sent. What the actor decides on, evidence and
//! leases, is in [`zinniastall_coord::membership`] and [`crate::targets::table`].

pub mod actor;
pub mod book;
pub mod lines;
pub mod news;
pub mod settings;

use actix::{Actor, Addr};
use zinniastall_wire::link::Link;

use self::actor::{Linked, Spread};
use crate::{
    links::{Acceptor, Identity},
    publish::Publisher,
    settings::Entry,
    view::Board,
};

/// Starts membership on the calling arbiter.
pub fn start(
    settings: &Entry,
    identity: Identity,
    board: Board,
    publisher: Addr<Publisher>,
) -> Addr<Spread> {
    let seeds = settings.seeds.iter().map(ToString::to_string);
    Spread::new(settings.spread, seeds, identity, board, publisher).start()
}

/// Takes gossip links for the actor.
#[derive(Debug)]
pub struct Gossip(pub Addr<Spread>);

impl Acceptor for Gossip {
    fn accept(&self, link: Link) {
        self.0.do_send(Linked(link));
    }
}
