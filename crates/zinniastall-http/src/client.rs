//! Sends a request on a connection while its answer is read.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HOST},
};

use tokio::time::{self, Instant};

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

/// Time within which a reset arrives that answers what was written: several round trips to a server of
/// the same region.
const RESET_TIME: Duration = Duration::from_millis(100);
/// Interval at which a connection is asked whether it was reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time for which the rest of a request is written behind its answer.
const MAX_REST_TIME: Duration = Duration::from_secs(5);

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
    let request = [request.freeze(), Bytes::copy_from_slice(body)];
    Exchange::start(reader, writer, request).next_head().await
}

/// A request that is written, and whose answer is awaited.
///
/// A server may answer before it has read a long body, so both directions make progress together.
pub struct Exchange<'a> {
    reader: &'a mut Reader,
    writing: Option<LocalBoxFuture<'a, io::Result<()>>>,
    request: [Bytes; 2],
    progress: Rc<Progress>,
    has_failed: bool,
}

/// How much of a request was written.
#[derive(Debug, Default)]
struct Progress {
    written: Cell<usize>,
    /// When the last part was written.
    last: Cell<Option<Instant>>,
}

/// What was not written of a request when its answer began.
#[derive(Debug, Default)]
pub struct Rest {
    unsent: [Bytes; 2],
    last_write: Option<Instant>,
    has_failed: bool,
    is_long: bool,
}

impl Rest {
    /// Learns whether the server that has ended a close-delimited answer in order has read the request or
    /// still reads it, by writing the rest. One that has closed the connection under a request that is
    /// still being written ends its side in order as well, and resets it at what comes later; then the
    /// answer may have been broken off.
    ///
    /// A request that was short, and written when the answer began, costs nothing; after a long one
    /// [`RESET_TIME`] has to pass since its last part was written.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if the server reads nothing for a long time.
    pub async fn confirm(self, writer: &mut Writer) -> io::Result<()> {
        if self.has_failed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let has_unsent = self.unsent.iter().any(|part| !part.is_empty());
        if !has_unsent && !self.is_long {
            return Ok(());
        }
        let mut last_write = self.last_write;
        if has_unsent {
            let write = async {
                for part in &self.unsent {
                    writer.write(part).await?;
                }
                Ok::<(), io::Error>(())
            };
            let written = time::timeout(MAX_REST_TIME, write).await;
            written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
            last_write = Some(Instant::now());
        }
        let until = last_write.unwrap_or_else(Instant::now) + RESET_TIME;
        loop {
            if let Some(error) = writer.take_error()? {
                return Err(error);
            }
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            time::sleep_until(until.min(now + RESET_POLL_INTERVAL)).await;
        }
    }
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
    pub fn start(reader: &'a mut Reader, writer: &'a mut Writer, request: [Bytes; 2]) -> Self {
        let progress = Rc::<Progress>::default();
        let (parts, noted) = (request.clone(), Rc::clone(&progress));
        let write = async move {
            for mut part in parts {
                while !part.is_empty() {
                    let written = writer.write_some(&part).await?;
                    part.advance(written);
                    noted.written.set(noted.written.get() + written);
                    noted.last.set(Some(Instant::now()));
                }
            }
            Ok(())
        };
        Self {
            reader,
            writing: Some(write.boxed_local()),
            request,
            progress,
            has_failed: false,
        }
    }

    /// Returns what was not written yet.
    pub fn rest(&self) -> Rest {
        let mut written = self.progress.written.get();
        let unsent = self.request.clone().map(|mut part| {
            let skipped = written.min(part.len());
            written -= skipped;
            part.advance(skipped);
            part
        });
        Rest {
            unsent,
            last_write: self.progress.last.get(),
            has_failed: self.has_failed,
            is_long: self.is_long(),
        }
    }

    fn is_long(&self) -> bool {
        let length: usize = self.request.iter().map(Bytes::len).sum();
        length > MAX_READ_AT_ONCE_BYTES
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
    pub fn is_reusable(&self) -> bool {
        self.is_sent() && !self.is_long()
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
