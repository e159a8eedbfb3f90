//! Links to the other replicas.
//!
//! Each replica dials every other one whose address it knows and sends on the link it dialled. A
//! replica that has just been admitted knows no address yet; it answers on the link on which it
//! was addressed. Queues are bounded and drop what does not fit: the consensus repeats what
//! matters, and stale messages behind a slow link would only delay fresh ones.

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

use self::{datagram::Datagrams, dial::Dialling};
pub use self::{
    dial::{ask_cluster, serve},
    message::Message,
};

/// Frames that may wait for one link.
const QUEUE: usize = 256;

/// Sends frames to one link.
pub type Queue = mpsc::Sender<Frame>;

/// Times of links to other replicas.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time between two pings of the dialling end.
    pub ping: Duration,
    /// Time without a frame after which a link counts as cut.
    pub silence: Duration,
    /// Longest time between two attempts to dial.
    pub retry: Duration,
}

impl Timing {
    /// Derives the times from an election timeout.
    pub fn new(election: Duration) -> Self {
        Self {
            ping: election / 2,
            silence: election * 3,
            retry: election.max(Duration::from_millis(200)),
        }
    }
}

/// A frame arrived from another replica.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Received {
    /// Who sent it, as its handshake says.
    pub hello: Hello,
    /// The frame.
    pub frame: Replica,
    /// Where answers may go.
    pub back: Queue,
}

/// Links to the other replicas.
#[derive(Debug)]
pub struct Peers {
    dialling: Dialling,
    dialled: IndexMap<String, Dialled>,
    datagrams: Option<Datagrams>,
    back: IndexMap<Id, Queue>,
}

#[derive(Debug)]
struct Dialled {
    queue: Queue,
    open: Arc<AtomicBool>,
    /// Replica for which the link was opened anew.
    renewed: Option<Id>,
    task: tokio::task::JoinHandle<()>,
}

impl Dialled {
    /// Queues a frame on an open link.
    fn try_send(&self, frame: &Frame) -> bool {
        self.open.load(Ordering::Relaxed) && self.queue.try_send(frame.clone()).is_ok()
    }
}

impl Drop for Dialled {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peers {
    /// Creates the links of a replica that has none yet.
    pub fn new(id: Id, hello: Hello, timing: Timing, received: Recipient<Received>) -> Self {
        let dialling = Dialling {
            id,
            hello,
            timing,
            received,
        };
        Self {
            dialling,
            dialled: IndexMap::new(),
            datagrams: None,
            back: IndexMap::new(),
        }
    }

    /// Sends what is urgent by datagram too.
    #[must_use]
    pub fn datagrams(mut self, datagrams: Option<Datagrams>) -> Self {
        self.datagrams = datagrams;
        self
    }

    /// Dials exactly these addresses from now on, under a handshake.
    pub fn dial(&mut self, hello: &Hello, addresses: &[String]) {
        if self.dialling.hello != *hello {
            self.dialling.hello = hello.clone();
            self.dialled.clear();
        }
        self.dialled
            .retain(|address, _| addresses.contains(address));
        for address in addresses {
            if !self.dialled.contains_key(address) {
                let dialled = self.start(address.clone());
                self.dialled.insert(address.clone(), dialled);
            }
        }
    }

    /// Opens the link to an address anew, once for each replica that says it is there in place of another.
    ///
    /// A machine that loses power closes nothing. The link to the replica before goes on looking open until the
    /// silence is long enough, some two seconds, in which its successor hears nothing and counts as gone.
    pub fn renew(&mut self, replica: Id, address: &str) {
        let held = self.dialled.get(address);
        if held.is_none_or(|dialled| dialled.renewed == Some(replica)) {
            return;
        }
        let mut dialled = self.start(address.to_owned());
        dialled.renewed = Some(replica);
        self.dialled.insert(address.to_owned(), dialled);
    }

    /// Notes on which link a replica can be answered, and forgets those that have closed.
    pub fn note(&mut self, from: Id, back: Queue) {
        self.back.retain(|_, queue| !queue.is_closed());
        self.back.insert(from, back);
    }

    /// Sends a message to a replica, or drops it when no link takes it now.
    pub fn send(&self, to: Id, address: Option<&String>, message: &Message) {
        let frame = Frame::Replica(Replica {
            from: self.dialling.id,
            to,
            message: message.encode(),
        });
        if let (Some(datagrams), Some(address)) = (&self.datagrams, address)
            && datagram::is_urgent(message)
        {
            datagrams.send(address, &frame);
        }
        let dialled = address.and_then(|address| self.dialled.get(address));
        let taken = dialled.is_some_and(|dialled| dialled.try_send(&frame));
        if taken {
            return;
        }
        if let Some(back) = self.back.get(&to) {
            drop(back.try_send(frame));
        }
    }

    /// Sends a message on every dialled link, whoever is behind it.
    pub fn broadcast(&self, message: &Message) {
        let frame = Frame::Replica(Replica {
            from: self.dialling.id,
            to: 0,
            message: message.encode(),
        });
        for dialled in self.dialled.values() {
            dialled.try_send(&frame);
        }
    }

    fn start(&self, address: String) -> Dialled {
        let (queue, frames) = mpsc::channel(QUEUE);
        let open = Arc::new(AtomicBool::new(false));
        let task = dial::keep(address, self.dialling.clone(), frames, Arc::clone(&open));
        Dialled {
            queue,
            open,
            renewed: None,
            task: actix::spawn(task),
        }
    }
}
