//! Events of a stream: whole ones are passed on, a half one at the break is dropped.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; what is longer is passed on as it comes and can't be resumed.
const LONGEST: usize = 256 << 10;

/// Cuts a stream into whole events and remembers the last one.
#[derive(Debug, Default)]
pub struct Events {
    input: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Creates the reader of a stream that goes on after an event.
    pub fn after(last: Option<String>) -> Self {
        Self {
            input: BytesMut::new(),
            last,
        }
    }

    /// Drops the half event that a break left behind.
    ///
    /// What another target sends begins with a whole event; put behind the half one it would make an
    /// event that neither of them sent.
    pub fn resume(&mut self) {
        self.input.clear();
    }

    /// Takes bytes and returns all events that are whole by now, in one piece.
    pub fn take(&mut self, bytes: &[u8]) -> Bytes {
        self.input.extend_from_slice(bytes);
        let Some(end) = last_end(&self.input) else {
            if self.input.len() > LONGEST {
                return self.input.split().freeze();
            }
            return Bytes::new();
        };
        let whole = self.input.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Returns what is left over, at an end that was in order.
    pub fn rest(&mut self) -> Bytes {
        self.input.split().freeze()
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// Returns the place behind the last blank line.
fn last_end(input: &[u8]) -> Option<usize> {
    let mut at = input.len();
    while at >= 2 {
        let front = &input[..at];
        if front.ends_with(b"\n\n") || front.ends_with(b"\r\n\r\n") {
            return Some(at);
        }
        at -= 1;
    }
    None
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
