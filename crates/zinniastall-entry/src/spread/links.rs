//! The open gossip links, at most one per peer.

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

/// Identifies an open link within this process.
pub type Handle = u64;

/// Frames that may be queued for a slow peer. A peer that falls further behind gets a new link and
/// full reports instead of outdated ones.
const QUEUE_CAPACITY: usize = 64;

/// Minimum age at which an unwanted link is closed. The answer of a seed must be able to arrive
/// first.
const MIN_LINK_AGE: Duration = Duration::from_secs(5);

/// An open link.
#[derive(Debug)]
struct Connection {
    instance: id::Instance,
    incarnation: id::Incarnation,
    place: Place,
    dialed: bool,
    opened: Instant,
    last_received: Instant,
    queue: mpsc::Sender<Message>,
    tasks: [AbortHandle; 2],
}

impl Drop for Connection {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The open gossip links of an instance.
#[derive(Debug)]
pub struct Links {
    own: id::Instance,
    region: id::Region,
    settings: settings::Spread,
    last_handle: Handle,
    open: IndexMap<Handle, Connection>,
}

impl Links {
    /// Creates an empty set of links for an instance of a region.
    pub fn new(own: id::Instance, region: id::Region, settings: settings::Spread) -> Self {
        Self {
            own,
            region,
            settings,
            last_handle: 0,
            open: IndexMap::new(),
        }
    }

    /// Adds a link and returns its handle, or `None` if the existing link to the same peer is kept.
    pub fn add(
        &mut self,
        link: Link,
        dialed: bool,
        spread: &Addr<Spread>,
        now: Instant,
    ) -> Option<Handle> {
        let peer = link.peer().clone();
        if let Some(old) = self.get(&peer.instance) {
            if !self.is_replaceable(old, dialed, peer.incarnation, now) {
                return None;
            }
            self.open.swap_remove(&old);
        }
        self.last_handle += 1;
        let handle = self.last_handle;
        let (sender, receiver) = link.split();
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let write = actix::spawn(write(handle, messages, sender, spread.clone()));
        let read = actix::spawn(read(handle, receiver, spread.clone()));
        let open = Connection {
            instance: peer.instance,
            incarnation: peer.incarnation,
            place: peer.place,
            dialed,
            opened: now,
            last_received: now,
            queue,
            tasks: [write.abort_handle(), read.abort_handle()],
        };
        self.open.insert(handle, open);
        Some(handle)
    }

    /// Returns the link to a peer.
    pub fn get(&self, instance: &str) -> Option<Handle> {
        let mut links = self.open.iter();
        let found = links.find(|(_, open)| open.instance == instance);
        found.map(|(handle, _)| *handle)
    }

    /// Records that a message arrived on a link. Returns the peer and its place.
    pub fn record_received(
        &mut self,
        handle: Handle,
        now: Instant,
    ) -> Option<(id::Instance, Place)> {
        let open = self.open.get_mut(&handle)?;
        open.last_received = now;
        Some((open.instance.clone(), open.place.clone()))
    }

    /// Returns all links with their peers and places.
    pub fn peers(&self) -> Vec<(Handle, id::Instance, Place)> {
        let peer =
            |(key, open): (&Handle, &Connection)| (*key, open.instance.clone(), open.place.clone());
        self.open.iter().map(peer).collect()
    }

    /// Sends a message. If the queue of the link is full, the link is closed.
    pub fn send(&mut self, handle: Handle, message: Message) {
        let Some(open) = self.open.get(&handle) else {
            return;
        };
        if open.queue.try_send(message).is_err() {
            tracing::info!(event = "link-slow", peer = open.instance);
            self.open.swap_remove(&handle);
        }
    }

    /// Sends a message to all peers at a place.
    pub fn send_within(&mut self, place: &Place, message: &Message) {
        for (handle, _, at) in self.peers() {
            if at == *place {
                self.send(handle, message.clone());
            }
        }
    }

    /// Returns the number of open links.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Closes a link.
    pub fn close(&mut self, handle: Handle) {
        self.open.swap_remove(&handle);
    }

    /// Returns the bounds on the silence of an instance at a place.
    pub fn bounds(&self, place: &Place) -> Bounds {
        self.settings.bounds(self.is_cross_region(place))
    }

    /// Returns whether a place is in another region.
    pub fn is_cross_region(&self, place: &Place) -> bool {
        place.region != self.region
    }

    /// Closes links that have been silent for longer than their upper bound.
    pub fn close_silent(&mut self, now: Instant) {
        let silent = |open: &Connection| {
            let limit = self.bounds(&open.place).ceiling;
            now.saturating_duration_since(open.last_received) > limit
        };
        let open = self.open.iter();
        let silent = open.filter(|(_, open)| silent(open));
        for handle in silent.map(|(handle, _)| *handle).collect::<Vec<_>>() {
            self.open.swap_remove(&handle);
        }
    }

    /// Closes links that this instance dialed and no longer wants.
    ///
    /// Accepted links are left alone, because the other end may want them and closes them itself.
    pub fn close_unwanted(&mut self, wanted: impl Fn(&str, &Place) -> bool, now: Instant) {
        self.open.retain(|_, open| {
            let young = now.saturating_duration_since(open.opened) < MIN_LINK_AGE;
            !open.dialed || young || wanted(&open.instance, &open.place)
        });
    }

    /// Closes all links.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    /// Returns whether a new link to the same peer replaces an open one.
    ///
    /// Both ends reach the same decision if they dial each other at the same time: the link dialed
    /// by the instance with the lower name is kept.
    fn is_replaceable(
        &self,
        old: Handle,
        dialed: bool,
        incarnation: id::Incarnation,
        now: Instant,
    ) -> bool {
        let Some(open) = self.open.get(&old) else {
            return true;
        };
        let timeout = self.bounds(&open.place).floor;
        let silent = now.saturating_duration_since(open.last_received) > timeout;
        if silent || open.incarnation != incarnation || open.dialed == dialed {
            return true;
        }
        let own_is_lower = self.own < open.instance;
        dialed == own_is_lower
    }
}

async fn write(
    handle: Handle,
    mut messages: mpsc::Receiver<Message>,
    mut sender: Sender,
    spread: Addr<Spread>,
) {
    while let Some(message) = messages.recv().await {
        if sender.send(Frame::Gossip(message)).await.is_err() {
            break;
        }
    }
    spread.do_send(Closed(handle));
}

async fn read(handle: Handle, mut receiver: Receiver, spread: Addr<Spread>) {
    // Waiting for the actor limits how much a peer that never stops sending can queue here.
    while let Some(Ok(Frame::Gossip(message))) = receiver.next().await {
        if spread.send(Received(handle, message)).await.is_err() {
            return;
        }
    }
    spread.do_send(Closed(handle));
}
