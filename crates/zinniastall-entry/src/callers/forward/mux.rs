//! Sending end of a link: multiplexes streams over one connection.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tokio::{sync::mpsc, time::timeout};
use zinniastall_coord::news::Scope;
use zinniastall_model::{fingerprint::Suspect, id};
use zinniastall_route::outcome::{Reason, Refusal};
use zinniastall_wire::{
    frame::Frame,
    link::{self, Link},
    stream::{self, Message, Open},
};

use super::{KEEPALIVE_INTERVAL, LINK_TIMEOUT, head::reply, refusal};
use crate::{
    callers::reply::{BodySource, Reply, lazy_body},
    quarantine::Quarantine,
};

/// Sending end of a link.
///
/// A link serves one incarnation of the other instance. Each frame names its stream, and a frame of
/// a closed stream is dropped.
#[derive(Debug)]
pub(super) struct Mux {
    instance: id::Instance,
    incarnation: id::Incarnation,
    /// Outgoing messages; bounded in practice by the requests in progress and their credit
    /// messages.
    out: mpsc::UnboundedSender<Message>,
    streams: RefCell<IndexMap<stream::Id, mpsc::UnboundedSender<Message>>>,
    last: Cell<stream::Id>,
    alive: Cell<bool>,
    quarantine: Quarantine,
}

impl Mux {
    /// Spawns the tasks that write to and read from a link.
    pub(super) fn start(link: Link, quarantine: Quarantine) -> Rc<Self> {
        let (instance, incarnation) = (link.peer().instance.clone(), link.peer().incarnation);
        let (sender, receiver) = link.split();
        let (out, queued) = mpsc::unbounded_channel();
        let mux = Rc::new(Self {
            instance,
            incarnation,
            out,
            streams: RefCell::default(),
            last: Cell::new(0),
            alive: Cell::new(true),
            quarantine,
        });
        let read = read(Rc::downgrade(&mux), receiver);
        let write = write(queued, sender);
        let ended = Rc::downgrade(&mux);
        actix::spawn(async move {
            tokio::select! {
                () = read => {}
                () = write => {}
            }
            if let Some(mux) = ended.upgrade() {
                mux.close();
            }
        });
        mux
    }

    /// Returns the incarnation of the other instance.
    pub(super) const fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Returns whether the link is still usable.
    pub(super) fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Opens a stream and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns the failure that the other instance reports, or "unknown" if the link breaks.
    pub(super) async fn request(self: &Rc<Self>, mut open: Open) -> Result<Reply, Refusal> {
        let stream = self.last.get() + 1;
        self.last.set(stream);
        open.stream = stream;
        let (sender, receiver) = mpsc::unbounded_channel();
        self.streams.borrow_mut().insert(stream, sender);
        let mut answer = StreamBody {
            mux: Rc::clone(self),
            stream,
            receiver,
            offset: 0,
            ended: false,
        };
        // From here on, the request may have been sent, whatever happens to the link.
        self.send(Message::Open(Box::new(open)));
        match answer.receiver.recv().await {
            Some(Message::Head {
                status,
                headers,
                highest,
                ..
            }) => Ok(reply(status, headers, highest, lazy_body(answer))),
            Some(Message::Failed { failure, .. }) => {
                answer.ended = true;
                Err(refusal(failure))
            }
            _ => Err(Refusal::unknown(Reason::TargetLost)),
        }
    }

    fn send(&self, message: Message) {
        // If the link is closed, all its streams have ended anyway.
        drop(self.out.send(message));
    }

    fn close(&self) {
        self.alive.set(false);
        self.streams.borrow_mut().clear();
    }
}

/// Reads until the link breaks or times out.
///
/// A network partition closes no connection. Without keepalive messages, each request on the link
/// would wait for its own deadline, and so would every request sent later.
async fn read(mux: std::rc::Weak<Mux>, mut receiver: link::Receiver) {
    while let Ok(Some(Ok(frame))) = timeout(LINK_TIMEOUT, receiver.next()).await {
        let Some(mux) = mux.upgrade() else { return };
        let Frame::Stream(message) = frame else {
            return;
        };
        let stream = message.stream();
        if let Message::Failed { suspect, parts, .. } = &message {
            // The caller may come again at another instance of this zone at once.
            let reported: Vec<Suspect> = suspect.iter().chain(parts).cloned().collect();
            mux.quarantine
                .hear(&mux.instance, &reported, Some(Scope::All));
        }
        if matches!(message, Message::End { .. } | Message::Failed { .. }) {
            mux.send(Message::Credit { stream, bytes: 0 });
        }
        if let Some(stream) = mux.streams.borrow().get(&stream) {
            drop(stream.send(message));
        }
    }
}

async fn write(mut queued: mpsc::UnboundedReceiver<Message>, mut sender: link::Sender) {
    loop {
        let message = match timeout(KEEPALIVE_INTERVAL, queued.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => super::KEEPALIVE,
        };
        if sender.send(Frame::Stream(message)).await.is_err() {
            return;
        }
    }
}

/// Response body of one stream; dropping it before its end cancels the request.
struct StreamBody {
    mux: Rc<Mux>,
    stream: stream::Id,
    receiver: mpsc::UnboundedReceiver<Message>,
    offset: u64,
    ended: bool,
}

impl BodySource for StreamBody {
    async fn next_part(&mut self) -> Result<Option<Bytes>, Refusal> {
        let broken = || Refusal::unknown(Reason::TargetLost);
        match self.receiver.recv().await.ok_or_else(broken)? {
            // The offset reveals a part that was lost, duplicated or reordered.
            Message::Data { offset, bytes, .. } if offset == self.offset => {
                let length = bytes.len() as u64;
                self.offset += length;
                self.mux.send(Message::Credit {
                    stream: self.stream,
                    bytes: length,
                });
                Ok(Some(bytes.into()))
            }
            Message::End { length, .. } if length == self.offset => {
                self.ended = true;
                Ok(None)
            }
            Message::Failed { failure, .. } => {
                self.ended = true;
                let refusal = refusal(failure);
                // Once parts have arrived, the request has run, whatever the other end reports.
                Err(Refusal::unknown(refusal.reason))
            }
            _ => Err(broken()),
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.mux.streams.borrow_mut().swap_remove(&self.stream);
        if !self.ended {
            let stream = self.stream;
            self.mux.send(Message::Cancel { stream });
        }
    }
}
