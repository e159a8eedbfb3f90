//! Membership of entry instances, the zone's targets, and digests of other zones.
//!
//! [`actor::Spread`] owns it all on the control arbiter. [`lines`] holds the open links, [`book`]
//! the addresses to dial, [`atlas`] which instances of other zones to link to, [`renewals`] what
//! waits to be sent about targets, [`digests`] the facts about zones, [`speaker`] makes those of this zone, [`ways`] knows
//! where each goes. What the actor decides on
//! comes from [`zinniastall_coord::membership`], [`zinniastall_coord::digest`] and
//! [`crate::targets::table`].

pub mod actor;
pub mod address_book;
pub mod capacity;
pub mod digests;
mod dissemination;
pub mod forwarder;
pub mod links;
pub mod messages;
mod peers;
pub mod renewals;
pub mod settings;
pub mod speaker;
pub mod topology;
pub mod traffic;
mod zone;

use actix::{Actor, Addr};
use zinniastall_wire::link::Link;

use self::{
    actor::{Dependencies, Spread},
    messages::Linked,
};
use crate::{links::Acceptor, settings::Entry};

/// Starts membership on the calling arbiter.
pub fn start(settings: &Entry, dependencies: Dependencies) -> Addr<Spread> {
    let seeds = settings.seeds.iter().map(ToString::to_string);
    Spread::new(settings.spread, seeds, dependencies).start()
}

/// Takes gossip links for the actor.
#[derive(Debug)]
pub struct Gossip(pub Addr<Spread>);

impl Acceptor for Gossip {
    fn accept(&self, link: Link) {
        self.0.do_send(Linked(link));
    }
}
