//! Server-sent events of a streamed answer.

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

/// Data of the last event of a whole stream.
pub const DONE: &str = "[DONE]";
/// Longest event; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Name; empty for an unnamed event.
    pub name: String,
    /// Data.
    pub data: String,
}

/// Events of a stream of bytes.
#[derive(Debug)]
pub struct Events<S> {
    bytes: S,
    buffer: BytesMut,
}

impl<S, E> Events<S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    /// Reads events from a stream of bytes.
    pub fn new(bytes: S) -> Self {
        Self {
            bytes,
            buffer: BytesMut::new(),
        }
    }

    /// Waits for the next event; returns `None` at the end of the bytes, even within an event.
    ///
    /// # Errors
    ///
    /// Fails when the stream of bytes fails.
    pub async fn next(&mut self) -> Result<Option<Event>, E> {
        loop {
            if let Some(event) = split_event(&mut self.buffer) {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Ok(None);
            }
            match self.bytes.next().await {
                Some(chunk) => self.buffer.extend_from_slice(&chunk?),
                None => return Ok(None),
            }
        }
    }
}

/// Splits the first whole event off a buffer.
fn split_event(buffer: &mut BytesMut) -> Option<Event> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let block = buffer.split_to(end + 2);
    let text = String::from_utf8_lossy(&block);
    let field_text = |field: &str| {
        let lines = text.lines().filter_map(|line| line.strip_prefix(field));
        lines
            .map(|line| line.strip_prefix(' ').unwrap_or(line))
            .collect::<Vec<_>>()
            .join("\n")
    };
    Some(Event {
        name: field_text("event:"),
        data: field_text("data:"),
    })
}
