//! Splits a stream into events: complete ones are forwarded, a partial one is dropped if the stream
//! breaks.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete; a longer one is forwarded as it arrives.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Bytes of a boundary that the previous piece may contain: all of `\r\n\r\n` but one.
const BOUNDARY_OVERLAP: usize = 3;

/// Splits a stream into complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct Events {
    input: BytesMut,
    /// Bytes of the input known to contain no event boundary.
    searched: usize,
    last_id: Option<String>,
    is_mid_event: bool,
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
    }

    /// Returns whether part of an event was forwarded without its end, so that no other target can
    /// continue the stream.
    pub const fn is_mid_event(&self) -> bool {
        self.is_mid_event
    }

    /// Adds bytes and returns all events that are complete by now, in one piece.
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
        let complete = self.input.split_to(end).freeze();
        self.searched = self.input.len();
        self.is_mid_event = false;
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the remaining bytes after a clean end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.searched = 0;
        self.input.split().freeze()
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the end of the last blank line that ends at or after `from`.
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
