//! Connections to targets that never mistake a lost connection for the end of an answer.
//!
//! `awc` ends an answer's body without an error when the connection closes early, for announced
//! lengths and for chunked bodies alike: a target killed in the middle of an answer would leave an
//! answer that looks whole. [`Guard`] turns the close of a connection into an error. An answer that
//! has arrived as a whole is recognised by its length or last chunk before the close is read, so
//! only cut answers fail.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection whose close is an error.
#[derive(Debug)]
pub struct Guard {
    stream: TcpStream,
}

impl Guard {
    /// Wraps a connection.
    pub const fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl AsyncRead for Guard {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.inner().poll_read(context, buffer))?;
        if buffer.filled().len() == before && buffer.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Guard {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner().poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_shutdown(context)
    }
}

impl ActixStream for Guard {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
