//! Connections to targets that report a lost connection as an error.
//!
//! `awc` ends a response body without an error if the connection closes early, for bodies with a
//! content length and for chunked ones. A target killed in the middle of a response would then
//! leave a truncated response that looks complete. [`Guard`] turns the close of the connection into
//! an error. A complete response is recognised by its length or last chunk before the close is
//! read, so only truncated responses fail.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that reports end of file as an error.
#[derive(Debug)]
pub struct Guard {
    stream: TcpStream,
}

impl Guard {
    /// Wraps a connection to a target.
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
