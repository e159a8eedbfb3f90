//! Read and write halves of a connection.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

use crate::{
    body::{self, Decoder, Step},
    ending::Ending,
    head::{self, Parse},
};

/// Buffer space reserved for each read from the socket.
const READ_BYTES: usize = 8 << 10;
/// Bytes buffered from the peer while it waits for an answer. Beyond that, reading stops, and a
/// close by the peer goes unnoticed until the answer has been sent.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Longest accepted head of a response, in bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 << 10;

/// Reason why a message can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The head is invalid.
    #[error(transparent)]
    Head(#[from] head::Error),
    /// The body is invalid.
    #[error(transparent)]
    Body(#[from] body::Error),
    /// The connection ended inside a head.
    #[error("the connection ended inside a head")]
    Ended,
    /// The connection ended without a message.
    #[error("closed without an answer")]
    Closed,
}

/// What is read of a body next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// The next bytes.
    Piece(Bytes),
    /// The end, and what is known of it.
    End(Ending),
}

/// Buffered read half of a connection.
#[derive(Debug)]
pub struct Reader {
    half: OwnedReadHalf,
    input: BytesMut,
    ended: bool,
    /// Failure of the connection that the write half was told of.
    failed: Option<io::ErrorKind>,
}

/// Write half of a connection.
///
/// Dropping it ends the connection in order, unless [`reset_unless_finished`](Self::reset_unless_finished)
/// was called.
#[derive(Debug)]
pub struct Writer {
    half: Option<OwnedWriteHalf>,
    is_unfinished: bool,
}

/// Splits a connection into its halves and disables Nagle's algorithm.
///
/// # Errors
///
/// Fails if the socket option can't be set.
pub fn split(stream: TcpStream) -> io::Result<(Reader, Writer)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let reader = Reader {
        half: read,
        input: BytesMut::new(),
        ended: false,
        failed: None,
    };
    let writer = Writer {
        half: Some(write),
        is_unfinished: false,
    };
    Ok((reader, writer))
}

impl Reader {
    /// Reads a head, or returns `None` if the connection is closed before its first byte.
    ///
    /// This method is cancel safe: bytes read so far stay in the buffer.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or ends inside the head, or if the head is invalid.
    pub async fn head<T: Parse>(&mut self, limit: usize) -> Result<Option<T>, Error> {
        loop {
            if !self.input.is_empty()
                && let Some(head) = T::parse(&mut self.input, limit)?
            {
                return Ok(Some(head));
            }
            if self.fill().await? == 0 {
                if self.input.is_empty() {
                    return Ok(None);
                }
                return Err(Error::Ended);
            }
        }
    }

    /// Waits for the first byte of a message; returns false if the connection is closed instead.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn first_byte(&mut self) -> io::Result<bool> {
        if !self.input.is_empty() {
            return Ok(true);
        }
        Ok(self.fill().await? > 0)
    }

    /// Reads the next part of a body.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or if the body is truncated or malformed.
    pub async fn part(&mut self, decoder: &mut Decoder) -> Result<Part, Error> {
        loop {
            match decoder.decode(&mut self.input)? {
                Step::Piece(bytes) => return Ok(Part::Piece(bytes)),
                Step::End(ending) => return Ok(Part::End(ending)),
                Step::More => {}
            }
            if self.fill().await? == 0 {
                return Ok(Part::End(decoder.finish()?));
            }
        }
    }

    /// Waits until the peer closes or resets the connection.
    ///
    /// Bytes that arrive meanwhile are buffered, up to a limit, so that a peer may pipeline its
    /// requests.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.input.len() >= MAX_READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Discards the buffered bytes and returns whether there were any.
    pub fn discard_unread(&mut self) -> bool {
        let any = self.has_unread();
        self.input.clear();
        any
    }

    /// Returns whether the peer has ended the connection in order.
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether bytes are buffered beyond the messages read so far.
    pub fn has_unread(&self) -> bool {
        !self.input.is_empty()
    }

    /// Checks, without waiting, whether the peer has sent bytes or closed or reset the connection.
    pub fn is_stale(&mut self) -> bool {
        if self.ended || self.has_unread() {
            return true;
        }
        self.input.reserve(1);
        match self.half.try_read_buf(&mut self.input) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Records that writing failed on this connection.
    ///
    /// A socket reports the error of a reset once. If the write half has taken it, reading finds the
    /// bytes that came before, and then what looks like an orderly end. A broken pipe is no such error:
    /// the peer had ended its direction in order before it stopped reading.
    pub fn note_write_failure(&mut self, error: &io::Error) {
        if error.kind() != io::ErrorKind::BrokenPipe {
            self.failed = Some(error.kind());
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        if self.ended {
            return Ok(0);
        }
        if self.input.is_empty() && self.input.capacity() > 4 * READ_BYTES {
            // Otherwise a connection would keep the memory of its longest body.
            self.input = BytesMut::new();
        }
        self.input.reserve(READ_BYTES);
        let read = self.half.read_buf(&mut self.input).await?;
        match self.failed {
            Some(kind) if read == 0 => Err(kind.into()),
            _ => {
                self.ended = read == 0;
                Ok(read)
            }
        }
    }

    /// Frees the buffer of an idle connection.
    pub fn release_buffer(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }
}

impl Writer {
    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.half()?.write_all(bytes).await
    }

    /// Writes some of the bytes and returns how many.
    ///
    /// This method is cancel safe: if it doesn't return, nothing was written.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write_some(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.half()?.write(bytes).await? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            written => Ok(written),
        }
    }

    /// Returns the failure of the connection that nobody was told of, such as that of a reset after the
    /// peer had ended its direction.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be asked.
    pub fn take_error(&mut self) -> io::Result<Option<io::Error>> {
        self.half()?.as_ref().take_error()
    }

    /// Has the connection reset instead of ended in order, by dropping it or by the end of the process,
    /// until [`finish`](Self::finish).
    ///
    /// The peer of a close-delimited message would take an orderly end for the message's.
    ///
    /// # Errors
    ///
    /// Fails if the connection has already failed.
    pub fn reset_unless_finished(&mut self) -> io::Result<()> {
        self.half()?.as_ref().set_zero_linger()?;
        self.is_unfinished = true;
        Ok(())
    }

    /// Shuts down the write direction.
    ///
    /// # Errors
    ///
    /// Fails if the connection has already failed.
    pub async fn finish(&mut self) -> io::Result<()> {
        let was_unfinished = std::mem::take(&mut self.is_unfinished);
        let half = self.half()?;
        if was_unfinished {
            #[expect(deprecated, reason = "without a time it does not block")]
            half.as_ref().set_linger(None)?;
        }
        half.shutdown().await
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    ///
    /// Fails if the connection has already failed.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.half
            .as_ref()
            .ok_or(io::ErrorKind::NotConnected)?
            .peer_addr()
    }

    fn half(&mut self) -> io::Result<&mut OwnedWriteHalf> {
        Ok(self.half.as_mut().ok_or(io::ErrorKind::NotConnected)?)
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        if self.is_unfinished
            && let Some(half) = self.half.take()
        {
            // Dropping it would shut the connection down in order first.
            half.forget();
        }
    }
}
