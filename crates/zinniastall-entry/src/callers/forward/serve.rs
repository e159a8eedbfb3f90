//! Receiving end of stream links: serves requests that other instances forward.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tokio::{sync::mpsc, task::JoinHandle};
use zinniastall_coord::ticket::Address;
use zinniastall_route::outcome::{Reason, Refusal};
use zinniastall_wire::{
    frame::Frame,
    hello::Hello,
    link::{self, Detached, Link},
    stream::{self, Message, Open},
};

use super::{KEEPALIVE, WINDOW_BYTES, credit::Credit, failure, handler::handle};
use crate::{
    callers::{Service, worker::Worker},
    links::Acceptor,
};

/// Maximum number of requests in progress per link; a correct sender stays below it.
const MAX_STREAMS: usize = 10_000;
/// Retry hint when a link has too many requests in progress.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts stream links and serves them on a dedicated traffic thread.
#[derive(Debug)]
pub struct Receiver {
    arbiter: actix::Arbiter,
    links: mpsc::UnboundedSender<Detached>,
}

impl Receiver {
    /// Starts the thread.
    pub fn start(service: Service) -> Self {
        let (links, mut accepted) = mpsc::unbounded_channel::<Detached>();
        let arbiter = actix::Arbiter::new();
        arbiter.spawn_fn(move || {
            actix::spawn(async move {
                let worker = Rc::new(Worker::new(service));
                while let Some(detached) = accepted.recv().await {
                    match detached.attach().await {
                        Ok(link) => drop(actix::spawn(serve(Rc::clone(&worker), link))),
                        Err(error) => tracing::warn!(event = "link-lost", error = %error),
                    }
                }
            });
        });
        Self { arbiter, links }
    }

    /// Returns the thread's handle, so that a shutdown can stop it after the last request.
    pub fn arbiter(&self) -> actix::ArbiterHandle {
        self.arbiter.handle()
    }
}

impl Acceptor for Receiver {
    fn accept(&self, link: Link) {
        // An instance that forwards requests has a configuration and therefore knows its cluster. A
        // peer without one is not trusted, since its requests would run under any client's name.
        if link.peer().cluster.is_none() {
            tracing::warn!(event = "link-refused", peer = link.peer().instance);
            return;
        }
        match link.detach() {
            Ok(detached) => drop(self.links.send(detached)),
            Err(error) => tracing::warn!(event = "link-lost", error = %error),
        }
    }
}

/// Requests in progress on one link.
#[derive(Debug, Default)]
struct ActiveStreams {
    streams: RefCell<IndexMap<stream::Id, ActiveStream>>,
    /// Highest stream number so far. Senders count up, so a frame with a lower number is a
    /// duplicate.
    last: Cell<stream::Id>,
}

#[derive(Debug)]
struct ActiveStream {
    task: JoinHandle<()>,
    credit: Rc<Credit>,
}

impl Drop for ActiveStreams {
    /// Cancels the remaining requests when the link breaks, since nobody is left to receive the
    /// responses. Requests with tickets run in separate tasks and continue.
    fn drop(&mut self) {
        for request in self.streams.borrow().values() {
            request.task.abort();
        }
    }
}

async fn serve(worker: Rc<Worker>, link: Link) {
    let sender = address(link.peer());
    let (mut sink, mut receiver) = link.split();
    let (out, mut queued) = mpsc::channel::<Message>(64);
    let writing = actix::spawn(async move {
        while let Some(message) = queued.recv().await {
            if sink.send(Frame::Stream(message)).await.is_err() {
                return;
            }
        }
    });
    let active = Rc::new(ActiveStreams::default());
    while let Some(message) = next(&mut receiver).await {
        match message {
            Message::Open(open) => start(&worker, &active, &sender, *open, out.clone()),
            Message::Cancel { stream } => cancel(&active, stream),
            // A full channel already carries enough messages to serve as a keepalive.
            Message::Credit { stream: 0, .. } => drop(out.try_send(KEEPALIVE)),
            Message::Credit { stream, bytes } => {
                if let Some(request) = active.streams.borrow().get(&stream) {
                    request.credit.add(bytes);
                }
            }
            _ => break,
        }
    }
    writing.abort();
}

async fn next(receiver: &mut link::Receiver) -> Option<Message> {
    match receiver.next().await? {
        Ok(Frame::Stream(message)) => Some(message),
        _ => None,
    }
}

fn start(
    worker: &Rc<Worker>,
    active: &Rc<ActiveStreams>,
    sender: &Address,
    open: Open,
    out: mpsc::Sender<Message>,
) {
    let stream = open.stream;
    let mut streams = active.streams.borrow_mut();
    // A duplicate frame must not run the request again, even after its response has ended.
    if stream <= active.last.get() {
        return;
    }
    active.last.set(stream);
    if streams.len() >= MAX_STREAMS {
        // Without an explicit failure, the caller would wait until its deadline.
        let refusal = Refusal::not_run(Reason::QueueFull).retry_after(FULL_RETRY_AFTER);
        let tickets = &worker.service.tickets;
        let refusal = tickets.rejected_early(refusal, open.ticket.as_deref(), Some(sender));
        let failure = failure(&refusal);
        // If the channel is full too, the failure message is dropped.
        let failed = Message::Failed {
            stream,
            failure,
            suspect: None,
            parts: Vec::new(),
        };
        return drop(out.try_send(failed));
    }
    let credit = Rc::new(Credit::new(WINDOW_BYTES));
    let handler = handle(
        Rc::clone(worker),
        sender.clone(),
        open,
        Rc::clone(&credit),
        out,
    );
    let ended = Rc::downgrade(active);
    let task = actix::spawn(async move {
        handler.await;
        if let Some(active) = ended.upgrade() {
            active.streams.borrow_mut().swap_remove(&stream);
        }
    });
    streams.insert(stream, ActiveStream { task, credit });
}

fn cancel(active: &Rc<ActiveStreams>, stream: stream::Id) {
    if let Some(request) = active.streams.borrow_mut().swap_remove(&stream) {
        request.task.abort();
    }
}

fn address(peer: &Hello) -> Address {
    Address::new(
        peer.place.region.clone(),
        peer.place.zone.clone(),
        peer.instance.clone(),
        peer.incarnation,
    )
}
