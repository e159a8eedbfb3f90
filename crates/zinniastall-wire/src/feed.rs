//! Sending side of a follow link, used by control instances and relays.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use tokio::{sync::watch, time};
use zinniastall_coord::rate::Limit;
use zinniastall_model::{change::Change, fingerprint::Suspect, id, member::Member, state::State};

use crate::{
    follow::{Confirmation, Drift, Message},
    frame::Frame,
    link::{Error, Link, Receiver, Sender, send_within},
};

/// Maximum number of changes in one frame. The validation of the model limits the size of each.
const MAX_CHANGES_PER_FRAME: usize = 128;
/// Interval between keepalive messages.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of pending answers to one follower, which needs one at a time.
const MAX_PENDING_ANSWERS: usize = 4;
/// Time without a frame after which a follow link counts as broken.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A configuration and the recent changes that led to it.
#[derive(Debug, Clone)]
pub struct Feed {
    state: Arc<State>,
    recent: VecDeque<(id::Revision, Arc<Change>)>,
    capacity: usize,
    connected: bool,
}

/// Message of a follower, as passed to the caller of [`serve`].
#[derive(Debug)]
pub enum Event {
    /// An instance has introduced itself.
    Member(Member),
    /// Instances have confirmed revisions.
    Confirmed(Vec<Confirmation>),
    /// Targets of the follower's zone differ from the configuration.
    Drifted(Vec<Drift>),
    /// Requests are quarantined or released that the configuration doesn't hold as such.
    Suspects(Vec<Suspect>),
    /// Targets have named rates.
    Limits(Vec<(id::Target, Limit)>),
    /// The follower does not reach some targets.
    Unreached(crate::reach::Report),
    /// The other end requests histograms; the answer is [`Message::Summaries`].
    SummariesRequested,
    /// The follower asks which revision the control group has reached; the answer is
    /// [`Message::ReadIndexAnswer`].
    ReadIndex(u64),
}

/// Future answer to a message; `None` leaves the message unanswered.
pub type Answer = LocalBoxFuture<'static, Option<Message>>;

impl Feed {
    /// Creates a feed that keeps up to `capacity` changes for followers that lag behind.
    pub fn new(state: Arc<State>, capacity: usize) -> Self {
        Self {
            state,
            recent: VecDeque::new(),
            capacity,
            connected: false,
        }
    }

    /// Returns the configuration.
    pub const fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Tells whether the control group is reachable from this process.
    pub const fn is_connected(&self) -> bool {
        self.connected
    }

    /// Sets whether the control group is reachable from this process.
    pub const fn set_connected(&mut self, connected: bool) {
        self.connected = connected;
    }

    /// Adds a change; the configuration that results from it is set by [`Feed::set_state`].
    pub fn push(&mut self, revision: id::Revision, change: Arc<Change>) {
        self.recent.push_back((revision, change));
        if self.recent.len() > self.capacity {
            self.recent.pop_front();
        }
    }

    /// Sets the configuration that results from the changes added so far.
    pub fn set_state(&mut self, state: Arc<State>) {
        self.state = state;
    }

    /// Replaces the configuration and discards the changes, as after a snapshot.
    pub fn restore(&mut self, state: Arc<State>) {
        self.recent.clear();
        self.state = state;
    }

    /// Returns the changes after a revision, or `None` if some of them are no longer kept.
    pub fn changes_after(
        &self,
        revision: id::Revision,
    ) -> Option<Vec<(id::Revision, Arc<Change>)>> {
        if revision >= self.state.revision {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.0;
        if revision + 1 < first {
            return None;
        }
        // A change is added before its state is set. A reader on another thread that sent it in
        // between would send it again afterwards.
        let due = revision + 1..=self.state.revision;
        let missing = self.recent.iter().filter(|(made, _)| due.contains(made));
        Some(missing.cloned().collect())
    }

    /// Returns the messages that bring a follower up to date, and the revision that it holds after
    /// them.
    pub fn messages(&self, held: id::Revision) -> (Vec<Message>, id::Revision) {
        let reached = held.max(self.state.revision);
        let Some(changes) = self.changes_after(held) else {
            let state = Box::new(State::clone(&self.state));
            return (vec![Message::Snapshot(state)], reached);
        };
        let cloned =
            |(revision, change): &(id::Revision, Arc<Change>)| (*revision, Change::clone(change));
        let batch = |part: &[_]| Message::Changes(part.iter().map(cloned).collect());
        (
            changes.chunks(MAX_CHANGES_PER_FRAME).map(batch).collect(),
            reached,
        )
    }

    fn keepalive(&self) -> Message {
        Message::Alive {
            revision: self.state.revision,
            connected: self.connected,
        }
    }
}

/// Serves one follower until its link breaks or is idle for [`IDLE_TIMEOUT`].
///
/// `notify` receives the follower's messages and may return an answer.
///
/// # Errors
///
/// Returns the reason why the link ended.
pub async fn serve(
    link: Link,
    mut feed: watch::Receiver<Feed>,
    notify: impl Fn(Event) -> Option<Answer>,
) -> Result<(), Error> {
    let (mut sender, mut receiver) = link.split();
    let mut pending: FuturesUnordered<Answer> = FuturesUnordered::new();
    let mut held = None;
    let mut keepalive = time::interval(KEEPALIVE_INTERVAL);
    let mut idle_deadline = time::Instant::now() + IDLE_TIMEOUT;
    loop {
        tokio::select! {
            frame = receiver.next() => {
                idle_deadline = time::Instant::now() + IDLE_TIMEOUT;
                let Frame::Follow(message) = frame.ok_or(Error::Closed)?? else {
                    return Err(Error::Handshake);
                };
                if let Message::From { revision, .. } = &message {
                    held = Some(*revision);
                }
                let answer = event_of(message)?.and_then(&notify);
                pending.extend(answer.filter(|_| pending.len() < MAX_PENDING_ANSWERS));
            }
            Some(answer) = pending.next(), if !pending.is_empty() => {
                if let Some(message) = answer {
                    send(&mut sender, message).await?;
                }
            }
            changed = feed.changed() => changed.map_err(|_| Error::Closed)?,
            _ = keepalive.tick() => {
                let message = feed.borrow().keepalive();
                send(&mut sender, message).await?;
            }
            // A follower sends a confirmation every second. Without a timeout, a link that is cut
            // without a reset would occupy its slot until TCP gives up much later.
            () = time::sleep_until(idle_deadline) => return Err(Error::Closed),
        }
        if let Some(revision) = held {
            let (messages, reached) = feed.borrow_and_update().messages(revision);
            held = Some(reached);
            for message in messages {
                send(&mut sender, message).await?;
            }
        }
    }
}

fn event_of(message: Message) -> Result<Option<Event>, Error> {
    match message {
        Message::From { member, .. } => Ok(member.map(Event::Member)),
        Message::Present(member) => Ok(Some(Event::Member(member))),
        Message::Confirm(list) => Ok(Some(Event::Confirmed(list))),
        Message::Drifted(list) => Ok(Some(Event::Drifted(list))),
        Message::Suspects(list) => Ok(Some(Event::Suspects(list))),
        Message::Limits(list) => Ok(Some(Event::Limits(list))),
        Message::Unreached(report) => Ok(Some(Event::Unreached(report))),
        Message::SummariesRequest => Ok(Some(Event::SummariesRequested)),
        Message::ReadIndex { ask } => Ok(Some(Event::ReadIndex(ask))),
        _ => Err(Error::Handshake),
    }
}

/// Returns an answer that is immediately ready.
pub fn ready(message: Message) -> Answer {
    std::future::ready(Some(message)).boxed_local()
}

/// Sends a message, with a timeout.
///
/// # Errors
///
/// Returns [`Error::Closed`] if the other end does not accept the message within [`IDLE_TIMEOUT`].
pub async fn send(sender: &mut Sender, message: Message) -> Result<(), Error> {
    send_within(sender, Frame::Follow(message), IDLE_TIMEOUT).await
}

/// Receives a message, with a timeout.
///
/// # Errors
///
/// Returns [`Error::Closed`] if the other end sends nothing within [`IDLE_TIMEOUT`], and
/// [`Error::Handshake`] if it sends another kind of frame.
pub async fn receive(receiver: &mut Receiver) -> Result<Message, Error> {
    let frame = time::timeout(IDLE_TIMEOUT, receiver.next()).await;
    match frame.map_err(|_| Error::Closed)?.ok_or(Error::Closed)?? {
        Frame::Follow(message) => Ok(message),
        _ => Err(Error::Handshake),
    }
}
