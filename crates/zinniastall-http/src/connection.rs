//! The two halves of a connection with their buffers.

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
    head::{self, Parse},
};

/// Bytes asked of the socket at once.
const READ_BYTES: usize = 8 << 10;
/// Bytes that the other end may send ahead while an answer is awaited. Beyond them reading stops, and
/// with it the noticing of its end, until the answer is out.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Longest head of a response, in bytes.
pub const RESPONSE_HEAD: usize = 32 << 10;

/// Why reading failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The head is not valid.
    #[error(transparent)]
    Head(#[from] head::Fault),
    /// The body is not valid.
    #[error(transparent)]
    Body(#[from] body::Fault),
    /// The connection ended inside a head.
    #[error("the connection ended inside a head")]
    Ended,
}

/// Half that reads.
#[derive(Debug)]
pub struct Reader {
    half: OwnedReadHalf,
    input: BytesMut,
    ended: bool,
}

/// Half that writes.
#[derive(Debug)]
pub struct Writer {
    half: OwnedWriteHalf,
}

/// Splits a connection; small writes leave at once.
///
/// # Errors
///
/// Fails when the socket refuses the option.
pub fn split(stream: TcpStream) -> io::Result<(Reader, Writer)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let reader = Reader {
        half: read,
        input: BytesMut::new(),
        ended: false,
    };
    Ok((reader, Writer { half: write }))
}

impl Reader {
    /// Reads a head, or `None` when the connection ends in order before its first byte.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// [`Error`] says what was found instead.
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

    /// Waits for the first byte of a message; tells whether there is one.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn first_byte(&mut self) -> io::Result<bool> {
        if !self.input.is_empty() {
            return Ok(true);
        }
        Ok(self.fill().await? > 0)
    }

    /// Reads the next piece of a body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error`] when the body is cut or malformed.
    pub async fn piece(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, Error> {
        loop {
            match decoder.decode(&mut self.input)? {
                Step::Piece(bytes) => return Ok(Some(bytes)),
                Step::End => return Ok(None),
                Step::More => {}
            }
            if self.fill().await? == 0 {
                decoder.finish()?;
                return Ok(None);
            }
        }
    }

    /// Waits until the other end closes or resets the connection.
    ///
    /// What it sends meanwhile is kept, up to a bound; a caller that sends requests ahead is not
    /// cut off for it.
    pub async fn closed(&mut self) {
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

    /// Drops the bytes that wait; tells whether there were any.
    pub fn skip(&mut self) -> bool {
        let any = self.has_rest();
        self.input.clear();
        any
    }

    /// Tells whether bytes wait that belong to no message read so far.
    pub fn has_rest(&self) -> bool {
        !self.input.is_empty()
    }

    /// Tells, without waiting, whether the other end has sent bytes or an end since.
    pub fn is_disturbed(&mut self) -> bool {
        if self.ended || self.has_rest() {
            return true;
        }
        self.input.reserve(1);
        match self.half.try_read_buf(&mut self.input) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        if self.ended {
            return Ok(0);
        }
        if self.input.is_empty() && self.input.capacity() > 4 * READ_BYTES {
            // An idle connection would keep the memory of its longest body.
            self.input = BytesMut::new();
        }
        self.input.reserve(READ_BYTES);
        let read = self.half.read_buf(&mut self.input).await?;
        self.ended = read == 0;
        Ok(read)
    }

    /// Gives an idle connection's memory back.
    pub fn rest(&mut self) {
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
    /// Fails when the connection does.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.half.write_all(bytes).await
    }

    /// Ends this direction in order.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed already.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.half.shutdown().await
    }

    /// Returns the address of the other end.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed already.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.half.peer_addr()
    }
}
