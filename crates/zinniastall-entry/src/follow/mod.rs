//! Follows the control log: takes configuration in, confirms it, passes it on as a relay.
//!
//! [`upstream`] keeps one link to a source open: a control instance, a relay of the zone, or
//! whoever else can be reached when these can't. [`choice`] decides the order. At the start
//! [`survey`] asks everyone, so that nothing older is put in force than what can be found.
//! [`actor`] takes in what arrives, never stepping back, and puts it in force; [`kept`] holds the last configuration
//! on disk for a restart while cut off; [`confirm`] gathers confirmations for the way back.

pub mod actor;
mod astray;
pub mod choice;
pub mod confirm;
mod force;
pub mod kept;
pub mod report;
pub mod settings;
mod survey;
mod upstream;

use actix::{Actor, Addr};
use tokio::sync::watch;
use zinniastall_settings::metrics::{Registry, Row};
use zinniastall_wire::{
    feed::{self, Event, Feed},
    follow::{Figure, Message},
    link::Link,
};

use self::{actor::Follower, report::Heard};
use crate::{
    links::{Acceptor, Identity},
    publish::Publisher,
    settings::Entry,
    view::Board,
};

/// Starts to follow, and returns what takes followers' links in.
pub fn start(
    settings: &Entry,
    identity: Identity,
    board: Board,
    publisher: Addr<Publisher>,
    metrics: Registry,
) -> Follow {
    let follower = Follower::new(settings, identity.clone(), board.clone(), publisher);
    let feed = follower.feed();
    let follower = follower.start();
    let control: Vec<String> = settings.control.iter().map(ToString::to_string).collect();
    let survey = survey::Survey {
        identity: identity.clone(),
        board: board.clone(),
        control: control.clone(),
        follower: follower.clone(),
    };
    actix::spawn(survey.run());
    let upstream = upstream::Upstream {
        identity,
        board,
        control,
        follower: follower.clone(),
    };
    actix::spawn(upstream.run());
    Follow {
        follower,
        feed,
        metrics,
    }
}

/// Takes the links of instances that follow this one, and of control asking for figures.
#[derive(Debug)]
pub struct Follow {
    follower: Addr<Follower>,
    feed: watch::Receiver<Feed>,
    metrics: Registry,
}

impl Acceptor for Follow {
    fn accept(&self, link: Link) {
        let follower = self.follower.clone();
        let metrics = self.metrics.clone();
        let peer = link.peer().instance.clone();
        let feed = self.feed.clone();
        let notify = move |event| match event {
            Event::Member(member) => {
                follower.do_send(Heard::Member(member));
                None
            }
            Event::Confirmed(list) => {
                follower.do_send(Heard::Confirmed(list));
                None
            }
            // A relay's follower reports to the relay; only relays report to control.
            // Only control can vouch, since only it can ask a majority.
            Event::Astray(_) | Event::Vouch(_) => None,
            Event::Asked => Some(feed::at_once(Message::Figures(figures(&metrics)))),
        };
        actix::spawn(async move {
            if let Err(error) = feed::serve(link, feed, notify).await {
                tracing::debug!(event = "follower-gone", peer, error = %error);
            }
        });
    }
}

fn figures(metrics: &Registry) -> Vec<Figure> {
    let figure = |row: Row| Figure {
        name: row.key.name.to_owned(),
        client: row.key.client,
        class: row.key.class,
        count: row.count,
        p50: row.p50,
        p95: row.p95,
        p99: row.p99,
        max: row.max,
    };
    metrics.report().into_iter().map(figure).collect()
}
