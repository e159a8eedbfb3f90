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
    choice::Source,
    confirm::Gathered,
    force::Force,
    kept::{self, Kept},
};
use crate::{links::Identity, publish::Publisher, settings::Entry, view::Board};

/// Time between two looks at whether this instance counts as cut off.
const LOOK: Duration = Duration::from_millis(100);

/// Holds the configuration of an entry instance.
#[derive(Debug)]
pub struct Follower {
    pub(super) identity: Identity,
    pub(super) board: Board,
    pub(super) publisher: Addr<Publisher>,
    pub(super) data: Option<PathBuf>,
    pub(super) feed: watch::Sender<Feed>,
    pub(super) held: Arc<State>,
    pub(super) source: Option<Alive>,
    pub(super) settled: bool,
    pub(super) started: Instant,
    pub(super) cut_off: Duration,
    pub(super) surveyed: bool,
    /// Revision that the control group had reached at some time since the start.
    pub(super) vouched: Option<id::Revision>,
    /// Whether what is held may permit less than what was in force before.
    pub(super) narrowed: bool,
    pub(super) force: Force,
    pub(super) gathered: Gathered,
    pub(super) presented: Vec<Member>,
}

/// The source's last sign of life.
#[derive(Debug, Clone, Copy)]
pub(super) struct Alive {
    pub(super) control: bool,
    pub(super) revision: id::Revision,
    pub(super) connected: bool,
}

impl Follower {
    /// Creates a follower with the configuration that was kept, if any.
    pub fn new(
        settings: &Entry,
        identity: Identity,
        board: Board,
        publisher: Addr<Publisher>,
    ) -> Self {
        let kept = settings.data.as_deref().and_then(found);
        let held = kept.map(|kept| {
            identity.join(kept.cluster);
            kept.state
        });
        let held = held.unwrap_or_default();
        let kept = held.revision;
        let (feed, _) = watch::channel(Feed::new(Arc::clone(&held), settings.follow.tail));
        Self {
            identity,
            board,
            publisher,
            data: settings.data.clone(),
            feed,
            held,
            source: None,
            settled: false,
            started: Instant::now(),
            cut_off: settings.follow.cut_off,
            surveyed: false,
            vouched: None,
            narrowed: false,
            force: Force::new(kept),
            gathered: Gathered::default(),
            presented: Vec::new(),
        }
    }

    /// Returns what this instance passes on.
    pub fn feed(&self) -> watch::Receiver<Feed> {
        self.feed.subscribe()
    }

    fn take(&mut self, message: follow::Message, source: Option<Source>) -> Taken {
        match message {
            follow::Message::Snapshot(state) => {
                if state.revision > self.held.revision {
                    self.held = Arc::new(*state);
                    // What lies between is not known.
                    self.narrowed = true;
                    let state = Arc::clone(&self.held);
                    self.feed.send_modify(|feed| feed.restore(state));
                }
                Taken::Fine
            }
            follow::Message::Changes(changes) => self.take_changes(changes),
            follow::Message::Alive {
                revision,
                connected,
            } => {
                self.source = source.map(|source| Alive {
                    control: source.is_control(),
                    revision,
                    connected,
                });
                Taken::Fine
            }
            _ => Taken::Fine,
        }
    }

    /// Applies changes that continue what is held; doubled and late ones change nothing.
    fn take_changes(&mut self, changes: Vec<(id::Revision, Change)>) -> Taken {
        let mut next = State::clone(&self.held);
        let mut taken = Taken::Fine;
        for (revision, change) in changes {
            if revision <= next.revision {
                continue;
            }
            if revision != next.revision + 1 {
                taken = Taken::Gap;
                break;
            }
            let answer = next.apply(&change);
            let Some(narrows) = made(&answer, revision) else {
                // The states have parted, by a fault of this program; a whole one repairs it.
                tracing::error!(event = "change-misfit", revision);
                return Taken::Misfit;
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
        taken
    }
}

/// Tells whether a change that made a revision narrows; `None` when it made another one.
const fn made(answer: &Answer, wanted: id::Revision) -> Option<bool> {
    match answer {
        Answer::Done { revision, narrows } if *revision == wanted => Some(*narrows),
        _ => None,
    }
}

fn found(folder: &std::path::Path) -> Option<Kept> {
    match kept::load(folder) {
        Ok(kept) => kept,
        Err(error) => {
            tracing::error!(event = "configuration-not-found", error = %error);
            None
        }
    }
}

impl Actor for Follower {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(LOOK, Self::enforce);
    }
}

/// A message arrived from the source.
#[derive(Debug, Message)]
#[rtype(result = "Taken")]
pub struct Took {
    /// The message.
    pub message: follow::Message,
    /// Whom this instance follows and who sent it; `None` for an answer to a survey.
    pub source: Option<Source>,
}

/// What came of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It was taken, or was known.
    Fine,
    /// Changes before it are missing.
    Gap,
    /// A change does not fit what is held; only a whole configuration helps.
    Misfit,
}

impl Handler<Took> for Follower {
    type Result = MessageResult<Took>;

    fn handle(&mut self, took: Took, context: &mut Context<Self>) -> Self::Result {
        let taken = self.take(took.message, took.source);
        if taken == Taken::Misfit {
            self.held = Arc::default();
        }
        self.enforce(context);
        MessageResult(taken)
    }
}

/// Asks for the revision that is held.
#[derive(Debug, Message)]
#[rtype(result = "id::Revision")]
pub struct Held;

impl Handler<Held> for Follower {
    type Result = MessageResult<Held>;

    fn handle(&mut self, _: Held, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.held.revision)
    }
}

/// Everyone who was known to be alive has been asked; the answer tells whether that is enough.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct Surveyed {
    /// When the survey began.
    pub began: Instant,
}

impl Handler<Surveyed> for Follower {
    type Result = bool;

    fn handle(&mut self, survey: Surveyed, context: &mut Context<Self>) -> bool {
        // Membership needs some heartbeats to find the neighbours; a survey from before that has
        // asked nobody.
        self.surveyed |= survey.began >= self.started + self.cut_off / 2;
        self.enforce(context);
        self.settled
    }
}

/// The control group has confirmed, since this instance started, what it had reached.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Vouched {
    /// Revision reached.
    pub revision: id::Revision,
}

impl Handler<Vouched> for Follower {
    type Result = ();

    fn handle(&mut self, vouched: Vouched, context: &mut Context<Self>) {
        self.vouched = self.vouched.max(Some(vouched.revision));
        self.enforce(context);
    }
}

/// The link to the source is gone.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Lost;

impl Handler<Lost> for Follower {
    type Result = ();

    fn handle(&mut self, _: Lost, context: &mut Context<Self>) {
        self.source = None;
        self.enforce(context);
    }
}
