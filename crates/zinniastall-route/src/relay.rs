//! Seventh filter: checks whether a relayed response is complete.
//!
//! Some libraries and callers mistake a connection that closes early for the end of a response. A
//! response counts as complete only if its length matches the announced one, or if its event stream
//! ended with the closing event.

use std::mem;

/// Event that ends a stream of chat completions.
const CLOSING_EVENT: &[u8] = b"data: [DONE]";
/// Maximum size of a partial event that is buffered until its end arrives, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Length of the longest end of an event, in bytes.
const LONGEST_EVENT_END: usize = b"\n\r\n".len();

/// Why a response is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The response is shorter or longer than announced.
    #[error("the response length differs from the announced one")]
    LengthMismatch,
    /// The event stream ended without its closing event.
    #[error("the stream ended without its closing event")]
    NoClosingEvent,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds the maximum size")]
    EventTooLong,
}

/// Compares the length of a response with the announced one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Length {
    announced: Option<u64>,
    received: u64,
}

impl Length {
    /// Creates a counter at zero; `announced` is the announced length, if any.
    pub const fn new(announced: Option<u64>) -> Self {
        Self {
            announced,
            received: 0,
        }
    }

    /// Counts a part.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LengthMismatch`] if the response exceeds its announced length.
    pub const fn push(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.received += bytes.len() as u64;
        match self.announced {
            Some(announced) if self.received > announced => Err(Error::LengthMismatch),
            _ => Ok(()),
        }
    }

    /// Checks the length at the end of the response and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LengthMismatch`] if it differs from the announced length.
    pub const fn end(&self) -> Result<u64, Error> {
        match self.announced {
            Some(announced) if self.received != announced => Err(Error::LengthMismatch),
            _ => Ok(self.received),
        }
    }
}

/// Splits a stream into complete events and counts them.
///
/// Only complete events are relayed. A stream that breaks inside an event can therefore resume
/// after the relayed events, and the caller never receives part of an event twice.
#[derive(Debug, Default)]
pub struct Events {
    partial: Vec<u8>,
    count: u64,
    done: bool,
}

impl Events {
    /// Adds a part of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::EventTooLong`] if an event does not end within [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        let scanned = self.partial.len().saturating_sub(LONGEST_EVENT_END - 1);
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        let mut position = scanned;
        while let Some(found) = find_event_end(&self.partial[position..]) {
            let end = position + found;
            self.count_event(start, end);
            start = end;
            position = end;
        }
        let rest = self.partial.split_off(start);
        if rest.len() > MAX_EVENT_BYTES {
            return Err(Error::EventTooLong);
        }
        Ok(mem::replace(&mut self.partial, rest))
    }

    /// Returns the number of relayed events, without the closing one.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether the closing event was relayed.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Discards the partial event that a broken connection left, before the stream is resumed.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Checks the end of the stream and returns the number of events.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoClosingEvent`] if the closing event is missing.
    pub const fn end(&self) -> Result<u64, Error> {
        if self.done && self.partial.is_empty() {
            return Ok(self.count);
        }
        Err(Error::NoClosingEvent)
    }

    fn count_event(&mut self, start: usize, end: usize) {
        if self.partial[start..end].starts_with(CLOSING_EVENT) {
            self.done = true;
        } else {
            self.count += 1;
        }
    }
}

/// Returns the offset behind the first blank line. Lines end with a line feed, with or without a
/// carriage return before it.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = (0..bytes.len()).filter(|at| bytes[*at] == b'\n');
    let mut blank = ends.filter_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    });
    blank.next()
}
