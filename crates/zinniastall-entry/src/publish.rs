//! Publishes the view, combining the state of all components of the instance.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, AsyncContext, Context, Handler, Message};
use indexmap::IndexMap;
use zinniastall_coord::retry::Division;
use zinniastall_model::{id, state::State};
use zinniastall_wire::gossip;

use crate::view::{Digest, Shared, Target, View};

/// Interval at which this instance checks whether it is in touch.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Actor on the control arbiter that replaces the view when a part of it changes.
#[derive(Debug)]
pub struct Publisher {
    view: View,
    shared_view: Shared,
    division: Division,
}

impl Publisher {
    /// Creates the publisher of a shared view; `division` is that of the retry budget.
    pub fn new(shared_view: Shared, division: Division) -> Self {
        Self {
            view: (*shared_view.view()).clone(),
            shared_view,
            division,
        }
    }

    /// Updates the share of the retry budget. Members are agreed on, so an instance that is linked to
    /// the control group counts all that may hold a share.
    fn observe(&mut self) {
        let members = self
            .view
            .state
            .as_ref()
            .map_or(0, |state| state.members.len());
        let is_in_touch = self.view.connected && members > 0;
        let now = Instant::now();
        let before = self.division.whole();
        self.division.observe(is_in_touch, members, now);
        let instances = self.division.whole();
        if instances != before {
            tracing::info!(event = "retry-share", instances, is_in_touch);
        }
        self.view.retry_share = self.division.share();
        self.publish();
    }

    fn publish(&self) {
        self.shared_view.publish(self.view.clone());
    }
}

impl Actor for Publisher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(OBSERVATION_INTERVAL, |publisher, _| publisher.observe());
    }
}

/// The configuration in force has changed, or whether control is reachable.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Configured {
    /// Configuration; it must list this instance.
    pub state: Arc<State>,
    /// Whether the control group is reachable.
    pub connected: bool,
}

/// The configuration no longer lists this instance, which must therefore not serve.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Unlisted;

/// The set of live entry instances has changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Peers(pub Arc<IndexMap<id::Instance, gossip::Peer>>);

/// The targets of the zone have changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Targets(pub Arc<IndexMap<id::Target, Target>>);

/// Digests of other zones have changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Digests(pub Arc<Vec<Digest>>);

/// The incarnation of this run was raised, because other instances remember a later one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Raised(pub id::Incarnation);

/// The instance stops accepting new requests.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Draining;

impl Handler<Configured> for Publisher {
    type Result = ();

    fn handle(&mut self, message: Configured, _: &mut Context<Self>) {
        let held = self.view.revision();
        // A late message must not take the configuration back, since an accepted change is never
        // reverted.
        if message.state.revision >= held {
            self.view.state = Some(message.state);
        }
        self.view.connected = message.connected;
        self.observe();
    }
}

impl Handler<Unlisted> for Publisher {
    type Result = ();

    fn handle(&mut self, _: Unlisted, _: &mut Context<Self>) {
        self.view.state = None;
        self.publish();
    }
}

impl Handler<Peers> for Publisher {
    type Result = ();

    fn handle(&mut self, message: Peers, _: &mut Context<Self>) {
        self.view.peers = message.0;
        self.publish();
    }
}

impl Handler<Targets> for Publisher {
    type Result = ();

    fn handle(&mut self, message: Targets, _: &mut Context<Self>) {
        self.view.targets = message.0;
        self.publish();
    }
}

impl Handler<Digests> for Publisher {
    type Result = ();

    fn handle(&mut self, message: Digests, _: &mut Context<Self>) {
        self.view.digests = message.0;
        self.publish();
    }
}

impl Handler<Draining> for Publisher {
    type Result = ();

    fn handle(&mut self, _: Draining, _: &mut Context<Self>) {
        self.view.draining = true;
        self.publish();
    }
}

impl Handler<Raised> for Publisher {
    type Result = ();

    fn handle(&mut self, message: Raised, _: &mut Context<Self>) {
        self.view.incarnation = message.0;
        self.publish();
    }
}
