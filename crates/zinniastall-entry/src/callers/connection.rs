//! Callers' connections, on which refusals of the HTTP library itself say what they mean.
//!
//! The library refuses a head that is malformed, too long or too slow before any handler sees a
//! request, by a bare status without a body. A caller who reads the error's type and outcome would
//! find neither and could not tell whether to send again. [`Connection`] recognises these answers
//! as they are written and gives them the body that all other refusals have.
//!
//! An answer of a target may hold the same bytes. It is left alone: whatever is written while an
//! answer of the application is open, or before such an answer has been flushed, passes unchanged.

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

/// How the library announces an answer without a body.
const EMPTY_BODY_HEADER: &str = "\r\ncontent-length: 0\r\n";
/// Longest bare answer of the library; its status line, length, connection and date.
const MAX_BARE_RESPONSE_BYTES: usize = 256;

/// Answers of the application on one connection.
#[derive(Debug, Clone, Default)]
pub struct Responses(Rc<ResponseState>);

#[derive(Debug, Default)]
struct ResponseState {
    open: Cell<usize>,
    /// An answer has ended and may not have been flushed.
    ended: Cell<bool>,
}

impl Responses {
    /// Marks the start of an answer.
    pub fn start(&self) -> ResponseGuard {
        self.0.open.set(self.0.open.get() + 1);
        ResponseGuard(Rc::clone(&self.0))
    }

    fn is_idle(&self) -> bool {
        self.0.open.get() == 0 && !self.0.ended.get()
    }
}

/// An answer that the application has started; dropping it ends the answer.
#[derive(Debug)]
pub struct ResponseGuard(Rc<ResponseState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.ended.set(true);
    }
}

/// The body of an answer, which is open for as long as its body is held.
#[derive(Debug)]
pub struct GuardedBody<B> {
    body: B,
    _guard: ResponseGuard,
}

impl<B> GuardedBody<B> {
    /// Holds an answer open until its body has been written.
    pub const fn new(body: B, guard: ResponseGuard) -> Self {
        Self {
            body,
            _guard: guard,
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
        Pin::new(&mut self.body).poll_next(context)
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    instance: id::Instance,
    responses: Responses,
    /// Everything written so far has been flushed.
    flushed: bool,
    /// What is left of an explained refusal, and the length of the bare one it replaces.
    replacement: Option<(Bytes, usize)>,
}

impl Connection {
    /// Wraps a connection that a caller has opened to an instance.
    pub fn new(stream: TcpStream, instance: id::Instance) -> Self {
        Self {
            stream,
            instance,
            responses: Responses::default(),
            flushed: true,
            replacement: None,
        }
    }

    /// Returns the answers of the application on this connection.
    pub fn responses(&self) -> Responses {
        self.responses.clone()
    }

    fn typed_refusal(&self, bytes: &[u8]) -> Option<Bytes> {
        if !self.flushed || bytes.len() > MAX_BARE_RESPONSE_BYTES || !self.responses.is_idle() {
            return None;
        }
        typed_refusal(std::str::from_utf8(bytes).ok()?, &self.instance).map(Bytes::from)
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

/// Returns a bare refusal with a body, and nothing for any other text.
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

/// Returns why the library answers with a status.
fn reason(status: &str) -> Option<Reason> {
    match status {
        "400" => Some(Reason::Head),
        "408" => Some(Reason::Slow),
        "431" => Some(Reason::LongHead),
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
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        // The library flushes when its buffer is empty, so the next write starts an answer or goes
        // on with one that is open.
        this.flushed = true;
        this.responses.0.ended.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
