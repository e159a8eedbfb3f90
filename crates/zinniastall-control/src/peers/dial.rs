//! Maintains a dialled link to another replica, and serves links that other replicas opened.

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

/// Backoff after the first failed attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait for another replica's answer before a cluster is founded.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// What is needed to dial another replica.
#[derive(Debug, Clone)]
pub(super) struct Dialer {
    /// Id of this replica.
    pub(super) id: Id,
    /// Handshake of this instance.
    pub(super) hello: Hello,
    /// Timing of the links.
    pub(super) timing: Timing,
    /// Receives incoming frames.
    pub(super) received: Recipient<Received>,
}

/// Dials repeatedly, with jittered exponential backoff between attempts.
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
        // Frames that waited for the old link are stale.
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

/// Asks another control instance which cluster it belongs to.
///
/// # Errors
///
/// Fails if the instance cannot be reached. A refusal because it belongs to another cluster is not
/// an error.
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
                        let message = Received {
                            hello: hello.clone(),
                            frame,
                            reply_queue: reply_queue.clone(),
                        };
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
            // Where a network drops all packets, TCP keeps retrying for minutes; a new connection
            // gets through as soon as the network recovers.
            () = time::sleep_until(idle_deadline) => return Error::Closed,
        };
        match time::timeout(timing.idle_timeout, sender.send(frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return Error::Closed,
        }
    }
}
