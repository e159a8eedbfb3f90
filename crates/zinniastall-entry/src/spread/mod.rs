//! Gossip between entry instances: membership, the targets of the zone, and digests of other zones.
//!
//! [`actor::Spread`] runs on the control arbiter and owns all of this state. [`links`] holds the
//! open links, [`address_book`] the addresses to dial, and [`topology`] decides which instances of
//! other zones to link to. [`renewals`] holds pending lease renewals of targets. [`digests`] holds
//! the facts about zones, [`speaker`] creates those of the own zone, and [`forwarder`] decides on
//! which links each fact is sent. `suspicions` shares what is known of requests that crash targets.
//!
//! The underlying algorithms are in [`zinniastall_coord::membership`],
//! [`zinniastall_coord::digest`] and [`crate::targets::table`].

pub mod actor;
pub mod address_book;
pub mod capacity;
mod departures;
pub mod digests;
mod dissemination;
pub mod forwarder;
pub mod links;
pub mod messages;
mod paths;
mod peers;
mod rates;
pub mod renewals;
pub mod settings;
pub mod speaker;
mod suspicions;
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

/// Starts the actor on the current arbiter.
pub fn start(settings: &Entry, dependencies: Dependencies) -> Addr<Spread> {
    let seeds = settings.seeds.iter().map(ToString::to_string);
    Spread::new(settings.spread, seeds, dependencies).start()
}

/// Passes accepted gossip links to the actor.
#[derive(Debug)]
pub struct Gossip(pub Addr<Spread>);

impl Acceptor for Gossip {
    fn accept(&self, link: Link) {
        self.0.do_send(Linked(link));
    }
}
