//! Small HTTP server for handlers that work on complete bodies.
//!
//! It serves metrics, status pages and the calls of operators and targets. The request path has its
//! own server, which streams.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use crate::{
    body::Decoder,
    connection::{self, Error, Part, Reader, Writer},
    head::{self, Request},
};

/// Longest accepted request head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Buffer space reserved for the head of an answer; most fit into it.
const TYPICAL_HEAD_BYTES: usize = 512;
/// Delay after a failed accept. The usual cause is a lack of file descriptors, and an immediate
/// retry would busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Call {
    /// Head of the request.
    pub head: Request,
    /// Body.
    pub body: Bytes,
}

/// An answer with its complete body.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Header fields; those of the framing are added by [`encode`](Self::encode).
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Handler for the requests of a server.
pub trait Handler {
    /// Answers a request.
    fn call(&self, call: Call) -> LocalBoxFuture<'static, Reply>;
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest accepted request body, in bytes.
    pub body: usize,
    /// Time within which the next request must have arrived completely, including idle time.
    pub idle: Duration,
}

impl Reply {
    /// Creates an answer without a body.
    pub fn new(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Creates an answer with a JSON body.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let mut reply = Self::new(status);
        let json = HeaderValue::from_static("application/json");
        reply.headers.insert(CONTENT_TYPE, json);
        reply.body = body.into();
        reply
    }

    /// Sets a header field.
    #[must_use]
    pub fn header(mut self, name: http::HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Encodes the answer with its framing; if `keep_alive` is false, `Connection: close` is added.
    pub fn encode(mut self, keep_alive: bool) -> BytesMut {
        let length = HeaderValue::from(self.body.len());
        self.headers.insert(CONTENT_LENGTH, length);
        if !keep_alive {
            let close = HeaderValue::from_static("close");
            self.headers.insert(CONNECTION, close);
        }
        let mut output = BytesMut::with_capacity(TYPICAL_HEAD_BYTES + self.body.len());
        head::write_response(&mut output, self.status, &self.headers);
        output.extend_from_slice(&self.body);
        output
    }
}

/// Accepts connections forever and serves them on the current thread.
pub async fn serve(listener: TcpListener, limits: Limits, handler: Rc<dyn Handler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = Rc::clone(&handler);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(stream, limits, &*handler).await {
                        tracing::debug!(event = "connection-failed", error = %error);
                    }
                });
            }
            Err(error) => {
                tracing::error!(event = "accept-failed", error = %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    limits: Limits,
    handler: &dyn Handler,
) -> Result<(), Error> {
    let (mut reader, mut writer) = connection::split(stream)?;
    loop {
        let call = match time::timeout(limits.idle, read(&mut reader, limits)).await {
            Ok(Ok(Some(call))) => call,
            Ok(Ok(None)) | Err(_) => return Ok(()),
            Ok(Err(refusal)) => {
                let status = refusal.status();
                write(&mut writer, Reply::new(status), false).await?;
                return Err(refusal.error);
            }
        };
        let keep_alive = call.head.is_keep_alive();
        let reply = handler.call(call).await;
        write(&mut writer, reply, keep_alive).await?;
        if !keep_alive {
            return Ok(());
        }
        reader.release_buffer();
    }
}

/// Reason why a request was not read.
struct Refusal {
    error: Error,
    is_body_too_long: bool,
}

impl Refusal {
    const fn status(&self) -> StatusCode {
        match &self.error {
            _ if self.is_body_too_long => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Head(head::Error::TooLong) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl<T: Into<Error>> From<T> for Refusal {
    fn from(error: T) -> Self {
        Self {
            error: error.into(),
            is_body_too_long: false,
        }
    }
}

async fn read(reader: &mut Reader, limits: Limits) -> Result<Option<Call>, Refusal> {
    let Some(head) = reader.head::<Request>(MAX_HEAD_BYTES).await? else {
        return Ok(None);
    };
    let mut decoder = Decoder::new(head.framing()?);
    let mut body = BytesMut::new();
    while let Part::Piece(piece) = reader.part(&mut decoder).await? {
        body.extend_from_slice(&piece);
        if body.len() > limits.body {
            return Err(Refusal {
                error: Error::Ended,
                is_body_too_long: true,
            });
        }
    }
    let body = body.freeze();
    Ok(Some(Call { head, body }))
}

async fn write(writer: &mut Writer, reply: Reply, keep_alive: bool) -> Result<(), Error> {
    writer.write(&reply.encode(keep_alive)).await?;
    if !keep_alive {
        writer.finish().await?;
    }
    Ok(())
}
