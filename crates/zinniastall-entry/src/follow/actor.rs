//! Takes configuration in, never stepping back, and puts it in force.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, MessageResult, WrapFuture,
};
use tokio::sync::watch;
use zinniastall_model::{
    change::{Answer, Change},
    id,
    member::Member,
    state::State,
};
use zinniastall_wire::{
    feed::Feed,
    follow::{self, Confirmation},
};

use super::{
    astray,
    choice::Source,
    confirm::Gathered,
    kept::{self, Kept},
};
use crate::{
    links::Identity,
    publish::{Configured, Publisher, Unlisted},
    settings::Entry,
    view::Board,
};

/// Time between two looks at whether this instance counts as cut off.
const LOOK: Duration = Duration::from_millis(100);
/// Followers that may wait to be presented to control.
const PRESENTED: usize = 256;

/// Holds the configuration of an entry instance.
#[derive(Debug)]
pub struct Follower {
    identity: Identity,
    board: Board,
    publisher: Addr<Publisher>,
    data: Option<PathBuf>,
    feed: watch::Sender<Feed>,
    held: Arc<State>,
    source: Option<Alive>,
    settled: bool,
    started: Instant,
    cut_off: Duration,
    surveyed: bool,
    force: Force,
    gathered: Gathered,
    presented: Vec<Member>,
}

/// The source's last sign of life.
#[derive(Debug, Clone, Copy)]
struct Alive {
    control: bool,
    revision: id::Revision,
    connected: bool,
}

/// What has been done about the configuration that is held.
#[derive(Debug, Default)]
struct Force {
    published: Option<(id::Revision, bool)>,
    kept: id::Revision,
    confirmed: id::Revision,
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
            force: Force {
                kept,
                ..Force::default()
            },
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
        for (revision, change) in changes {
            if revision <= self.held.revision {
                continue;
            }
            if revision != self.held.revision + 1 {
                return Taken::Gap;
            }
            let mut next = State::clone(&self.held);
            let answer = next.apply(&change);
            let fits = matches!(answer, Answer::Done { revision: made, .. } if made == revision);
            if !fits {
                // The states have parted, by a fault of this program; a whole one repairs it.
                tracing::error!(event = "change-misfit", revision);
                return Taken::Misfit;
            }
            self.held = Arc::new(next);
            let state = Arc::clone(&self.held);
            self.feed.send_modify(|feed| {
                feed.push(revision, Arc::new(change));
                feed.reach(state);
            });
        }
        Taken::Fine
    }

    /// Tells whether a source that reaches the control group has nothing that is not held here.
    fn is_connected(&self) -> bool {
        let current = |source: &Alive| source.connected && source.revision <= self.held.revision;
        self.source.as_ref().is_some_and(current)
    }

    /// Tells whether this instance may serve under what it holds.
    ///
    /// A restarted instance may hold less than its last run had in force. It waits until it is
    /// connected to control, or until it counts as cut off and everyone has been asked; otherwise
    /// what was accepted would revert here.
    fn settles(&self, connected: bool) -> bool {
        let cut_off = self.started.elapsed() >= self.cut_off && self.surveyed;
        connected || (cut_off && self.held.revision > 0)
    }

    /// Puts the configuration in force, once it is safe to do so.
    fn enforce(&mut self, context: &mut Context<Self>) {
        let connected = self.is_connected();
        let direct = self.source.is_some_and(|source| source.control);
        self.feed.send_if_modified(|feed| {
            let changed = feed.is_connected() != (connected && direct);
            // Only who hears control itself vouches for it: two relays that follow each other
            // could otherwise keep telling one another that control is there.
            feed.connect(connected && direct);
            changed
        });
        if !self.settled && self.settles(connected) {
            self.settled = true;
            tracing::info!(event = "settled", revision = self.held.revision, connected);
        }
        if !self.settled || self.force.published == Some((self.held.revision, connected)) {
            return;
        }
        self.force.published = Some((self.held.revision, connected));
        if self.held.members.contains_key(self.identity.instance()) {
            self.put_in_force(connected, context);
        } else {
            self.publisher.do_send(Unlisted);
        }
    }

    fn put_in_force(&mut self, connected: bool, context: &mut Context<Self>) {
        let state = Arc::clone(&self.held);
        let revision = state.revision;
        let save = self.saving();
        let publisher = self.publisher.clone();
        let enforced = async move {
            let kept = match save {
                Some(save) => tokio::task::spawn_blocking(save).await.unwrap_or(false),
                None => true,
            };
            let configured = Configured { state, connected };
            let in_view = publisher.send(configured).await.is_ok();
            (kept, in_view)
        };
        // Nothing else is taken meanwhile: a confirmation must not pass by what it confirms.
        context.wait(
            enforced
                .into_actor(self)
                .map(move |(kept, in_view), follower, _| {
                    if kept {
                        follower.force.kept = revision;
                    }
                    if kept && in_view {
                        follower.force.confirmed = revision;
                        tracing::info!(event = "in-force", revision, connected);
                    }
                }),
        );
    }

    /// Returns what keeps the configuration on disk, unless that is done or not wanted.
    fn saving(&self) -> Option<impl FnOnce() -> bool + Send + 'static> {
        let folder = self.data.clone()?;
        let cluster = self.identity.cluster()?.to_owned();
        if self.held.revision <= self.force.kept {
            return None;
        }
        let state = Arc::clone(&self.held);
        Some(
            move || match kept::save(&folder, &Kept { cluster, state }) {
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

    fn own(&self) -> Member {
        let addresses = self.identity.addresses();
        Member {
            instance: self.identity.instance().to_owned(),
            place: self.identity.place().clone(),
            links: addresses.links.clone(),
            callers: addresses.callers.clone(),
        }
    }

    fn confirmation(&self) -> Confirmation {
        Confirmation {
            instance: self.identity.instance().to_owned(),
            incarnation: self.identity.incarnation(),
            revision: self.force.confirmed,
            draining: self.board.view().draining,
        }
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

/// A follower of this instance was heard.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum Heard {
    /// It presented itself.
    Member(Member),
    /// Revisions are in force.
    Confirmed(Vec<Confirmation>),
}

impl Handler<Heard> for Follower {
    type Result = ();

    fn handle(&mut self, heard: Heard, _: &mut Context<Self>) {
        match heard {
            Heard::Member(member) => {
                let known = self.held.members.get(&member.instance) == Some(&member);
                if !known && self.presented.len() < PRESENTED {
                    self.presented.push(member);
                }
            }
            Heard::Confirmed(list) => {
                let now = Instant::now();
                for confirmation in list {
                    if self.held.members.contains_key(&confirmation.instance) {
                        self.gathered.note(confirmation, now);
                    }
                }
            }
        }
    }
}

/// Asks what the source is to be told.
#[derive(Debug, Message)]
#[rtype(result = "Vec<follow::Message>")]
pub struct Report {
    /// Whether the link is new, so that the source knows nothing yet.
    pub fresh: bool,
    /// Whether a sign of life is due even when there is nothing new.
    pub due: bool,
}

impl Handler<Report> for Follower {
    type Result = MessageResult<Report>;

    fn handle(&mut self, report: Report, _: &mut Context<Self>) -> Self::Result {
        let now = Instant::now();
        let own = self.own();
        let listed = self.held.members.get(&own.instance) == Some(&own);
        let mut messages = Vec::new();
        if report.fresh || (report.due && !listed) {
            messages.push(follow::Message::From {
                revision: self.held.revision,
                member: (!listed).then_some(own),
            });
        }
        let presented = self.presented.drain(..);
        messages.extend(presented.map(follow::Message::Present));
        self.gathered.note(self.confirmation(), now);
        let mut list = self.gathered.take(now, report.fresh);
        let own = self.confirmation();
        if report.due && !list.contains(&own) {
            list.push(own);
        }
        if !list.is_empty() {
            messages.push(follow::Message::Confirm(list));
        }
        if report.due && self.source.is_some_and(|source| source.control) {
            let astray = astray::find(&self.held, &self.board.view());
            if !astray.is_empty() {
                messages.push(follow::Message::Astray(astray));
            }
        }
        MessageResult(messages)
    }
}
