//! Takes configuration in, never stepping back, and puts it in force.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult};
use tokio::sync::watch;
use zinniastall_model::{
    change::{Answer, Change},
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

/// Time between two looks at whether this instance counts as cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Holds the configuration of an entry instance.
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
    /// Revision that the control group had reached at some time since the start.
    pub(super) group_revision: Option<id::Revision>,
    /// Whether what is held may permit less than what was in force before.
    pub(super) narrowed: bool,
    pub(super) activation: Activation,
    pub(super) confirmations: Collector,
    pub(super) pending_members: Vec<Member>,
}

/// The source's last sign of life.
#[derive(Debug, Clone, Copy)]
pub(super) struct SourceStatus {
    pub(super) control: bool,
    pub(super) revision: id::Revision,
    pub(super) connected: bool,
}

impl Follower {
    /// Creates a follower with the configuration that was kept, if any.
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
        }
    }

    /// Returns what this instance passes on.
    pub fn feed(&self) -> watch::Receiver<Feed> {
        self.feed.subscribe()
    }

    fn apply(&mut self, message: follow::Message, source: Option<Source>) -> Outcome {
        match message {
            follow::Message::Snapshot(state) => {
                if state.revision > self.held.revision {
                    self.held = Arc::new(*state);
                    // What lies between is not known.
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

    /// Applies changes that continue what is held; doubled and late ones change nothing.
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
                // The states have parted, by a fault of this program; a whole one repairs it.
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

/// Tells whether a change that made a revision narrows; `None` when it made another one.
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

/// A message arrived from the source.
#[derive(Debug, Message)]
#[rtype(result = "Outcome")]
pub struct Incoming {
    /// The message.
    pub message: follow::Message,
    /// Whom this instance follows and who sent it; `None` for an answer to a survey.
    pub source: Option<Source>,
}

/// What came of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was taken, or was known.
    Applied,
    /// Changes before it are missing.
    Gap,
    /// A change does not fit what is held; only a whole configuration helps.
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

/// Asks for the revision that is held.
#[derive(Debug, Message)]
#[rtype(result = "id::Revision")]
pub struct GetRevision;

impl Handler<GetRevision> for Follower {
    type Result = MessageResult<GetRevision>;

    fn handle(&mut self, _: GetRevision, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.held.revision)
    }
}

/// Everyone who was known to be alive has been asked; the answer tells whether that is enough.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct SurveyDone {
    /// When the survey began.
    pub began: Instant,
}

impl Handler<SurveyDone> for Follower {
    type Result = bool;

    fn handle(&mut self, survey: SurveyDone, context: &mut Context<Self>) -> bool {
        // Membership needs some heartbeats to find the neighbours; a survey from before that has
        // asked nobody.
        self.surveyed |= survey.began >= self.started + self.cut_off_after / 2;
        self.try_activate(context);
        self.settled
    }
}

/// The control group has confirmed, since this instance started, what it had reached.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct GroupReached {
    /// Revision reached.
    pub revision: id::Revision,
}

impl Handler<GroupReached> for Follower {
    type Result = ();

    fn handle(&mut self, reached: GroupReached, context: &mut Context<Self>) {
        self.group_revision = self.group_revision.max(Some(reached.revision));
        self.try_activate(context);
    }
}

/// The link to the source is gone.
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
