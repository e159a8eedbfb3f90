//! Writes answers to the caller or the instance that sent a request.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};
use zinniastall_http::{
    body::{LAST_CHUNK, write_chunk},
    connection::Writer,
    ending::Ending,
    head,
    server::Reply,
};
use zinniastall_model::fingerprint::Suspect;

use super::{answer::Refusal, segments::Segments};
use crate::headers::CLOSE_DELIMITED;

/// Value of a field whose presence says all.
const TRUE: HeaderValue = HeaderValue::from_static("1");

/// Buffer space reserved for the head of an answer; most fit into it.
const TYPICAL_HEAD_BYTES: usize = 512;
/// Longest body that is copied behind the head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 16 << 10;

/// A target's answer with its whole body.
#[derive(Debug)]
pub struct Whole {
    /// Status.
    pub status: StatusCode,
    /// Header fields, without those of the framing.
    pub headers: HeaderMap,
    /// Body.
    pub body: Segments,
}

/// Progress of an answer.
#[derive(Debug, Clone, Copy)]
enum Progress {
    Pending,
    Begun,
    Complete,
}

/// What tells the receiver of an answer written in pieces where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delimiter {
    /// The last chunk, which confirms the end.
    Chunks,
    /// The last chunk, in an answer to an instance which knows that it confirms nothing.
    DoubtfulChunks,
    /// The end of the connection.
    Connection,
}

/// Writes the answers of successive requests on a connection.
#[derive(Debug)]
pub struct Responder {
    writer: Writer,
    is_instance: bool,
    keep_alive: bool,
    is_modern: bool,
    delimiter: Delimiter,
    progress: Progress,
    begun: Option<Instant>,
    status: Option<StatusCode>,
    last_piece: Option<Instant>,
    pause: Duration,
}

impl Responder {
    /// Creates the responder of a connection; `is_instance` tells whether the peer is another
    /// instance.
    pub const fn new(writer: Writer, is_instance: bool) -> Self {
        Self {
            writer,
            is_instance,
            keep_alive: true,
            is_modern: true,
            delimiter: Delimiter::Chunks,
            progress: Progress::Pending,
            begun: None,
            status: None,
            last_piece: None,
            pause: Duration::ZERO,
        }
    }

    /// Prepares for the next request; `keep_alive` tells whether the connection stays open after
    /// its answer.
    pub const fn next_request(&mut self, is_modern: bool, keep_alive: bool) {
        self.keep_alive = keep_alive;
        self.is_modern = is_modern;
        self.progress = Progress::Pending;
        self.begun = None;
        self.status = None;
        self.last_piece = None;
        self.pause = Duration::ZERO;
    }

    /// Returns whether the peer is another instance.
    pub const fn is_instance(&self) -> bool {
        self.is_instance
    }

    /// Returns whether a byte of the answer may have been sent.
    pub const fn has_begun(&self) -> bool {
        !matches!(self.progress, Progress::Pending)
    }

    /// Returns when the answer began.
    pub const fn begun(&self) -> Option<Instant> {
        self.begun
    }

    /// Returns the status that was sent.
    pub const fn status(&self) -> Option<StatusCode> {
        self.status
    }

    /// Returns the longest time between two pieces of the body, including the time since the last
    /// one while more are due.
    pub fn pause(&self) -> Duration {
        let is_streaming = matches!(self.progress, Progress::Begun);
        let since_last = self
            .last_piece
            .filter(|_| is_streaming)
            .map(|last| last.elapsed());
        self.pause.max(since_last.unwrap_or_default())
    }

    /// Returns whether the connection may serve another request.
    pub const fn keeps_open(&self) -> bool {
        matches!(self.progress, Progress::Complete) && self.keep_alive
    }

    /// Writes an answer that states its own end.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn send(&mut self, reply: Reply) -> io::Result<()> {
        self.begin(reply.status);
        self.writer.write(&reply.encode(self.keep_alive)).await?;
        self.progress = Progress::Complete;
        Ok(())
    }

    /// Writes a whole answer with what is known of its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn send_whole(&mut self, mut answer: Whole, ending: Ending) -> io::Result<()> {
        if ending != Ending::Complete && !self.is_instance {
            return self.send_close_delimited(answer, ending).await;
        }
        if ending != Ending::Complete {
            answer.headers.insert(CLOSE_DELIMITED, TRUE);
        }
        let mut pieces = answer.body;
        self.begin(answer.status);
        let length = HeaderValue::from(pieces.len());
        answer.headers.insert(CONTENT_LENGTH, length);
        self.state_connection(&mut answer.headers);
        let mut output =
            BytesMut::with_capacity(TYPICAL_HEAD_BYTES + pieces.len().min(MAX_COPIED_BYTES));
        head::write_response(&mut output, answer.status, &answer.headers);
        if pieces.len() <= MAX_COPIED_BYTES {
            std::mem::take(&mut pieces)
                .pieces()
                .for_each(|piece| output.extend_from_slice(piece));
        }
        self.writer.write(&output).await?;
        for piece in pieces.into_pieces() {
            self.writer.write(&piece).await?;
        }
        self.progress = Progress::Complete;
        Ok(())
    }

    /// Writes a whole answer whose end its caller can't confirm either.
    async fn send_close_delimited(&mut self, answer: Whole, ending: Ending) -> io::Result<()> {
        self.write_head(answer.status, answer.headers, ending)
            .await?;
        for piece in answer.body.into_pieces() {
            self.write_piece(piece).await?;
        }
        self.finish_body(ending).await.map(drop)
    }

    fn state_connection(&self, headers: &mut HeaderMap) {
        if !self.keep_alive {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Writes a refusal; another instance also gets what is known against the request.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn refuse(&mut self, refusal: Refusal, suspicions: &[Suspect]) -> io::Result<()> {
        let reply = if self.is_instance {
            refusal.reply_to_instance(suspicions)
        } else {
            refusal.reply()
        };
        self.send(reply).await
    }

    /// Asks the caller to send the body, with status 100.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn send_continue(&mut self) -> io::Result<()> {
        self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Writes the head of an answer whose body follows in pieces; `highest` is the most that can be
    /// known of its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn write_head(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        highest: Ending,
    ) -> io::Result<()> {
        self.begin(status);
        self.delimiter = match highest {
            Ending::Complete if self.is_modern => Delimiter::Chunks,
            _ if self.is_instance => Delimiter::DoubtfulChunks,
            _ => Delimiter::Connection,
        };
        headers.remove(CONTENT_LENGTH);
        if self.delimiter == Delimiter::Connection {
            self.keep_alive = false;
            self.writer.reset_unless_finished()?;
        } else {
            let chunked = HeaderValue::from_static("chunked");
            headers.insert(TRANSFER_ENCODING, chunked);
        }
        if self.delimiter == Delimiter::DoubtfulChunks {
            headers.insert(CLOSE_DELIMITED, TRUE);
        }
        self.state_connection(&mut headers);
        let mut output = BytesMut::with_capacity(TYPICAL_HEAD_BYTES);
        head::write_response(&mut output, status, &headers);
        self.writer.write(&output).await
    }

    /// Writes a piece of the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn write_piece(&mut self, bytes: Bytes) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let now = Instant::now();
        if let Some(last) = self.last_piece.replace(now) {
            self.pause = self.pause.max(now.duration_since(last));
        }
        if self.delimiter == Delimiter::Connection {
            return self.writer.write(&bytes).await;
        }
        let mut output = BytesMut::with_capacity(bytes.len() + 16);
        write_chunk(&mut output, &bytes);
        self.writer.write(&output).await
    }

    /// Ends a body written in pieces; without this the answer is visibly incomplete.
    ///
    /// Returns false, and leaves the body unfinished, if its end would look more certain than it is.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub async fn finish_body(&mut self, ending: Ending) -> io::Result<bool> {
        match (self.delimiter, ending) {
            (_, Ending::Incomplete) | (Delimiter::Chunks, Ending::Unconfirmed) => return Ok(false),
            (Delimiter::Connection, _) => self.writer.finish().await?,
            (Delimiter::Chunks | Delimiter::DoubtfulChunks, _) => {
                self.writer.write(LAST_CHUNK).await?;
            }
        }
        self.progress = Progress::Complete;
        Ok(true)
    }

    fn begin(&mut self, status: StatusCode) {
        self.progress = Progress::Begun;
        self.begun = Some(Instant::now());
        self.status = Some(status);
    }

    /// Shuts down the write half of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection has failed already.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        self.writer.finish().await
    }
}
