//! Applies configuration changes, never going back to an earlier revision, and activates them.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult};
use tokio::sync::watch;
use zinniastall_model::{
    change::{Answer, Change},
    fingerprint::Suspect,
    id,
    member::Member,
    state::State,
};
use zinniastall_wire::{feed::Feed, follow};

use super::{
    activation::Activation,
    choice::Source,
    confirmations::Collector,
    storage::{self, Snapshot},
};
use crate::{links::Identity, publish::Publisher, settings::Entry, view::Shared};

/// How often the actor checks whether this instance counts as cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Actor that holds the configuration of an entry instance.
#[derive(Debug)]
pub struct Follower {
    pub(super) identity: Identity,
    pub(super) shared_view: Shared,
    pub(super) publisher: Addr<Publisher>,
    pub(super) data_dir: Option<PathBuf>,
    pub(super) feed: watch::Sender<Feed>,
    pub(super) held: Arc<State>,
    pub(super) source: Option<SourceStatus>,
    pub(super) settled: bool,
    pub(super) started: Instant,
    pub(super) cut_off_after: Duration,
    pub(super) surveyed: bool,
    /// Revision that the control group had reached at some time after this instance started.
    pub(super) group_revision: Option<id::Revision>,
    /// Whether the held configuration may permit less than the one in force.
    pub(super) narrowed: bool,
    pub(super) activation: Activation,
    pub(super) confirmations: Collector,
    pub(super) pending_members: Vec<Member>,
    /// Suspects that were last reported to the control group.
    pub(super) reported_suspects: Vec<Suspect>,
}

/// Last status reported by the source.
#[derive(Debug, Clone, Copy)]
pub(super) struct SourceStatus {
    pub(super) control: bool,
    pub(super) revision: id::Revision,
    pub(super) connected: bool,
}

impl Follower {
    /// Creates a follower that holds the stored configuration, if there is one.
    pub fn new(
        settings: &Entry,
        identity: Identity,
        shared_view: Shared,
        publisher: Addr<Publisher>,
    ) -> Self {
        let stored = settings.data.as_deref().and_then(load_stored);
        let held = stored.map(|stored| {
            identity.set_cluster(stored.cluster);
            stored.state
        });
        let held = held.unwrap_or_default();
        let stored = held.revision;
        let (feed, _) = watch::channel(Feed::new(Arc::clone(&held), settings.follow.tail));
        Self {
            identity,
            shared_view,
            publisher,
            data_dir: settings.data.clone(),
            feed,
            held,
            source: None,
            settled: false,
            started: Instant::now(),
            cut_off_after: settings.follow.cut_off,
            surveyed: false,
            group_revision: None,
            narrowed: false,
            activation: Activation::new(stored),
            confirmations: Collector::default(),
            pending_members: Vec::new(),
            reported_suspects: Vec::new(),
        }
    }

    /// Returns the feed that this instance relays.
    pub fn feed(&self) -> watch::Receiver<Feed> {
        self.feed.subscribe()
    }

    fn apply(&mut self, message: follow::Message, source: Option<Source>) -> Outcome {
        match message {
            follow::Message::Snapshot(state) => {
                if state.revision > self.held.revision {
                    self.held = Arc::new(*state);
                    // The changes in between are unknown, and any of them may have narrowed what is
                    // permitted.
                    self.narrowed = true;
                    let state = Arc::clone(&self.held);
                    self.feed.send_modify(|feed| feed.restore(state));
                }
                Outcome::Applied
            }
            follow::Message::Changes(changes) => self.apply_changes(changes),
            follow::Message::Alive {
                revision,
                connected,
            } => {
                self.source = source.map(|source| SourceStatus {
                    control: source.is_control(),
                    revision,
                    connected,
                });
                Outcome::Applied
            }
            _ => Outcome::Applied,
        }
    }

    /// Applies changes that follow the held revision; duplicate and late ones have no effect.
    fn apply_changes(&mut self, changes: Vec<(id::Revision, Change)>) -> Outcome {
        let mut next = State::clone(&self.held);
        let mut outcome = Outcome::Applied;
        for (revision, change) in changes {
            if revision <= next.revision {
                continue;
            }
            if revision != next.revision + 1 {
                outcome = Outcome::Gap;
                break;
            }
            let answer = next.apply(&change);
            let Some(narrows) = narrowing(&answer, revision) else {
                // The states have diverged because of a bug. Only a full snapshot repairs this.
                tracing::error!(event = "change-misfit", revision);
                return Outcome::Mismatch;
            };
            self.narrowed |= narrows;
            self.feed.send_if_modified(|feed| {
                feed.push(revision, Arc::new(change));
                false
            });
        }
        if next.revision > self.held.revision {
            self.held = Arc::new(next);
            let state = Arc::clone(&self.held);
            self.feed.send_modify(|feed| feed.set_state(state));
        }
        outcome
    }
}

/// Returns whether a change that led to the wanted revision narrows what is permitted; `None` if it
/// led to another revision.
const fn narrowing(answer: &Answer, wanted: id::Revision) -> Option<bool> {
    match answer {
        Answer::Done { revision, narrows } if *revision == wanted => Some(*narrows),
        _ => None,
    }
}

fn load_stored(folder: &std::path::Path) -> Option<Snapshot> {
    match storage::load(folder) {
        Ok(stored) => stored,
        Err(error) => {
            tracing::error!(event = "configuration-not-found", error = %error);
            None
        }
    }
}

impl Actor for Follower {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(CHECK_INTERVAL, Self::try_activate);
    }
}

/// A message arrived from a source.
#[derive(Debug, Message)]
#[rtype(result = "Outcome")]
pub struct Incoming {
    /// The message.
    pub message: follow::Message,
    /// Source that this instance follows and that sent the message; `None` for an answer to a
    /// survey.
    pub source: Option<Source>,
}

/// Result of applying a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The message was applied or already known.
    Applied,
    /// Changes before it are missing.
    Gap,
    /// A change doesn't fit the held state; only a full snapshot helps.
    Mismatch,
}

impl Handler<Incoming> for Follower {
    type Result = MessageResult<Incoming>;

    fn handle(&mut self, incoming: Incoming, context: &mut Context<Self>) -> Self::Result {
        let outcome = self.apply(incoming.message, incoming.source);
        if outcome == Outcome::Mismatch {
            self.held = Arc::default();
        }
        self.try_activate(context);
        MessageResult(outcome)
    }
}

/// Requests the held revision.
#[derive(Debug, Message)]
#[rtype(result = "id::Revision")]
pub struct GetRevision;

impl Handler<GetRevision> for Follower {
    type Result = MessageResult<GetRevision>;

    fn handle(&mut self, _: GetRevision, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.held.revision)
    }
}

/// A survey of all instances that were known to be alive has ended. Returns whether the follower
/// has settled.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct SurveyDone {
    /// When the survey began.
    pub began: Instant,
}

impl Handler<SurveyDone> for Follower {
    type Result = bool;

    fn handle(&mut self, survey: SurveyDone, context: &mut Context<Self>) -> bool {
        // Membership needs a few heartbeats to find other instances; an earlier survey would have
        // asked none.
        self.surveyed |= survey.began >= self.started + self.cut_off_after / 2;
        self.try_activate(context);
        self.settled
    }
}

/// The control group has confirmed, since this instance started, which revision it had reached.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct GroupReached {
    /// Revision that was reached.
    pub revision: id::Revision,
}

impl Handler<GroupReached> for Follower {
    type Result = ();

    fn handle(&mut self, reached: GroupReached, context: &mut Context<Self>) {
        self.group_revision = self.group_revision.max(Some(reached.revision));
        self.try_activate(context);
    }
}

/// The link to the source was lost.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SourceLost;

impl Handler<SourceLost> for Follower {
    type Result = ();

    fn handle(&mut self, _: SourceLost, context: &mut Context<Self>) {
        self.source = None;
        self.try_activate(context);
    }
}
