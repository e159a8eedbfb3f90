//! Links: WebSocket connections that carry frames.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream, ToSocketAddrs},
    time,
};
use tokio_tungstenite::{
    MaybeTlsStream, WebSocketStream,
    tungstenite::{
        self, Message,
        protocol::{Role, WebSocketConfig},
    },
};

use crate::{
    frame::{self, Frame},
    hello::{Hello, Purpose, Refusal, VERSION},
    meter::Meter,
};

/// Size of a link's read buffer.
///
/// The library keeps a buffer of this size per link and clears it for every read. With its default
/// of 128 KiB, the buffer would be nearly all the memory of a link; gossip frames are far shorter.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum time to open a connection: twice the round trip between distant regions.
///
/// The first packet to a machine that is off is lost, and the operating system resends it after a
/// second. A new attempt reaches the machine sooner once it is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of opening or using a link.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection or the WebSocket failed.
    #[error("link failed")]
    Socket(#[from] Box<tungstenite::Error>),
    /// The address cannot be reached.
    #[error("cannot connect")]
    Connect(#[from] std::io::Error),
    /// A frame cannot be encoded or decoded.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// The other end refused the link.
    #[error("link refused: {0}")]
    Refused(#[from] Refusal),
    /// The other end sent an unexpected frame.
    #[error("unexpected frame")]
    Handshake,
    /// The other end closed the link.
    #[error("link closed")]
    Closed,
}

impl From<tungstenite::Error> for Error {
    fn from(error: tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}

/// A link after its handshake.
#[derive(Debug)]
pub struct Link {
    socket: WebSocketStream<MaybeTlsStream<TcpStream>>,
    peer: Hello,
    meter: Arc<Meter>,
}

/// An accepted link that is being moved to another thread.
///
/// A socket is served by the event loop of the thread on which it is registered. A link that stayed
/// registered where it was accepted would have to wait for control work on that thread.
#[derive(Debug)]
pub struct Detached {
    stream: std::net::TcpStream,
    peer: Hello,
    meter: Arc<Meter>,
}

impl Detached {
    /// Registers the link with the calling thread's event loop.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be registered.
    pub async fn attach(self) -> Result<Link, Error> {
        let stream = MaybeTlsStream::Plain(TcpStream::from_std(self.stream)?);
        let socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(config())).await;
        Ok(Link {
            socket,
            peer: self.peer,
            meter: self.meter,
        })
    }
}

/// Sending half of a link.
pub type Sender = std::pin::Pin<Box<dyn Sink<Frame, Error = Error> + Send>>;

/// Sending half of a link for encoded frames, so that a frame for many links is encoded once.
pub type EncodedSender = std::pin::Pin<Box<dyn Sink<Bytes, Error = Error> + Send>>;

/// Sends an item, with a timeout.
///
/// # Errors
///
/// Returns [`Error::Closed`] if the other end does not accept the item in time, or the error of the
/// link.
pub async fn send_within<T>(
    sender: &mut (impl Sink<T, Error = Error> + Unpin),
    item: T,
    timeout: Duration,
) -> Result<(), Error> {
    let sent = time::timeout(timeout, sender.send(item)).await;
    sent.map_err(|_| Error::Closed)?
}

/// Receiving half of a link.
pub type Receiver = std::pin::Pin<Box<dyn Stream<Item = Result<Frame, Error>> + Send>>;

impl Link {
    /// Dials an address and performs the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be reached or the other end refuses the link.
    pub async fn dial(address: &str, hello: Hello) -> Result<Self, Error> {
        let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream =
            connecting.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/link");
        let (mut socket, _) = tokio_tungstenite::client_async_with_config(
            url,
            MaybeTlsStream::Plain(stream),
            Some(config()),
        )
        .await?;
        send(&mut socket, &Frame::Hello(hello)).await?;
        let peer = match receive(&mut socket).await? {
            Frame::Hello(peer) => peer,
            Frame::Refused(refusal) => return Err(refusal.into()),
            _ => return Err(Error::Handshake),
        };
        Ok(Self {
            socket,
            peer,
            meter: Arc::default(),
        })
    }

    /// Performs the handshake on an accepted connection.
    ///
    /// `check` receives the other end's first frame and accepts or refuses the link.
    ///
    /// # Errors
    ///
    /// Fails if the other end sends no valid first frame or `check` refuses it.
    pub async fn accept(
        stream: TcpStream,
        check: impl FnOnce(&Hello) -> Result<Hello, Refusal>,
    ) -> Result<Self, Error> {
        stream.set_nodelay(true)?;
        let stream = MaybeTlsStream::Plain(stream);
        let mut socket =
            tokio_tungstenite::accept_async_with_config(stream, Some(config())).await?;
        let Frame::Hello(peer) = receive(&mut socket).await? else {
            return Err(Error::Handshake);
        };
        let decision = if peer.version == VERSION {
            check(&peer)
        } else {
            Err(Refusal::Version)
        };
        match decision {
            Ok(hello) => send(&mut socket, &Frame::Hello(hello)).await?,
            Err(refusal) => {
                send(&mut socket, &Frame::Refused(refusal.clone())).await?;
                return Err(refusal.into());
            }
        }
        Ok(Self {
            socket,
            peer,
            meter: Arc::default(),
        })
    }

    /// Sets the meter that counts the frames of the link.
    #[must_use]
    pub fn meter(mut self, meter: Arc<Meter>) -> Self {
        self.meter = meter;
        self
    }

    /// Returns the other end's first frame.
    pub const fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Returns the purpose of the link.
    pub const fn purpose(&self) -> Purpose {
        self.peer.purpose
    }

    /// Deregisters an accepted link from this thread's event loop, right after the handshake.
    ///
    /// No data is lost: the dialling end sends nothing between its first frame and the answer to
    /// it, and this end has read nothing since.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be deregistered.
    pub fn detach(self) -> Result<Detached, Error> {
        let MaybeTlsStream::Plain(stream) = self.socket.into_inner() else {
            return Err(Error::Handshake);
        };
        Ok(Detached {
            stream: stream.into_std()?,
            peer: self.peer,
            meter: self.meter,
        })
    }

    /// Splits the link into a sending and a receiving half.
    pub fn split(self) -> (Sender, Receiver) {
        let (sink, stream) = self.split_encoded();
        let sink = sink.with(|frame: Frame| {
            let encoded = frame.encode();
            async move { Ok::<_, Error>(Bytes::from(encoded?)) }
        });
        (Box::pin(sink), stream)
    }

    /// Splits the link into a sending half for encoded frames and a receiving half.
    pub fn split_encoded(self) -> (EncodedSender, Receiver) {
        let (sink, stream) = self.socket.split();
        let (sent, received) = (Arc::clone(&self.meter), self.meter);
        let sink = sink.sink_map_err(Error::from).with(move |bytes: Bytes| {
            sent.sent(bytes.len());
            async move { Ok::<_, Error>(Message::Binary(bytes)) }
        });
        let stream = stream.filter_map(move |message| {
            let frame = match message {
                Ok(Message::Binary(bytes)) => {
                    received.received(bytes.len());
                    Some(Frame::decode(&bytes).map_err(Error::from))
                }
                Ok(Message::Close(_)) => Some(Err(Error::Closed)),
                Ok(_) => None,
                Err(error) => Some(Err(error.into())),
            };
            async move { frame }
        });
        (Box::pin(sink), Box::pin(stream))
    }
}

/// Binds a listener for links.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(address: impl ToSocketAddrs) -> Result<TcpListener, Error> {
    Ok(TcpListener::bind(address).await?)
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(frame::MAX_BYTES))
        .max_frame_size(Some(frame::MAX_BYTES))
}

async fn send(
    socket: &mut WebSocketStream<MaybeTlsStream<TcpStream>>,
    frame: &Frame,
) -> Result<(), Error> {
    socket.send(Message::Binary(frame.encode()?.into())).await?;
    Ok(())
}

async fn receive(socket: &mut WebSocketStream<MaybeTlsStream<TcpStream>>) -> Result<Frame, Error> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(Frame::decode(&bytes)?),
            Some(Ok(Message::Close(_))) | None => return Err(Error::Closed),
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(error.into()),
        }
    }
}
