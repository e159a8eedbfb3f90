//! The way back to whoever sent a request.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{CONNECTION, TRANSFER_ENCODING},
};
use zinniastall_coord::quarantine::Suspicion;
use zinniastall_http::{
    body::{LAST_CHUNK, write_chunk},
    connection::Writer,
    head,
    server::Reply,
};

use super::answer::Refusal;

/// How far an answer is.
#[derive(Debug, Clone, Copy)]
enum Progress {
    Waiting,
    Begun,
    Whole,
}

/// Writes the answer of one request after the other on a connection.
#[derive(Debug)]
pub struct Client {
    writer: Writer,
    is_instance: bool,
    keep: bool,
    is_modern: bool,
    progress: Progress,
    begun: Option<Instant>,
    status: Option<StatusCode>,
    last_piece: Option<Instant>,
    pause: Duration,
}

impl Client {
    /// Creates the way back on a connection; `is_instance` tells that another instance is there.
    pub const fn new(writer: Writer, is_instance: bool) -> Self {
        Self {
            writer,
            is_instance,
            keep: true,
            is_modern: true,
            progress: Progress::Waiting,
            begun: None,
            status: None,
            last_piece: None,
            pause: Duration::ZERO,
        }
    }

    /// Begins the next request; `keep` tells whether the connection stays open after its answer.
    pub const fn next(&mut self, is_modern: bool, keep: bool) {
        self.keep = keep;
        self.is_modern = is_modern;
        self.progress = Progress::Waiting;
        self.begun = None;
        self.status = None;
        self.last_piece = None;
        self.pause = Duration::ZERO;
    }

    /// Tells whether a byte of the answer may have left.
    pub const fn has_begun(&self) -> bool {
        !matches!(self.progress, Progress::Waiting)
    }

    /// Returns when the answer began.
    pub const fn begun(&self) -> Option<Instant> {
        self.begun
    }

    /// Returns the status that was sent.
    pub const fn status(&self) -> Option<StatusCode> {
        self.status
    }

    /// Returns the longest time between two pieces of the body, the one that is due now included.
    pub fn pause(&self) -> Duration {
        let is_due = matches!(self.progress, Progress::Begun);
        let due = self
            .last_piece
            .filter(|_| is_due)
            .map(|last| last.elapsed());
        self.pause.max(due.unwrap_or_default())
    }

    /// Tells whether the connection may serve another request.
    pub const fn keeps_open(&self) -> bool {
        matches!(self.progress, Progress::Whole) && self.keep
    }

    /// Writes a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn answer(&mut self, answer: Reply) -> io::Result<()> {
        self.progress = Progress::Begun;
        self.begun = Some(Instant::now());
        self.status = Some(answer.status);
        self.writer.write(&answer.encode(self.keep)).await?;
        self.progress = Progress::Whole;
        Ok(())
    }

    /// Writes an answer of the gateway's own; another instance is told what is known against the request as well.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn refuse(
        &mut self,
        refusal: Refusal,
        suspicion: Option<&Suspicion>,
    ) -> io::Result<()> {
        let answer = if self.is_instance {
            refusal.answer_instance(suspicion)
        } else {
            refusal.answer()
        };
        self.answer(answer).await
    }

    /// Says that a body may be sent.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn go_on(&mut self) -> io::Result<()> {
        self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Writes the head of an answer whose body comes in pieces.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn begin(&mut self, status: StatusCode, mut headers: HeaderMap) -> io::Result<()> {
        self.progress = Progress::Begun;
        self.begun = Some(Instant::now());
        self.status = Some(status);
        if self.is_modern {
            let chunked = HeaderValue::from_static("chunked");
            headers.insert(TRANSFER_ENCODING, chunked);
        } else {
            self.keep = false;
        }
        if !self.keep {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let mut output = BytesMut::with_capacity(512);
        head::write_response(&mut output, status, &headers);
        self.writer.write(&output).await
    }

    /// Writes a piece of the body.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn piece(&mut self, bytes: Bytes) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let now = Instant::now();
        if let Some(last) = self.last_piece.replace(now) {
            self.pause = self.pause.max(now.duration_since(last));
        }
        if !self.is_modern {
            return self.writer.write(&bytes).await;
        }
        let mut output = BytesMut::with_capacity(bytes.len() + 16);
        write_chunk(&mut output, &bytes);
        self.writer.write(&output).await
    }

    /// Ends a body that came in pieces; without it the answer doesn't look whole.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub async fn end(&mut self) -> io::Result<()> {
        if self.is_modern {
            self.writer.write(LAST_CHUNK).await?;
        }
        self.progress = Progress::Whole;
        Ok(())
    }

    /// Ends this direction of the connection in order.
    ///
    /// # Errors
    ///
    /// Fails when the connection has failed already.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.writer.finish().await
    }
}
