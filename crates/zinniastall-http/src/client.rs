//! Sends a request on a connection while its answer is read.

use std::{io, time::Duration};

use bytes::BytesMut;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HOST},
};

use crate::{
    connection::{Error, MAX_RESPONSE_HEAD_BYTES, Reader, Writer},
    head::{self, Response},
    pool::Connection,
};

/// Informational heads before an answer; servers send one or two.
const MAX_INFORMATIONAL: usize = 16;

/// Longest request that a server has most likely read when it answers. Of a longer one a part may still
/// be in the buffers between the two ends.
const MAX_READ_AT_ONCE_BYTES: usize = 64 << 10;

/// Sends a request on a connection of its own, and returns the head of the answer; its body isn't read.
///
/// The caller sets no field of the framing or the connection, and bounds the time.
///
/// # Errors
///
/// Fails if no connection opens in time, if it fails, or if the answer is none in the protocol.
pub async fn ask(
    address: &str,
    (method, path): (&Method, &str),
    mut headers: HeaderMap,
    body: &[u8],
    connect_timeout: Duration,
) -> Result<Response, Error> {
    let host = HeaderValue::try_from(address).map_err(io::Error::other)?;
    headers.insert(HOST, host);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    let mut request = BytesMut::new();
    head::write_request(&mut request, method, path, &headers);
    let mut connection = Connection::open(address, connect_timeout).await?;
    let Connection { reader, writer, .. } = &mut connection;
    Exchange::start(reader, writer, [&request, body])
        .next_head()
        .await
}

/// A request that is written, and whose answer is awaited.
///
/// A server may answer before it has read a long body, so both directions make progress together.
pub struct Exchange<'a> {
    reader: &'a mut Reader,
    writing: Option<LocalBoxFuture<'a, io::Result<()>>>,
    has_failed: bool,
    length: usize,
}

impl std::fmt::Debug for Exchange<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exchange")
            .field("is_written", &self.is_written())
            .finish_non_exhaustive()
    }
}

impl<'a> Exchange<'a> {
    /// Starts to write an encoded request, which may be in two parts.
    pub fn start(reader: &'a mut Reader, writer: &'a mut Writer, request: [&'a [u8]; 2]) -> Self {
        let length = request.iter().map(|part| part.len()).sum();
        let write = async move {
            for part in request.into_iter().filter(|part| !part.is_empty()) {
                writer.write(part).await?;
            }
            Ok(())
        };
        Self {
            reader,
            writing: Some(write.boxed_local()),
            has_failed: false,
            length,
        }
    }

    /// Returns whether the whole request has been written, or its writing has failed.
    pub const fn is_written(&self) -> bool {
        self.writing.is_none()
    }

    /// Returns whether the request could not be written in full. An answer may have arrived
    /// nevertheless.
    pub const fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns whether the whole request was written.
    pub const fn is_sent(&self) -> bool {
        self.is_written() && !self.has_failed
    }

    /// Returns whether the connection may serve another request behind the answer of a server that may
    /// answer early.
    ///
    /// One that has answered before it read all of a long request may take the next one for its rest, or
    /// reset the connection with the next one on it.
    pub const fn is_reusable(&self) -> bool {
        self.is_sent() && self.length <= MAX_READ_AT_ONCE_BYTES
    }

    /// Returns the half from which the body of an answer is read.
    pub const fn reader(&mut self) -> &mut Reader {
        self.reader
    }

    /// Reads the head of the next answer, without informational ones.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or ends, if the head is invalid, or if informational ones don't end.
    pub async fn next_head(&mut self) -> Result<Response, Error> {
        let mut informational = 0;
        loop {
            let head = self.reader.head::<Response>(MAX_RESPONSE_HEAD_BYTES);
            let head = match &mut self.writing {
                None => head.await?,
                Some(writing) => tokio::select! {
                    biased;
                    written = writing => {
                        self.writing = None;
                        if let Err(error) = written {
                            self.has_failed = true;
                            self.reader.note_write_failure(&error);
                        }
                        continue;
                    }
                    head = head => head?,
                },
            };
            match head {
                Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                    // No request here asks for it, and what follows is not HTTP.
                    return Err(head::Error::Malformed("status").into());
                }
                Some(head) if head.status.is_informational() => {
                    informational += 1;
                    if informational > MAX_INFORMATIONAL {
                        return Err(head::Error::TooLong.into());
                    }
                }
                Some(head) => return Ok(head),
                None => return Err(Error::Closed),
            }
        }
    }
}
