//! The sending side of a follow link, used by control instances and by relays alike.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use tokio::{sync::watch, time};
use zinniastall_model::{change::Change, id, member::Member, state::State};

use crate::{
    follow::{Confirmation, Drift, Message},
    frame::Frame,
    link::{Error, Link, Receiver, Sender, send_within},
};

/// Changes of one frame; each is bounded by the checks of the model.
const MAX_CHANGES_PER_FRAME: usize = 128;
/// Time between two signs of life.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Most answers that one follower may wait for; it needs one at a time.
const MAX_PENDING_ANSWERS: usize = 4;
/// Time without a frame after which a follow link counts as cut.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A configuration and how it was reached.
#[derive(Debug, Clone)]
pub struct Feed {
    state: Arc<State>,
    recent: VecDeque<(id::Revision, Arc<Change>)>,
    capacity: usize,
    connected: bool,
}

/// What a follower says.
#[derive(Debug)]
pub enum Event {
    /// It presented itself.
    Member(Member),
    /// Revisions are in force.
    Confirmed(Vec<Confirmation>),
    /// Targets of its zone do not hold what the configuration says.
    Drifted(Vec<Drift>),
    /// It asks for figures; the answer is [`Message::Summaries`].
    SummariesRequested,
    /// It asks what the group has reached; the answer is [`Message::ReadIndexAnswer`].
    ReadIndex(u64),
}

/// An answer to what a follower says, as soon as there is one; `None` leaves it unanswered.
pub type Answer = LocalBoxFuture<'static, Option<Message>>;

impl Feed {
    /// Creates a feed that keeps a number of changes for followers that are a little behind.
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

    /// Tells whether the control group is reachable from here.
    pub const fn is_connected(&self) -> bool {
        self.connected
    }

    /// Sets whether the control group is reachable from here.
    pub const fn set_connected(&mut self, connected: bool) {
        self.connected = connected;
    }

    /// Notes a change; its configuration is set by [`Feed::set_state`].
    pub fn push(&mut self, revision: id::Revision, change: Arc<Change>) {
        self.recent.push_back((revision, change));
        if self.recent.len() > self.capacity {
            self.recent.pop_front();
        }
    }

    /// Sets the configuration that the changes pushed so far made.
    pub fn set_state(&mut self, state: Arc<State>) {
        self.state = state;
    }

    /// Takes a whole configuration, to which no changes are known.
    pub fn restore(&mut self, state: Arc<State>) {
        self.recent.clear();
        self.state = state;
    }

    /// Returns the changes after a revision, or `None` when not all of them are kept.
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
        // A change is pushed before its state is set; a reader on another thread that sent it in
        // between would send it a second time after.
        let due = revision + 1..=self.state.revision;
        let missing = self.recent.iter().filter(|(made, _)| due.contains(made));
        Some(missing.cloned().collect())
    }

    /// Returns what brings a follower up to date, and the revision that it then holds.
    pub fn messages(&self, held: id::Revision) -> (Vec<Message>, id::Revision) {
        let reached = held.max(self.state.revision);
        let Some(changes) = self.changes_after(held) else {
            let state = Box::new(State::clone(&self.state));
            return (vec![Message::Snapshot(state)], reached);
        };
        let own =
            |(revision, change): &(id::Revision, Arc<Change>)| (*revision, Change::clone(change));
        let batch = |part: &[_]| Message::Changes(part.iter().map(own).collect());
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

/// Serves one follower until its link breaks or falls silent; `notify` may return an answer.
///
/// # Errors
///
/// Says why the link ended.
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
            // A follower confirms every second; one that does not is gone, and a link that stays
            // open after a silent cut would hold its place until TCP gives up much later.
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
        Message::SummariesRequest => Ok(Some(Event::SummariesRequested)),
        Message::ReadIndex { ask } => Ok(Some(Event::ReadIndex(ask))),
        _ => Err(Error::Handshake),
    }
}

/// Returns an answer that is there already.
pub fn ready(message: Message) -> Answer {
    std::future::ready(Some(message)).boxed_local()
}

/// Sends one message, unless the other end takes nothing for too long.
///
/// # Errors
///
/// [`Error::Closed`] when it takes nothing.
pub async fn send(sender: &mut Sender, message: Message) -> Result<(), Error> {
    send_within(sender, Frame::Follow(message), IDLE_TIMEOUT).await
}

/// Receives one message, unless the other end is silent for too long.
///
/// # Errors
///
/// [`Error::Closed`] when it is silent, [`Error::Handshake`] when it sends something else.
pub async fn receive(receiver: &mut Receiver) -> Result<Message, Error> {
    let frame = time::timeout(IDLE_TIMEOUT, receiver.next()).await;
    match frame.map_err(|_| Error::Closed)?.ok_or(Error::Closed)?? {
        Frame::Follow(message) => Ok(message),
        _ => Err(Error::Handshake),
    }
}
