//! Follows the control log: receives the configuration, confirms it and relays it.
//!
//! `upstream` keeps a link to one source open: a control instance, a relay of the zone, or any
//! other instance if none of these can be reached. [`choice`] defines their order. At startup,
//! `survey` asks all of them, so that no configuration is activated that is older than one that can
//! be found. [`actor`] applies what arrives, never to an earlier revision, and `activation` puts it
//! in force once that is safe. [`storage`] keeps the last configuration on disk for a restart while
//! cut off from control. [`confirmations`] and [`report`] tell control what is in force, and
//! `drift` which targets deviate from the configuration.

mod activation;
pub mod actor;
pub mod choice;
pub mod confirmations;
mod drift;
pub mod report;
pub mod settings;
pub mod storage;
mod survey;
mod upstream;

use actix::{Actor, Addr};
use tokio::sync::watch;
use zinniastall_settings::metrics::{Registry, Row};
use zinniastall_wire::{
    feed::{self, Event, Feed},
    follow::{Message, Summary},
    link::Link,
};

use self::{actor::Follower, report::FollowerEvent};
use crate::{
    links::{Acceptor, Identity},
    publish::Publisher,
    settings::Entry,
    view::Shared,
};

/// Starts to follow and returns the acceptor of followers' links.
pub fn start(
    settings: &Entry,
    identity: Identity,
    shared_view: Shared,
    publisher: Addr<Publisher>,
    metrics: Registry,
) -> Follow {
    let follower = Follower::new(settings, identity.clone(), shared_view.clone(), publisher);
    let feed = follower.feed();
    let follower = follower.start();
    let control: Vec<String> = settings.control.iter().map(ToString::to_string).collect();
    let survey = survey::Survey {
        identity: identity.clone(),
        shared_view: shared_view.clone(),
        control: control.clone(),
        follower: follower.clone(),
    };
    actix::spawn(survey.run());
    let upstream = upstream::Upstream {
        identity,
        shared_view,
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

/// Accepts links from instances that follow this one, and from control instances that request
/// metrics.
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
                follower.do_send(FollowerEvent::Member(member));
                None
            }
            Event::Confirmed(list) => {
                follower.do_send(FollowerEvent::Confirmed(list));
                None
            }
            // A relay's followers report to the relay, and only relays report to control. Only
            // control can answer what the group has reached, because only control can ask a
            // majority.
            Event::Drifted(_)
            | Event::Suspects(_)
            | Event::Limits(_)
            | Event::Unreached(_)
            | Event::ReadIndex(_) => None,
            Event::SummariesRequested => Some(feed::ready(Message::Summaries(summarize(&metrics)))),
        };
        actix::spawn(async move {
            if let Err(error) = feed::serve(link, feed, notify).await {
                tracing::debug!(event = "follower-gone", peer, error = %error);
            }
        });
    }
}

fn summarize(metrics: &Registry) -> Vec<Summary> {
    let figure = |row: Row| Summary {
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
