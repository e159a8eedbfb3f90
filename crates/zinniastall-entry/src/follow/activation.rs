//! Activation: puts the held configuration in force once that is safe.

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

/// Activation state of the held configuration.
#[derive(Debug, Default)]
pub(super) struct Activation {
    published: Option<(id::Revision, bool)>,
    stored: id::Revision,
    confirmed: id::Revision,
    /// Whether a configuration has been in force, confirmed or not.
    has_served: bool,
    /// When the last request that was checked before the latest narrowing revision has reached its
    /// target or failed.
    in_flight_until: Option<Instant>,
}

impl Activation {
    /// Creates the state of an instance that has stored a revision.
    pub(super) fn new(stored: id::Revision) -> Self {
        Self {
            stored,
            ..Self::default()
        }
    }

    /// Marks a revision as confirmed, unless a later one is confirmed already.
    fn set_confirmed(&mut self, revision: id::Revision) {
        self.confirmed = self.confirmed.max(revision);
    }

    /// Returns the latest revision that may be confirmed.
    pub(super) const fn confirmed(&self) -> id::Revision {
        self.confirmed
    }
}

impl Follower {
    /// Returns whether the source reaches the control group and holds nothing later than this
    /// instance.
    fn is_connected(&self) -> bool {
        let current =
            |source: &SourceStatus| source.connected && source.revision <= self.held.revision;
        self.source.as_ref().is_some_and(current)
    }

    /// Returns whether this instance may serve under the held configuration.
    ///
    /// A restarted instance may hold an earlier revision than it had in force before. It waits
    /// until it is connected and holds the revision that the control group confirmed, or until it
    /// counts as cut off and has asked all instances. Otherwise an accepted change would be
    /// reverted here. A connection alone is not enough, because a replica that has just been cut
    /// off doesn't know it yet.
    fn can_settle(&self, connected: bool) -> bool {
        let group_confirmed = self
            .group_revision
            .is_some_and(|reached| reached <= self.held.revision);
        let cut_off = self.started.elapsed() >= self.cut_off_after && self.surveyed;
        (connected && group_confirmed) || (cut_off && self.held.revision > 0)
    }

    /// Activates the held configuration if that is safe.
    pub(super) fn try_activate(&mut self, context: &mut Context<Self>) {
        let connected = self.is_connected();
        let direct = self.source.is_some_and(|source| source.control);
        self.feed.send_if_modified(|feed| {
            let changed = feed.is_connected() != (connected && direct);
            // An instance reports a connection only if it follows control directly. Two relays that
            // follow each other could otherwise keep reporting a connection that no longer exists.
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
        // No message is handled in the meantime, so that a confirmation can't overtake the
        // activation that it confirms.
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

    /// Confirms a revision. If the revision narrows what is permitted, requests that were checked
    /// before must have reached their targets or failed first.
    ///
    /// Requests are checked just before they connect to a target. If a change that forbids this
    /// region were confirmed at once, it could be accepted while such a request still waits for its
    /// connection. The target would then run it after the operator was told that none does.
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

    /// Returns a task that stores the configuration, unless it is stored already or storage is
    /// disabled.
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
                    // The configuration is in force, but a restart while cut off would lose it. It
                    // is therefore not confirmed, since an accepted change must not be reverted.
                    tracing::error!(event = "configuration-not-kept", error = %error);
                    false
                }
            },
        )
    }
}
