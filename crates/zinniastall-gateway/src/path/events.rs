//! Events of a stream: whole ones are passed on, a half one at the break is dropped.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept until it is whole, in bytes; a longer one is passed on as it comes.
const LONGEST: usize = 256 << 10;
/// Bytes of an end that may lie in the piece before: all of `\r\n\r\n` but one.
const BEFORE: usize = 3;

/// Cuts a stream into whole events and remembers the last one.
#[derive(Debug, Default)]
pub struct Events {
    input: BytesMut,
    /// Bytes of the input in which no event ends.
    searched: usize,
    last: Option<String>,
    is_torn: bool,
}

impl Events {
    /// Creates the reader of a stream that goes on after an event.
    pub fn after(last: Option<String>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Drops the half event that a break left behind.
    ///
    /// What another target sends begins with a whole event; put behind the half one it would make an
    /// event that neither of them sent.
    pub fn resume(&mut self) {
        self.input.clear();
        self.searched = 0;
    }

    /// Tells whether a part of an event was passed on and its end wasn't: what another target sends can't
    /// be put behind it.
    pub const fn is_torn(&self) -> bool {
        self.is_torn
    }

    /// Takes bytes and returns all events that are whole by now, in one piece.
    pub fn take(&mut self, bytes: &[u8]) -> Bytes {
        self.input.extend_from_slice(bytes);
        let from = self.searched.saturating_sub(BEFORE);
        let Some(end) = last_end(&self.input, from) else {
            self.searched = self.input.len();
            if self.searched > LONGEST {
                self.is_torn = true;
                return self.rest();
            }
            return Bytes::new();
        };
        let whole = self.input.split_to(end).freeze();
        self.searched = self.input.len();
        self.is_torn = false;
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Returns what is left over, at an end that was in order.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.input.split().freeze()
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// Returns the place behind the last blank line that ends behind `from`.
fn last_end(input: &[u8], from: usize) -> Option<usize> {
    let is_end = |at: &usize| {
        let front = &input[..*at];
        front.ends_with(b"\n\n") || front.ends_with(b"\r\n\r\n")
    };
    (from..=input.len()).rev().find(is_end)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
