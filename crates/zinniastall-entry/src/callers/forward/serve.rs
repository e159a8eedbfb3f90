//! The receiver's end of stream links: serves what other instances send.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tokio::{sync::mpsc, task::JoinHandle, time::timeout};
use zinniastall_coord::ticket::Address;
use zinniastall_route::outcome::Refusal;
use zinniastall_wire::{
    frame::Frame,
    hello::Hello,
    link::{self, Detached, Link},
    stream::{Message, Open, Stream},
};

use super::{PULSE_MESSAGE, credit::Credit, failure, mux, open};
use crate::{
    callers::{Service, path, settle::Settle, worker::Worker},
    links::Acceptor,
};

/// Longest part of an answer in one message, in bytes.
const PART: usize = 32 * 1024;
/// Most requests of one link in progress; a sender that opens more is wrong.
const STREAMS: usize = 10_000;

/// Takes stream links to a traffic thread of their own.
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

    /// Returns the thread, so that a shutdown can stop it after the last request.
    pub fn arbiter(&self) -> actix::ArbiterHandle {
        self.arbiter.handle()
    }
}

impl Acceptor for Receiver {
    fn accept(&self, link: Link) {
        // An instance that sends requests has a configuration, and so knows its cluster. Whoever
        // names none is a stranger, whose requests would run under any client's name.
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

/// Requests of one link in progress.
#[derive(Debug, Default)]
struct Running {
    streams: RefCell<IndexMap<Stream, Run>>,
    /// Highest number so far. A sender counts up, so what comes later with a lower one is doubled.
    last: Cell<Stream>,
}

#[derive(Debug)]
struct Run {
    task: JoinHandle<()>,
    credit: Rc<Credit>,
}

impl Drop for Running {
    /// Cancels what still runs when its link breaks: nobody is left to take the answers. Requests with tickets run in
    /// tasks of their own and go on.
    fn drop(&mut self) {
        for run in self.streams.borrow().values() {
            run.task.abort();
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
    let running = Rc::new(Running::default());
    while let Some(message) = next(&mut receiver).await {
        match message {
            Message::Open(open) => start(&worker, &running, &sender, *open, out.clone()),
            Message::Cancel { stream } => cancel(&running, stream),
            // A full channel has enough to say.
            Message::Credit { stream: 0, .. } => drop(out.try_send(PULSE_MESSAGE)),
            Message::Credit { stream, bytes } => {
                if let Some(run) = running.streams.borrow().get(&stream) {
                    run.credit.add(bytes);
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
    running: &Rc<Running>,
    sender: &Address,
    open: Open,
    out: mpsc::Sender<Message>,
) {
    let stream = open.stream;
    let mut streams = running.streams.borrow_mut();
    // A doubled frame must not run the request again, not even after the end of its answer.
    if stream <= running.last.get() || streams.len() >= STREAMS {
        return;
    }
    running.last.set(stream);
    let credit = Rc::new(Credit::new(mux::window()));
    let answer = answer(
        Rc::clone(worker),
        sender.clone(),
        open,
        Rc::clone(&credit),
        out,
    );
    let ended = Rc::downgrade(running);
    let task = actix::spawn(async move {
        answer.await;
        if let Some(running) = ended.upgrade() {
            running.streams.borrow_mut().swap_remove(&stream);
        }
    });
    streams.insert(stream, Run { task, credit });
}

fn cancel(running: &Rc<Running>, stream: Stream) {
    if let Some(run) = running.streams.borrow_mut().swap_remove(&stream) {
        run.task.abort();
    }
}

async fn answer(
    worker: Rc<Worker>,
    sender: Address,
    open: Open,
    credit: Rc<Credit>,
    out: mpsc::Sender<Message>,
) {
    let _progress = worker.service.progress.start();
    let stream = open.stream;
    let mut settle = Settle::forwarded(worker.recorder.clone(), &sender.instance);
    let end = match run(&worker, &sender, open, &mut settle).await {
        Ok(answer) => relay(stream, answer, &credit, &out, &mut settle).await,
        Err(refusal) => Err(refusal),
    };
    let last = match end {
        Ok(length) => {
            settle.answered();
            Message::End { stream, length }
        }
        Err(refusal) => {
            settle.refused(&refusal);
            let failure = failure(&refusal);
            Message::Failed { stream, failure }
        }
    };
    // A broken link tells its other end by itself.
    drop(out.send(last).await);
    // The rest of the answer may be on its way over a slow link for seconds. A shutdown that did not
    // wait for it would close the link under it, and a request in progress would be cut after all.
    credit.delivered().await;
}

async fn run(
    worker: &Rc<Worker>,
    sender: &Address,
    mut open: Open,
    settle: &mut Settle,
) -> Result<path::Answer, Refusal> {
    settle.opened(&open);
    catch_up(worker, &mut open).await;
    let ticket = open.ticket.clone();
    let parcel = open::unpack(worker, sender, open).map_err(|refusal| {
        let tickets = &worker.service.tickets;
        tickets.turned_away(refusal, ticket.as_deref(), Some(sender))
    })?;
    settle.identified(&parcel.request);
    path::serve_forwarded(worker, parcel, sender).await
}

/// Waits, within bounds, for the configuration under which the sender judged a request.
///
/// A request may arrive before the change that permits it: judged at once, a client that was added a
/// moment ago would be told that it is unknown, although its own region has accepted it. The change
/// is on its way here already, so waiting costs less than fetching. If it does not come in time, the
/// request is judged by what is held, and the stricter of both revisions wins.
async fn catch_up(worker: &Worker, open: &mut Open) {
    let board = &worker.service.board;
    if board.view().revision() >= open.revision {
        return;
    }
    let started = Instant::now();
    let left = Duration::from_millis(open.left_ms);
    let bound = worker.service.behind.min(left / 2);
    // Reached or not, the request is judged now.
    let _ = timeout(bound, board.reach(open.revision)).await;
    let waited = started.elapsed();
    open.left_ms = millis(left.saturating_sub(waited));
    let recorder = &worker.recorder;
    recorder.time("forwarded.behind", &open.client, &open.class, waited);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

async fn relay(
    stream: Stream,
    (mut reply, whole): path::Answer,
    credit: &Credit,
    out: &mpsc::Sender<Message>,
    settle: &mut Settle,
) -> Result<u64, Refusal> {
    settle.served(&reply.served.target);
    let head = Message::Head {
        stream,
        status: reply.status,
        headers: mux::headers(&reply, whole.as_ref().map(Bytes::len)),
    };
    drop(out.send(head).await);
    let mut offset = 0;
    if let Some(bytes) = whole {
        return Ok(send(stream, offset, bytes, credit, out).await);
    }
    while let Some(part) = reply.body.next().await {
        settle.first();
        offset = send(stream, offset, part?, credit, out).await;
    }
    Ok(offset)
}

/// Sends a part as far as credit permits, and returns the offset after it.
async fn send(
    stream: Stream,
    mut offset: u64,
    mut bytes: Bytes,
    credit: &Credit,
    out: &mpsc::Sender<Message>,
) -> u64 {
    while !bytes.is_empty() {
        let wanted = bytes.len().min(PART) as u64;
        let taken = credit.take(wanted).await;
        let part = bytes.split_to(usize::try_from(taken).unwrap_or(bytes.len()));
        let message = Message::Data {
            stream,
            offset,
            bytes: part.to_vec(),
        };
        offset += taken;
        drop(out.send(message).await);
    }
    offset
}

fn address(peer: &Hello) -> Address {
    Address::new(
        peer.place.region.clone(),
        peer.place.zone.clone(),
        peer.instance.clone(),
        peer.incarnation,
    )
}
