//! A relay that decodes the frames of stream links and can duplicate, delay, reorder or drop them.
//!
//! It runs behind a [`super::Proxy`], between the dialling and the dialled instance. Handshakes and
//! frames of other links pass unchanged.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use futures_util::{Sink, SinkExt, Stream, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use tokio_tungstenite::{accept_async, client_async, tungstenite};
use zinniastall_wire::{frame::Frame, stream::Message};

use super::{RUNTIME, rule::Direction};
use crate::error::Result;

/// Returns the messages to forward in place of a message.
type Rewrite = Arc<Mutex<dyn FnMut(Direction, Message) -> Vec<Message> + Send>>;

/// A relay in front of one address; dropping it closes all its links.
#[derive(Debug)]
pub struct Frames {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Frames {
    /// Starts a relay that passes the messages of all its stream links to `rewrite`.
    ///
    /// # Errors
    ///
    /// Fails if no port is available.
    pub fn start(
        upstream: SocketAddr,
        rewrite: impl FnMut(Direction, Message) -> Vec<Message> + Send + 'static,
    ) -> Result<Self> {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = RUNTIME.enter();
        let listener = TcpListener::from_std(listener)?;
        drop(runtime);
        let rewrite: Rewrite = Arc::new(Mutex::new(rewrite));
        let task = RUNTIME.spawn(accept(listener, upstream, rewrite));
        Ok(Self { address, task })
    }

    /// Returns the address to use instead of the upstream's.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Frames {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, rewrite: Rewrite) {
    let mut links = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        links.spawn(relay(stream, upstream, Arc::clone(&rewrite)));
    }
}

async fn relay(stream: TcpStream, upstream: SocketAddr, rewrite: Rewrite) -> Option<()> {
    let near = accept_async(stream).await.ok()?;
    let stream = TcpStream::connect(upstream).await.ok()?;
    let url = format!("ws://{upstream}/link");
    let (far, _) = client_async(url, stream).await.ok()?;
    let (to_near, from_near) = near.split();
    let (to_far, from_far) = far.split();
    tokio::select! {
        () = pass(Direction::Up, from_near, to_far, &rewrite) => {}
        () = pass(Direction::Down, from_far, to_near, &rewrite) => {}
    }
    Some(())
}

async fn pass(
    direction: Direction,
    mut from: impl Stream<Item = tungstenite::Result<tungstenite::Message>> + Unpin,
    mut to: impl Sink<tungstenite::Message> + Unpin,
    rewrite: &Rewrite,
) {
    while let Some(Ok(message)) = from.next().await {
        for message in rewritten(direction, message, rewrite) {
            if to.send(message).await.is_err() {
                return;
            }
        }
    }
}

fn rewritten(
    direction: Direction,
    message: tungstenite::Message,
    rewrite: &Rewrite,
) -> Vec<tungstenite::Message> {
    let frame = match &message {
        tungstenite::Message::Binary(bytes) => Frame::decode(bytes).ok(),
        _ => None,
    };
    let Some(Frame::Stream(inner)) = frame else {
        return vec![message];
    };
    let mut rewrite = rewrite.lock().unwrap_or_else(PoisonError::into_inner);
    let encoded = rewrite(direction, inner).into_iter().map(|message| {
        let bytes = Frame::Stream(message).encode().unwrap_or_default();
        tungstenite::Message::Binary(bytes.into())
    });
    encoded.collect()
}
