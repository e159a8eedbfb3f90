//! Server-sent events of a streamed answer.

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

/// Last event of a whole stream.
pub const DONE: &str = "[DONE]";
/// Longest event, in bytes; a longer one ends the stream.
const LIMIT: usize = 1 << 20;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Name; empty for a plain one.
    pub name: String,
    /// Data.
    pub data: String,
}

/// Events of a stream of bytes.
#[derive(Debug)]
pub struct Events<S> {
    bytes: S,
    rest: BytesMut,
}

impl<S, E> Events<S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    /// Reads events from a stream of bytes.
    pub fn new(bytes: S) -> Self {
        Self {
            bytes,
            rest: BytesMut::new(),
        }
    }

    /// Waits for the next event; `None` at the end of the bytes, also in the middle of an event.
    ///
    /// # Errors
    ///
    /// Passes on the failure of the stream of bytes.
    pub async fn next(&mut self) -> Result<Option<Event>, E> {
        loop {
            if let Some(event) = take(&mut self.rest) {
                return Ok(Some(event));
            }
            if self.rest.len() > LIMIT {
                return Ok(None);
            }
            match self.bytes.next().await {
                Some(chunk) => self.rest.extend_from_slice(&chunk?),
                None => return Ok(None),
            }
        }
    }
}

/// Takes the first whole event off a buffer.
fn take(rest: &mut BytesMut) -> Option<Event> {
    let end = rest.windows(2).position(|pair| pair == b"\n\n")?;
    let block = rest.split_to(end + 2);
    let text = String::from_utf8_lossy(&block);
    let of = |field: &str| {
        let lines = text.lines().filter_map(|line| line.strip_prefix(field));
        lines
            .map(|line| line.strip_prefix(' ').unwrap_or(line))
            .collect::<Vec<_>>()
            .join("\n")
    };
    Some(Event {
        name: of("event:"),
        data: of("data:"),
    })
}
