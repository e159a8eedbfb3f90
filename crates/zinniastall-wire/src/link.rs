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

/// Bytes read at once. The library keeps and clears a buffer of this size for every read of every link;
/// its default of 128 KiB was nearly all the memory of a link, and frames of gossip are far shorter.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Longest time for a connection to open: twice the round trip between distant regions. The first packet
/// to a machine without power is lost, and the system repeats it after a second; a new attempt finds
/// the machine as soon as it is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a link could not be opened or broke.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection or the WebSocket failed.
    #[error("link failed")]
    Socket(#[from] Box<tungstenite::Error>),
    /// The address cannot be reached.
    #[error("link cannot connect")]
    Connect(#[from] std::io::Error),
    /// A frame is malformed.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// The other end refused the link.
    #[error("link refused: {0}")]
    Refused(#[from] Refusal),
    /// The other end sent something else than the handshake asks for.
    #[error("handshake out of order")]
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

/// A link whose handshake is done.
#[derive(Debug)]
pub struct Link {
    socket: WebSocketStream<MaybeTlsStream<TcpStream>>,
    peer: Hello,
    meter: Arc<Meter>,
}

/// A taken link on its way to another thread.
///
/// A socket is served by the event loop of the thread that registered it. A link that stayed
/// registered where it was accepted would wait for control work there.
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
    /// Fails when the socket cannot be registered.
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

/// Half of a link that sends.
pub type Sender = std::pin::Pin<Box<dyn Sink<Frame, Error = Error> + Send>>;

/// Half of a link that sends frames which were encoded before, once for all links that send the same.
pub type EncodedSender = std::pin::Pin<Box<dyn Sink<Bytes, Error = Error> + Send>>;

/// Sends one item, unless the other end takes nothing for too long.
///
/// # Errors
///
/// [`Error::Closed`] when it takes nothing, or whatever the link failed of.
pub async fn send_within<T>(
    sender: &mut (impl Sink<T, Error = Error> + Unpin),
    item: T,
    timeout: Duration,
) -> Result<(), Error> {
    let sent = time::timeout(timeout, sender.send(item)).await;
    sent.map_err(|_| Error::Closed)?
}

/// Half of a link that receives.
pub type Receiver = std::pin::Pin<Box<dyn Stream<Item = Result<Frame, Error>> + Send>>;

impl Link {
    /// Dials an address and shakes hands.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be reached or the other end refuses.
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

    /// Takes a connection and shakes hands; `judge` decides on the other end's first frame.
    ///
    /// # Errors
    ///
    /// Fails when the other end sends no valid first frame or `judge` refuses it.
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

    /// Counts the link's frames on a meter from now on.
    #[must_use]
    pub fn meter(mut self, meter: Arc<Meter>) -> Self {
        self.meter = meter;
        self
    }

    /// Returns the other end's first frame.
    pub const fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Returns what the link is for.
    pub const fn purpose(&self) -> Purpose {
        self.peer.purpose
    }

    /// Takes an accepted link off this thread's event loop, right after the handshake.
    ///
    /// Nothing is lost: the dialling end sends nothing between its first frame and the answer to
    /// it, and this end has read nothing since.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot be taken off the event loop.
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

    /// Splits the link into its two directions.
    pub fn split(self) -> (Sender, Receiver) {
        let (sink, stream) = self.split_encoded();
        let sink = sink.with(|frame: Frame| {
            let encoded = frame.encode();
            async move { Ok::<_, Error>(Bytes::from(encoded?)) }
        });
        (Box::pin(sink), stream)
    }

    /// Splits the link into its two directions; what is sent has been encoded before.
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
/// Fails when the address cannot be bound.
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
