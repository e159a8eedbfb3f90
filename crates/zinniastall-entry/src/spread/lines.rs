//! The open gossip links, one a peer.

use std::time::{Duration, Instant};

use actix::Addr;
use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tokio::{sync::mpsc, task::AbortHandle};
use zinniastall_coord::membership::Bounds;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::{
    frame::Frame,
    gossip::Message,
    link::{Link, Receiver, Sender},
};

use super::{
    actor::Spread,
    messages::{Closed, Received},
    settings,
};

/// Number of an open link within this process.
pub type Line = u64;

/// Frames that may wait for a slow peer. A peer that is slower gets a new link and whole reports
/// instead of ever older news.
const WAITING: usize = 64;

/// How long a link stays that isn't wanted: a seed's answer has to arrive first.
const GRACE: Duration = Duration::from_secs(5);

/// An open link.
#[derive(Debug)]
struct Open {
    instance: id::Instance,
    incarnation: id::Incarnation,
    place: Place,
    dialed: bool,
    opened: Instant,
    heard: Instant,
    out: mpsc::Sender<Message>,
    tasks: [AbortHandle; 2],
}

impl Drop for Open {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The open gossip links of an instance.
#[derive(Debug)]
pub struct Lines {
    own: id::Instance,
    region: id::Region,
    settings: settings::Spread,
    next: Line,
    open: IndexMap<Line, Open>,
}

impl Lines {
    /// Creates an empty table for an instance of a region.
    pub fn new(own: id::Instance, region: id::Region, settings: settings::Spread) -> Self {
        Self {
            own,
            region,
            settings,
            next: 0,
            open: IndexMap::new(),
        }
    }

    /// Takes a link in, unless the open one to the same peer stays. Returns its number.
    pub fn add(
        &mut self,
        link: Link,
        dialed: bool,
        spread: &Addr<Spread>,
        now: Instant,
    ) -> Option<Line> {
        let peer = link.peer().clone();
        if let Some(old) = self.of(&peer.instance) {
            if !self.gives_way(old, dialed, peer.incarnation, now) {
                return None;
            }
            self.open.swap_remove(&old);
        }
        self.next += 1;
        let number = self.next;
        let (sender, receiver) = link.split();
        let (out, queue) = mpsc::channel(WAITING);
        let write = actix::spawn(write(number, queue, sender, spread.clone()));
        let read = actix::spawn(read(number, receiver, spread.clone()));
        let open = Open {
            instance: peer.instance,
            incarnation: peer.incarnation,
            place: peer.place,
            dialed,
            opened: now,
            heard: now,
            out,
            tasks: [write.abort_handle(), read.abort_handle()],
        };
        self.open.insert(number, open);
        Some(number)
    }

    /// Returns the link to a peer.
    pub fn of(&self, instance: &str) -> Option<Line> {
        let mut lines = self.open.iter();
        let found = lines.find(|(_, open)| open.instance == instance);
        found.map(|(line, _)| *line)
    }

    /// Returns the peer and place at the other end, and notes that it was heard.
    pub fn heard(&mut self, line: Line, now: Instant) -> Option<(id::Instance, Place)> {
        let open = self.open.get_mut(&line)?;
        open.heard = now;
        Some((open.instance.clone(), open.place.clone()))
    }

    /// Returns all links and their peers.
    pub fn peers(&self) -> Vec<(Line, id::Instance, Place)> {
        let peer =
            |(line, open): (&Line, &Open)| (*line, open.instance.clone(), open.place.clone());
        self.open.iter().map(peer).collect()
    }

    /// Sends a message; a link whose queue is full is closed.
    pub fn send(&mut self, line: Line, message: Message) {
        let Some(open) = self.open.get(&line) else {
            return;
        };
        if open.out.try_send(message).is_err() {
            tracing::info!(event = "link-slow", peer = open.instance);
            self.open.swap_remove(&line);
        }
    }

    /// Sends a message to every peer of a place.
    pub fn send_within(&mut self, place: &Place, message: &Message) {
        for (line, _, at) in self.peers() {
            if at == *place {
                self.send(line, message.clone());
            }
        }
    }

    /// Returns how many links are open.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Closes a link.
    pub fn close(&mut self, line: Line) {
        self.open.swap_remove(&line);
    }

    /// Returns the bounds on silence of an instance at a place.
    pub fn bounds(&self, place: &Place) -> Bounds {
        self.settings.bounds(self.is_far(place))
    }

    /// Tells whether a place is in another region.
    pub fn is_far(&self, place: &Place) -> bool {
        place.region != self.region
    }

    /// Closes the links that have been silent for longer than anything can explain.
    pub fn close_silent(&mut self, now: Instant) {
        let silent = |open: &Open| {
            let limit = self.bounds(&open.place).ceiling;
            now.saturating_duration_since(open.heard) > limit
        };
        let open = self.open.iter();
        let silent = open.filter(|(_, open)| silent(open));
        for line in silent.map(|(line, _)| *line).collect::<Vec<_>>() {
            self.open.swap_remove(&line);
        }
    }

    /// Closes the links that were dialled from here and aren't wanted any more.
    ///
    /// The other end may want an accepted one; it closes that itself.
    pub fn close_unwanted(&mut self, wanted: impl Fn(&str, &Place) -> bool, now: Instant) {
        self.open.retain(|_, open| {
            let young = now.saturating_duration_since(open.opened) < GRACE;
            !open.dialed || young || wanted(&open.instance, &open.place)
        });
    }

    /// Closes every link.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    /// Tells whether an open link gives way to a new one. Both ends come to the same verdict when
    /// they dial each other at once: the link dialled by the lower name stays.
    fn gives_way(
        &self,
        old: Line,
        dialed: bool,
        incarnation: id::Incarnation,
        now: Instant,
    ) -> bool {
        let Some(open) = self.open.get(&old) else {
            return true;
        };
        let patience = self.bounds(&open.place).floor;
        let silent = now.saturating_duration_since(open.heard) > patience;
        if silent || open.incarnation != incarnation || open.dialed == dialed {
            return true;
        }
        let own_is_lower = self.own < open.instance;
        dialed == own_is_lower
    }
}

async fn write(
    line: Line,
    mut queue: mpsc::Receiver<Message>,
    mut sender: Sender,
    spread: Addr<Spread>,
) {
    while let Some(message) = queue.recv().await {
        if sender.send(Frame::Gossip(message)).await.is_err() {
            break;
        }
    }
    spread.do_send(Closed(line));
}

async fn read(line: Line, mut receiver: Receiver, spread: Addr<Spread>) {
    // Waiting for the actor bounds what a peer that sends without end can pile up here.
    while let Some(Ok(Frame::Gossip(message))) = receiver.next().await {
        if spread.send(Received(line, message)).await.is_err() {
            return;
        }
    }
    spread.do_send(Closed(line));
}
