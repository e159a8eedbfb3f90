//! Links to the other replicas.
//!
//! Each replica dials every other one whose address it knows, and sends on the links that it
//! dialled. A replica that has just been admitted knows no addresses yet and answers on the link on
//! which a message arrived. Queues are bounded and drop what does not fit: the consensus repeats
//! what matters, and stale messages behind a slow link would only delay new ones.

pub mod datagram;
mod dial;
mod message;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use actix::Recipient;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use zinniastall_coord::Id;
use zinniastall_wire::{
    frame::{Frame, Replica},
    hello::Hello,
};

use self::{datagram::Datagrams, dial::Dialer};
pub use self::{
    dial::{ask_cluster, serve},
    message::Message,
};

/// Frames that may wait for one link.
const QUEUE_CAPACITY: usize = 256;

/// Queue of the frames to be sent on one link.
pub type Queue = mpsc::Sender<Frame>;

/// Timing of links to other replicas.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Interval between two pings of the dialling end.
    pub ping_interval: Duration,
    /// Time without a frame after which a link counts as broken.
    pub idle_timeout: Duration,
    /// Longest backoff between two attempts to dial.
    pub max_backoff: Duration,
}

impl Timing {
    /// Derives the timing from an election timeout.
    pub fn new(election: Duration) -> Self {
        Self {
            ping_interval: election / 2,
            idle_timeout: election * 3,
            max_backoff: election.max(Duration::from_millis(200)),
        }
    }
}

/// A frame received from another replica.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Received {
    /// Handshake of the sender.
    pub hello: Hello,
    /// The frame.
    pub frame: Replica,
    /// Queue for replies on the same link.
    pub reply_queue: Queue,
}

/// Links to the other replicas.
#[derive(Debug)]
pub struct Peers {
    dialer: Dialer,
    outbound: IndexMap<String, Outbound>,
    datagrams: Option<Datagrams>,
    reply_queues: IndexMap<Id, Queue>,
}

#[derive(Debug)]
struct Outbound {
    queue: Queue,
    open: Arc<AtomicBool>,
    /// Replica for which the link was reopened.
    reopened_for: Option<Id>,
    task: tokio::task::JoinHandle<()>,
}

impl Outbound {
    /// Queues a frame if the link is open.
    fn try_send(&self, frame: &Frame) -> bool {
        self.open.load(Ordering::Relaxed) && self.queue.try_send(frame.clone()).is_ok()
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peers {
    /// Creates the links of a replica, none of them dialled yet.
    pub fn new(id: Id, hello: Hello, timing: Timing, received: Recipient<Received>) -> Self {
        let dialer = Dialer {
            id,
            hello,
            timing,
            received,
        };
        Self {
            dialer,
            outbound: IndexMap::new(),
            datagrams: None,
            reply_queues: IndexMap::new(),
        }
    }

    /// Sends urgent messages by datagram as well.
    #[must_use]
    pub fn with_datagrams(mut self, datagrams: Option<Datagrams>) -> Self {
        self.datagrams = datagrams;
        self
    }

    /// Dials exactly these addresses from now on, with this handshake.
    pub fn dial(&mut self, hello: &Hello, addresses: &[String]) {
        if self.dialer.hello != *hello {
            self.dialer.hello = hello.clone();
            self.outbound.clear();
        }
        self.outbound
            .retain(|address, _| addresses.contains(address));
        for address in addresses {
            if !self.outbound.contains_key(address) {
                let outbound = self.start(address.clone());
                self.outbound.insert(address.clone(), outbound);
            }
        }
    }

    /// Reopens the link to an address, once for each replica that takes over the address from
    /// another one.
    ///
    /// A machine that loses power closes no connections. Without this the link to the previous
    /// replica would look open until its idle timeout, some two seconds, during which the new
    /// replica would receive nothing and count as unreachable.
    pub fn reopen(&mut self, replica: Id, address: &str) {
        let held = self.outbound.get(address);
        if held.is_none_or(|outbound| outbound.reopened_for == Some(replica)) {
            return;
        }
        let mut outbound = self.start(address.to_owned());
        outbound.reopened_for = Some(replica);
        self.outbound.insert(address.to_owned(), outbound);
    }

    /// Records the link on which a replica can be answered, and drops links that have closed.
    pub fn set_reply_queue(&mut self, from: Id, reply_queue: Queue) {
        self.reply_queues.retain(|_, queue| !queue.is_closed());
        self.reply_queues.insert(from, reply_queue);
    }

    /// Sends a message to a replica; drops it if no link accepts it now.
    pub fn send(&self, to: Id, address: Option<&String>, message: &Message) {
        let frame = Frame::Replica(Replica {
            from: self.dialer.id,
            to,
            message: message.encode(),
        });
        if let (Some(datagrams), Some(address)) = (&self.datagrams, address)
            && datagram::is_urgent(message)
        {
            datagrams.send(address, &frame);
        }
        let outbound = address.and_then(|address| self.outbound.get(address));
        let taken = outbound.is_some_and(|outbound| outbound.try_send(&frame));
        if taken {
            return;
        }
        if let Some(reply_queue) = self.reply_queues.get(&to) {
            drop(reply_queue.try_send(frame));
        }
    }

    /// Sends a message on every dialled link, whichever replica is at its other end.
    pub fn broadcast(&self, message: &Message) {
        let frame = Frame::Replica(Replica {
            from: self.dialer.id,
            to: 0,
            message: message.encode(),
        });
        for outbound in self.outbound.values() {
            outbound.try_send(&frame);
        }
    }

    fn start(&self, address: String) -> Outbound {
        let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
        let open = Arc::new(AtomicBool::new(false));
        let task = dial::maintain(address, self.dialer.clone(), frames, Arc::clone(&open));
        Outbound {
            queue,
            open,
            reopened_for: None,
            task: actix::spawn(task),
        }
    }
}
