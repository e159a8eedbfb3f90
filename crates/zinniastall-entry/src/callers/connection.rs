//! Caller connections that add a typed body to rejections by the HTTP library.
//!
//! The library rejects a head that is malformed, too long or too slow before any handler sees the
//! request, with a bare status and no body. A caller that reads the error type and outcome would
//! find neither and could not tell whether a retry is safe. [`Connection`] recognises these
//! responses as they are written and gives them the same body as any other refusal.
//!
//! A target's response may contain the same bytes and must not be changed. Whatever is written
//! while an application response is open, or before it has been flushed, therefore passes through
//! unchanged.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use actix_rt::net::TcpStream;
use actix_web::body::{BodySize, MessageBody};
use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use zinniastall_model::{header::INSTANCE, header::OUTCOME, id};
use zinniastall_route::outcome::{Reason, Refusal};

use super::response::error_json;

/// Header by which the library announces an empty body.
const EMPTY_BODY_HEADER: &str = "\r\ncontent-length: 0\r\n";
/// Maximum length of a bare library response: status line, length, connection and date.
const MAX_BARE_RESPONSE_BYTES: usize = 256;

/// Tracks the application's open responses on one connection.
#[derive(Debug, Clone, Default)]
pub struct Responses(Rc<ResponseState>);

#[derive(Debug, Default)]
struct ResponseState {
    open: Cell<usize>,
    /// A response has ended and may not have been flushed yet.
    ended: Cell<bool>,
    /// A response that ends with its connection has begun and not ended.
    unfinished: Cell<bool>,
}

impl Responses {
    /// Marks the start of a response.
    pub fn start(&self) -> ResponseGuard {
        self.0.open.set(self.0.open.get() + 1);
        ResponseGuard(Rc::clone(&self.0))
    }

    /// Tells whether a response that ends with its connection has begun and not ended: then the
    /// connection is reset if it is dropped, also by the end of the process.
    fn set_unfinished(&self, is_unfinished: bool) {
        self.0.unfinished.set(is_unfinished);
    }

    fn is_idle(&self) -> bool {
        self.0.open.get() == 0 && !self.0.ended.get()
    }
}

impl ResponseGuard {
    fn responses(&self) -> Responses {
        Responses(Rc::clone(&self.0))
    }
}

/// Keeps a response marked as open until dropped.
#[derive(Debug)]
pub struct ResponseGuard(Rc<ResponseState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.ended.set(true);
    }
}

/// Response body that keeps its response marked as open while it exists.
#[derive(Debug)]
pub struct GuardedBody<B> {
    body: B,
    is_close_delimited: bool,
    guard: ResponseGuard,
}

impl<B> GuardedBody<B> {
    /// Wraps a body together with the guard of its response; `is_close_delimited` tells whether it
    /// ends with its connection.
    pub fn new(body: B, is_close_delimited: bool, guard: ResponseGuard) -> Self {
        if is_close_delimited {
            guard.responses().set_unfinished(true);
        }
        Self {
            body,
            is_close_delimited,
            guard,
        }
    }
}

impl<B: MessageBody + Unpin> MessageBody for GuardedBody<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let part = ready!(Pin::new(&mut self.body).poll_next(context));
        if part.is_none() && self.is_close_delimited {
            self.guard.responses().set_unfinished(false);
        }
        Poll::Ready(part)
    }
}

/// Connection from a caller.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    instance: id::Instance,
    responses: Responses,
    /// Whether everything written so far has been flushed.
    flushed: bool,
    /// Whether the socket is set to reset the connection when it is closed.
    resets: bool,
    /// Unwritten rest of a typed refusal, and the length of the bare response that it replaces.
    replacement: Option<(Bytes, usize)>,
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, instance: id::Instance) -> Self {
        Self {
            stream,
            instance,
            responses: Responses::default(),
            flushed: true,
            resets: false,
            replacement: None,
        }
    }

    /// Returns the tracker of the application's responses on this connection.
    pub fn responses(&self) -> Responses {
        self.responses.clone()
    }

    fn typed_refusal(&self, bytes: &[u8]) -> Option<Bytes> {
        if !self.flushed || bytes.len() > MAX_BARE_RESPONSE_BYTES || !self.responses.is_idle() {
            return None;
        }
        typed_refusal(std::str::from_utf8(bytes).ok()?, &self.instance).map(Bytes::from)
    }

    /// Has the socket reset the connection on its close while a response that ends with it is
    /// unfinished: an orderly end would look like the response's.
    fn sync_reset(&mut self) -> io::Result<()> {
        let resets = self.responses.0.unfinished.get();
        if resets == self.resets {
            return Ok(());
        }
        self.resets = resets;
        if resets {
            return self.stream.set_zero_linger();
        }
        #[expect(deprecated, reason = "without a time it does not block")]
        self.stream.set_linger(None)
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

/// Adds a typed body to a bare rejection; returns `None` for any other text.
fn typed_refusal(text: &str, instance: &str) -> Option<String> {
    let head = text.strip_suffix("\r\n\r\n")?;
    let status = head
        .strip_prefix("HTTP/1.1 ")
        .or_else(|| head.strip_prefix("HTTP/1.0 "))?;
    let refusal = Refusal::not_run(reason(status.get(..3)?)?);
    let body = error_json(&refusal);
    let fields = format!(
        "\r\ncontent-length: {}\r\ncontent-type: application/json\r\n{INSTANCE}: {instance}\r\n{OUTCOME}: {}\r\n",
        body.len(),
        refusal.outcome.as_str(),
    );
    let is_bare = text.contains(EMPTY_BODY_HEADER) && !head.contains("\r\n\r\n");
    is_bare.then(|| text.replacen(EMPTY_BODY_HEADER, &fields, 1) + &body)
}

/// Maps a library status to the reason for the rejection.
fn reason(status: &str) -> Option<Reason> {
    match status {
        "400" => Some(Reason::MalformedHead),
        "408" => Some(Reason::ArrivalTimeout),
        "431" => Some(Reason::HeadTooLarge),
        _ => None,
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.sync_reset()?;
        if this.replacement.is_none() {
            this.replacement = this.typed_refusal(bytes).map(|text| (text, bytes.len()));
        }
        this.flushed = false;
        let Some((rest, length)) = &mut this.replacement else {
            return Pin::new(&mut this.stream).poll_write(context, bytes);
        };
        while rest.has_remaining() {
            let written = ready!(Pin::new(&mut this.stream).poll_write(context, rest))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            rest.advance(written);
        }
        let length = *length;
        this.replacement = None;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.sync_reset()?;
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        // The library flushes when its buffer is empty, so the next write either starts a response
        // or continues one that is open.
        this.flushed = true;
        this.responses.0.ended.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.sync_reset()?;
        if this.resets {
            // Closing the socket resets the connection; shutting it down would end it in order first.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}
