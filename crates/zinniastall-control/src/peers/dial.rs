//! Keeps one link to another replica open, and serves those that others opened.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use actix::Recipient;
use futures_util::{SinkExt, StreamExt};
use rand::Rng;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use zinniastall_wire::{
    frame::{Frame, Replica},
    hello::{Hello, Refusal},
    link::{Error, Link},
};

use super::{Id, Message, QUEUE_CAPACITY, Received, Timing};

/// First wait after a failed attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait for another replica's answer before a cluster is founded.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// What it takes to dial.
#[derive(Debug, Clone)]
pub(super) struct Dialer {
    /// This replica.
    pub(super) id: Id,
    /// What this instance says of itself.
    pub(super) hello: Hello,
    /// Times.
    pub(super) timing: Timing,
    /// Where frames go that arrive.
    pub(super) received: Recipient<Received>,
}

/// Dials again and again, with a growing and jittered wait between attempts.
pub(super) async fn maintain(
    address: String,
    dialer: Dialer,
    mut frames: mpsc::Receiver<Frame>,
    open: Arc<AtomicBool>,
) {
    let timing = dialer.timing;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let dial = Link::dial(&address, dialer.hello.clone());
        let dialled = time::timeout(timing.idle_timeout, dial).await;
        match dialled.unwrap_or(Err(Error::Closed)) {
            Ok(link) => {
                tracing::info!(event = "replica-link-open", address);
                backoff = INITIAL_BACKOFF;
                open.store(true, Ordering::Relaxed);
                let ping = Some(dialer.id);
                let error = run(link, timing, &mut frames, &dialer.received, ping).await;
                open.store(false, Ordering::Relaxed);
                tracing::warn!(event = "replica-link-lost", address, error = %error);
            }
            Err(error) => {
                tracing::debug!(event = "replica-unreachable", address, error = %error);
            }
        }
        // What waited for the old link is stale.
        while frames.try_recv().is_ok() {}
        time::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(timing.max_backoff);
    }
}

/// Serves a link that another replica opened, until it breaks.
pub async fn serve(link: Link, timing: Timing, received: Recipient<Received>) {
    let peer = link.peer().instance.clone();
    let (queue, mut frames) = mpsc::channel(1);
    drop(queue);
    let error = run(link, timing, &mut frames, &received, None).await;
    tracing::debug!(event = "replica-link-closed", peer, error = %error);
}

/// Asks another control instance for the cluster that it belongs to.
///
/// # Errors
///
/// Fails when it can't be asked. One that refuses because it belongs to a cluster is no failure.
pub async fn ask_cluster(address: &str, hello: Hello) -> Result<Option<String>, Error> {
    let dialled = time::timeout(ASK_TIMEOUT, Link::dial(address, hello)).await;
    match dialled.unwrap_or(Err(Error::Closed)) {
        Ok(link) => Ok(link.peer().cluster.clone()),
        Err(Error::Refused(Refusal::Cluster)) => Ok(Some(String::new())),
        Err(error) => Err(error),
    }
}

async fn run(
    link: Link,
    timing: Timing,
    frames: &mut mpsc::Receiver<Frame>,
    inbox: &Recipient<Received>,
    pings_as: Option<Id>,
) -> Error {
    let hello = link.peer().clone();
    let (mut sender, mut receiver) = link.split();
    let (reply_queue, mut answers) = mpsc::channel(QUEUE_CAPACITY);
    let mut ping = time::interval(timing.ping_interval);
    let mut idle_deadline = Instant::now() + timing.idle_timeout;
    loop {
        let frame = tokio::select! {
            frame = receiver.next() => {
                idle_deadline = Instant::now() + timing.idle_timeout;
                match frame {
                    Some(Ok(Frame::Replica(frame))) => {
                        let message = Received { hello: hello.clone(), frame, reply_queue: reply_queue.clone() };
                        if inbox.send(message).await.is_err() {
                            return Error::Closed;
                        }
                        continue;
                    }
                    Some(Ok(_)) => return Error::Handshake,
                    Some(Err(error)) => return error,
                    None => return Error::Closed,
                }
            }
            Some(frame) = frames.recv(), if pings_as.is_some() => frame,
            Some(frame) = answers.recv() => frame,
            _ = ping.tick(), if pings_as.is_some() => Frame::Replica(Replica {
                from: pings_as.unwrap_or_default(),
                to: 0,
                message: Message::Ping.encode(),
            }),
            // TCP goes on trying for minutes when a network swallows everything; a fresh
            // connection gets through as soon as the network does.
            () = time::sleep_until(idle_deadline) => return Error::Closed,
        };
        match time::timeout(timing.idle_timeout, sender.send(frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return Error::Closed,
        }
    }
}
