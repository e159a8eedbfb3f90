//! Events of a stream: whole ones are passed on, a half one at the break is dropped.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept until it is whole, in bytes; a longer one is passed on as it comes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Bytes of an end that may lie in the piece before: all of `\r\n\r\n` but one.
const BOUNDARY_OVERLAP: usize = 3;

/// Cuts a stream into whole events and remembers the last one.
#[derive(Debug, Default)]
pub struct Events {
    input: BytesMut,
    /// Bytes of the input in which no event ends.
    searched: usize,
    last_id: Option<String>,
    is_mid_event: bool,
}

impl Events {
    /// Creates the reader of a stream that goes on after an event.
    pub fn resuming_after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Drops the half event that a break left behind.
    ///
    /// What another target sends begins with a whole event; put behind the half one it would make an
    /// event that neither of them sent.
    pub fn discard_partial(&mut self) {
        self.input.clear();
        self.searched = 0;
    }

    /// Tells whether a part of an event was passed on and its end wasn't: what another target sends can't
    /// be put behind it.
    pub const fn is_mid_event(&self) -> bool {
        self.is_mid_event
    }

    /// Takes bytes and returns all events that are whole by now, in one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.input.extend_from_slice(bytes);
        let from = self.searched.saturating_sub(BOUNDARY_OVERLAP);
        let Some(end) = last_boundary(&self.input, from) else {
            self.searched = self.input.len();
            if self.searched > MAX_BUFFERED_BYTES {
                self.is_mid_event = true;
                return self.finish();
            }
            return Bytes::new();
        };
        let whole = self.input.split_to(end).freeze();
        self.searched = self.input.len();
        self.is_mid_event = false;
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Returns what is left over, at an end that was in order.
    pub fn finish(&mut self) -> Bytes {
        self.searched = 0;
        self.input.split().freeze()
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the place behind the last blank line that ends behind `from`.
fn last_boundary(input: &[u8], from: usize) -> Option<usize> {
    let is_boundary = |at: &usize| {
        let head = &input[..*at];
        head.ends_with(b"\n\n") || head.ends_with(b"\r\n\r\n")
    };
    (from..=input.len()).rev().find(is_boundary)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
