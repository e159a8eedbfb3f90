//! Seventh filter: keeps count of an answer while it is relayed.
//!
//! A connection that closes early looks like the end of an answer to some libraries and to some
//! callers. An answer counts as whole only when its length agrees, or when its stream of events
//! ended with the closing event.

use std::mem;

/// Event that closes a stream of chat completions.
const CLOSING_EVENT: &[u8] = b"data: [DONE]";
/// Longest event that is kept while its end has not arrived, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why an answer is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The answer is shorter or longer than announced.
    #[error("the answer's length differs from the announced one")]
    Length,
    /// The stream of events ended without its closing event.
    #[error("the stream ended without its closing event")]
    Unclosed,
    /// One event is longer than [`EVENT_LIMIT`].
    #[error("an event is too long")]
    Long,
}

/// Counts the bytes of an answer against its announced length.
#[derive(Debug, Clone, Copy, Default)]
pub struct Length {
    announced: Option<u64>,
    received: u64,
}

impl Length {
    /// Starts at zero.
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
    /// [`Cut::Length`] when the answer passes its announced length.
    pub const fn push(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.received += bytes.len() as u64;
        match self.announced {
            Some(announced) if self.received > announced => Err(Error::Length),
            _ => Ok(()),
        }
    }

    /// Checks the end.
    ///
    /// # Errors
    ///
    /// [`Cut::Length`] when the answer stayed short of its announced length.
    pub const fn end(&self) -> Result<u64, Error> {
        match self.announced {
            Some(announced) if self.received != announced => Err(Error::Length),
            _ => Ok(self.received),
        }
    }
}

/// Splits a stream into whole events and counts them.
///
/// Only whole events are passed on. A stream that breaks inside an event can then resume at the
/// number of events passed on, and the caller never gets half of an event twice.
#[derive(Debug, Default)]
pub struct Events {
    partial: Vec<u8>,
    count: u64,
    done: bool,
}

impl Events {
    /// Takes a part in and returns the whole events that are complete by now.
    ///
    /// # Errors
    ///
    /// [`Cut::Long`] when an event does not end within [`EVENT_LIMIT`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        let scanned = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        let mut position = scanned;
        while let Some(found) = find_event_end(&self.partial[position..]) {
            let end = position + found + 2;
            self.count_event(start, end);
            start = end;
            position = end;
        }
        let rest = self.partial.split_off(start);
        if rest.len() > MAX_EVENT_BYTES {
            return Err(Error::Long);
        }
        Ok(mem::replace(&mut self.partial, rest))
    }

    /// Returns how many events were passed on, the closing one not counted.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether the closing event was passed on.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Forgets the part of an event that a broken connection left behind, before a resumption.
    pub fn resume(&mut self) {
        self.partial.clear();
    }

    /// Checks the end.
    ///
    /// # Errors
    ///
    /// [`Cut::Unclosed`] when the closing event is missing.
    pub const fn end(&self) -> Result<u64, Error> {
        if self.done && self.partial.is_empty() {
            return Ok(self.count);
        }
        Err(Error::Unclosed)
    }

    fn count_event(&mut self, start: usize, end: usize) {
        if self.partial[start..end].starts_with(CLOSING_EVENT) {
            self.done = true;
        } else {
            self.count += 1;
        }
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}
