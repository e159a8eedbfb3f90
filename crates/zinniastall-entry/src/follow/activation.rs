//! Puts the configuration in force, once that is safe.

use std::{sync::Arc, time::Instant};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use zinniastall_model::id;

use super::{
    actor::{Follower, SourceStatus},
    storage::{self, Snapshot},
};
use crate::{
    callers::target::CONNECT_TIMEOUT,
    publish::{Configured, Unlisted},
};

/// What has been done about the configuration that is held.
#[derive(Debug, Default)]
pub(super) struct Activation {
    published: Option<(id::Revision, bool)>,
    stored: id::Revision,
    confirmed: id::Revision,
    /// Whether a configuration has been in force, confirmed or not.
    has_served: bool,
    /// When the last request that was judged before the last narrower revision has left or failed.
    in_flight_until: Option<Instant>,
}

impl Activation {
    /// Starts with what is on disk already.
    pub(super) fn new(stored: id::Revision) -> Self {
        Self {
            stored,
            ..Self::default()
        }
    }

    /// Lets a revision be confirmed; later ones may have been already.
    fn set_confirmed(&mut self, revision: id::Revision) {
        self.confirmed = self.confirmed.max(revision);
    }

    /// Returns the revision that may be confirmed.
    pub(super) const fn confirmed(&self) -> id::Revision {
        self.confirmed
    }
}

impl Follower {
    /// Tells whether a source that reaches the control group has nothing that is not held here.
    fn is_connected(&self) -> bool {
        let current =
            |source: &SourceStatus| source.connected && source.revision <= self.held.revision;
        self.source.as_ref().is_some_and(current)
    }

    /// Tells whether this instance may serve under what it holds.
    ///
    /// A restarted instance may hold less than its last run had in force. It waits until it is
    /// connected and holds what the control group vouches for, or until it counts as cut off and
    /// everyone has been asked; otherwise what was accepted would revert here. Being connected is
    /// not enough: a replica that was cut off a moment ago doesn't know it yet.
    fn can_settle(&self, connected: bool) -> bool {
        let group_confirmed = self
            .group_revision
            .is_some_and(|reached| reached <= self.held.revision);
        let cut_off = self.started.elapsed() >= self.cut_off_after && self.surveyed;
        (connected && group_confirmed) || (cut_off && self.held.revision > 0)
    }

    /// Puts the configuration in force, once it is safe to do so.
    pub(super) fn try_activate(&mut self, context: &mut Context<Self>) {
        let connected = self.is_connected();
        let direct = self.source.is_some_and(|source| source.control);
        self.feed.send_if_modified(|feed| {
            let changed = feed.is_connected() != (connected && direct);
            // Only who hears control itself vouches for it: two relays that follow each other
            // could otherwise keep telling one another that control is there.
            feed.set_connected(connected && direct);
            changed
        });
        if !self.settled && self.can_settle(connected) {
            self.settled = true;
            tracing::info!(event = "settled", revision = self.held.revision, connected);
        }
        if !self.settled || self.activation.published == Some((self.held.revision, connected)) {
            return;
        }
        self.activation.published = Some((self.held.revision, connected));
        if self.held.members.contains_key(self.identity.instance()) {
            self.activate(connected, context);
        } else {
            self.publisher.do_send(Unlisted);
        }
    }

    fn activate(&mut self, connected: bool, context: &mut Context<Self>) {
        let state = Arc::clone(&self.held);
        let revision = state.revision;
        let save = self.save_task();
        let publisher = self.publisher.clone();
        let activated = async move {
            let stored = match save {
                Some(save) => tokio::task::spawn_blocking(save).await.unwrap_or(false),
                None => true,
            };
            let configured = Configured { state, connected };
            let in_view = publisher.send(configured).await.is_ok();
            (stored, in_view)
        };
        // Nothing else is taken meanwhile: a confirmation must not pass by what it confirms.
        context.wait(activated.into_actor(self).map(
            move |(stored, in_view), follower, context| {
                let has_served = std::mem::replace(&mut follower.activation.has_served, true);
                if stored {
                    follower.activation.stored = revision;
                }
                if stored && in_view {
                    tracing::info!(event = "in-force", revision, connected);
                    follower.confirm(revision, has_served, context);
                }
            },
        ));
    }

    /// Confirms a revision, a narrower one once what was judged before it is on its way or lost.
    ///
    /// A request is judged right before it connects to its target. Confirmed at once, a change that
    /// forbids this region could be accepted while such a request still waits for its connection, and
    /// the target would run it after the operator was told that none does.
    fn confirm(&mut self, revision: id::Revision, has_served: bool, context: &mut Context<Self>) {
        let now = Instant::now();
        if std::mem::take(&mut self.narrowed) && has_served {
            self.activation.in_flight_until = Some(now + CONNECT_TIMEOUT);
        }
        let until = self.activation.in_flight_until;
        let wait = until.map_or_else(Default::default, |end| end.saturating_duration_since(now));
        if wait.is_zero() {
            self.activation.set_confirmed(revision);
        } else {
            context.run_later(wait, move |this, _| this.activation.set_confirmed(revision));
        }
    }

    /// Returns what keeps the configuration on disk, unless that is done or not wanted.
    fn save_task(&self) -> Option<impl FnOnce() -> bool + Send + 'static> {
        let folder = self.data_dir.clone()?;
        let cluster = self.identity.cluster()?.to_owned();
        if self.held.revision <= self.activation.stored {
            return None;
        }
        let state = Arc::clone(&self.held);
        Some(
            move || match storage::save(&folder, &Snapshot { cluster, state }) {
                Ok(()) => true,
                Err(error) => {
                    // It is in force, but a restart while cut off would lose it, so it is not
                    // confirmed: an accepted change must not revert.
                    tracing::error!(event = "configuration-not-kept", error = %error);
                    false
                }
            },
        )
    }
}
