//! Splits a stream into events: complete ones are forwarded, a partial one is dropped if the stream
//! breaks.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete; a longer one is forwarded as it arrives.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Longest event: a picture may be one.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Content type of a series of events.
const CONTENT_TYPE: &[u8] = b"text/event-stream";

/// Returns whether a content type is that of a series of events.
pub fn is_event_stream(content_type: &[u8]) -> bool {
    let start = content_type.get(..CONTENT_TYPE.len());
    start.is_some_and(|start| start.eq_ignore_ascii_case(CONTENT_TYPE))
}

/// Splits a stream into complete events and remembers the id of the last one.
///
/// An event ends with a blank line; a line ends with `\n`, `\r` or `\r\n` (WHATWG HTML, 9.2.6).
#[derive(Debug, Default)]
pub struct Events {
    input: BytesMut,
    /// Bytes of the input that were searched for the end of an event.
    searched: usize,
    line: Line,
    /// Whether the current event has a line other than a comment.
    has_fields: bool,
    last_id: Option<String>,
    /// Id of the event that was forwarded in part.
    partial_id: Option<String>,
    is_mid_event: bool,
    /// Bytes of the current event that were forwarded without its end.
    partial_bytes: usize,
}

/// Where in a line the searched input ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    /// At its start.
    #[default]
    Start,
    /// At its start, behind a carriage return, to which a line feed may belong.
    AfterReturn,
    /// The same, where the carriage return ended a blank line.
    AfterBlankReturn,
    /// In a comment.
    Comment,
    /// In a field.
    Field,
}

impl Events {
    /// Creates the splitter of a stream that resumes after an event.
    pub fn resuming_after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Discards the partial event left behind by an interrupted stream.
    ///
    /// Another target starts with a complete event; appended to the partial one, it would form an
    /// event that neither target sent.
    pub fn discard_partial(&mut self) {
        self.input.clear();
        self.searched = 0;
        self.line = Line::Start;
        self.has_fields = false;
    }

    /// Returns whether part of an event was forwarded without its end, so that no other target can
    /// continue the stream.
    pub const fn is_mid_event(&self) -> bool {
        self.is_mid_event
    }

    /// Adds bytes and returns all events that are complete by now, in one piece.
    ///
    /// # Errors
    ///
    /// [`Torn`] if an event doesn't end for longer than any sound one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Torn> {
        self.input.extend_from_slice(bytes);
        let Some(end) = self.search() else {
            return self.take_partial();
        };
        let complete = self.take(end);
        self.is_mid_event = false;
        self.partial_bytes = 0;
        if let Some(id) = last_id(&complete).or(self.partial_id.take()) {
            self.last_id = Some(id);
        }
        self.partial_id = None;
        Ok(complete)
    }

    /// Returns what is forwarded of an event whose end hasn't come: nothing, as long as it is buffered.
    fn take_partial(&mut self) -> Result<Bytes, Torn> {
        if self.input.len() <= MAX_BUFFERED_BYTES {
            return Ok(Bytes::new());
        }
        self.is_mid_event = true;
        let part = self.take(self.input.len());
        self.partial_bytes += part.len();
        if self.partial_bytes > MAX_EVENT_BYTES {
            return Err(Torn);
        }
        let lines = part.iter().rposition(|byte| matches!(byte, b'\n' | b'\r'));
        self.partial_id = last_id(&part[..lines.unwrap_or(0)]).or(self.partial_id.take());
        Ok(part)
    }

    /// Ends the stream and returns the comments and blank lines behind the last event.
    ///
    /// # Errors
    ///
    /// [`Torn`] if the stream ends inside an event, and so was broken off.
    pub fn finish(&mut self) -> Result<Bytes, Torn> {
        let is_in_line = matches!(self.line, Line::Comment | Line::Field);
        let is_blank = self.line == Line::AfterBlankReturn;
        if is_in_line || ((self.has_fields || self.is_mid_event) && !is_blank) {
            return Err(Torn);
        }
        Ok(self.take(self.input.len()))
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn take(&mut self, length: usize) -> Bytes {
        self.searched -= length;
        self.input.split_to(length).freeze()
    }

    /// Searches the rest of the input and returns the end of the last complete event in it.
    fn search(&mut self) -> Option<usize> {
        let mut end = None;
        for at in self.searched..self.input.len() {
            let byte = self.input[at];
            let is_feed = byte == b'\n';
            if is_feed && self.line == Line::AfterReturn {
                self.line = Line::Start;
                continue;
            }
            if self.line == Line::AfterBlankReturn {
                // The line feed belongs to the blank line, so the event ends behind it.
                end = Some(if is_feed { at + 1 } else { at });
                self.has_fields = false;
                self.line = Line::Start;
                if is_feed {
                    continue;
                }
            }
            if is_feed || byte == b'\r' {
                if let Some(found) = self.end_line(at, is_feed) {
                    end = Some(found);
                }
            } else if matches!(self.line, Line::Start | Line::AfterReturn) {
                let is_comment = byte == b':';
                self.has_fields |= !is_comment;
                self.line = if is_comment {
                    Line::Comment
                } else {
                    Line::Field
                };
            }
        }
        self.searched = self.input.len();
        end
    }

    /// Ends a line at an offset, and returns the end of the event if the line was blank.
    ///
    /// A carriage return behind a line that ended with another one ends a blank line by itself; behind
    /// any other line, the next byte shows whether a line feed belongs to it.
    fn end_line(&mut self, at: usize, is_feed: bool) -> Option<usize> {
        let was = self.line;
        let is_blank = matches!(was, Line::Start | Line::AfterReturn);
        self.line = match (is_feed, is_blank) {
            (true, _) => Line::Start,
            (false, true) if was == Line::Start => Line::AfterBlankReturn,
            (false, _) => Line::AfterReturn,
        };
        let is_end = is_blank && self.line != Line::AfterBlankReturn;
        self.has_fields &= !is_end;
        is_end.then_some(at + 1)
    }
}

/// The stream ended inside an event, or one doesn't end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream ended inside an event, or one doesn't end")]
pub struct Torn;

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
