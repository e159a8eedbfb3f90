//! Framing of bodies: decoding and chunked encoding.

use bytes::{Buf, Bytes, BytesMut};

use crate::ending::Ending;

/// Longest line of a chunked body. A size needs at most 16 digits; the rest is for extensions,
/// which are ignored.
const MAX_LINE_BYTES: usize = 256;
/// Longest trailer of a chunked body; its fields are ignored.
const MAX_TRAILER_BYTES: usize = 8 << 10;
/// Largest chunk; the gateway accepts no longer body.
const MAX_CHUNK_BYTES: u64 = 1 << 32;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By a chunk of size 0.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// Reason why a body can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The framing of a chunk violates the protocol.
    #[error("a chunk is malformed")]
    MalformedChunk,
    /// The connection ended before the body did.
    #[error("the body was cut")]
    Truncated,
}

/// Result of a decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The next bytes of the body.
    Piece(Bytes),
    /// More input is needed.
    More,
    /// The body has ended.
    End(Ending),
}

/// Decodes a single body.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Data(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Behind the last chunk, after this many bytes of the trailer.
    Trailer(usize),
    UntilClose,
    Done,
}

impl Decoder {
    /// Creates a decoder for a body with the given framing.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next piece of the body from the front of a buffer.
    ///
    /// # Errors
    ///
    /// [`Error::MalformedChunk`] if the framing of a chunk violates the protocol.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Step, Error> {
        loop {
            match self.state {
                State::Done => return Ok(Step::End(Ending::Complete)),
                State::Data(left) => return Ok(self.piece(input, left, State::Done, State::Data)),
                State::ChunkData(left) => {
                    return Ok(self.piece(input, left, State::ChunkEnd, State::ChunkData));
                }
                State::UntilClose if input.is_empty() => return Ok(Step::More),
                State::UntilClose => return Ok(Step::Piece(input.split().freeze())),
                State::ChunkSize => {
                    let Some(line) = take_line(input)? else {
                        return Ok(Step::More);
                    };
                    self.state = match parse_size(&line)? {
                        0 => State::Trailer(0),
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => match take_line(input)? {
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(Error::MalformedChunk),
                    None => return Ok(Step::More),
                },
                State::Trailer(read) => match take_line(input)? {
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(_) if read > MAX_TRAILER_BYTES => return Err(Error::MalformedChunk),
                    Some(line) => self.state = State::Trailer(read + line.len()),
                    None => return Ok(Step::More),
                },
            }
        }
    }

    /// Handles the orderly end of the connection.
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`] if the body states its own end, which hasn't arrived.
    pub const fn finish(&mut self) -> Result<Ending, Error> {
        match self.state {
            State::Done => Ok(Ending::Complete),
            State::UntilClose => Ok(Ending::Unconfirmed),
            _ => Err(Error::Truncated),
        }
    }

    fn piece(
        &mut self,
        input: &mut BytesMut,
        left: u64,
        end: State,
        more: impl FnOnce(u64) -> State,
    ) -> Step {
        if input.is_empty() {
            return Step::More;
        }
        let available = u64::try_from(input.len()).unwrap_or(u64::MAX);
        let take = available.min(left);
        self.state = if take == left { end } else { more(left - take) };
        // `take` is at most the buffer's length, so the conversion can't fail.
        let bytes = input.split_to(usize::try_from(take).unwrap_or(usize::MAX));
        Step::Piece(bytes.freeze())
    }
}

/// Takes a line from the front of a buffer and returns it without its line end.
fn take_line(input: &mut BytesMut) -> Result<Option<Bytes>, Error> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        if input.len() > MAX_LINE_BYTES {
            return Err(Error::MalformedChunk);
        }
        return Ok(None);
    };
    if end == 0 || end > MAX_LINE_BYTES || input[end - 1] != b'\r' {
        return Err(Error::MalformedChunk);
    }
    let line = input.split_to(end - 1).freeze();
    input.advance(2);
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| Error::MalformedChunk)?;
    let text = text.trim_end_matches([' ', '\t']);
    // `from_str_radix` would accept a sign.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Error::MalformedChunk);
    }
    let size = u64::from_str_radix(text, 16).map_err(|_| Error::MalformedChunk)?;
    if size > MAX_CHUNK_BYTES {
        return Err(Error::MalformedChunk);
    }
    Ok(size)
}

/// Writes a chunk; empty input is skipped, since an empty chunk would end the body.
pub fn write_chunk(output: &mut BytesMut, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}

/// The last chunk, which ends a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
