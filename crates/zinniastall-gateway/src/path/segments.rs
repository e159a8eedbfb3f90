//! Whole bodies, held in segments.
//!
//! A single buffer that grows is copied, and takes up to twice the bytes that it holds. Of segments
//! only the last one isn't full.

use bytes::{Bytes, BytesMut};

/// Shortest and longest segment; each is at most as long as all before it.
const SEGMENT_BYTES: (usize, usize) = (1 << 10, 1 << 20);

/// A body that is received, or has been.
#[derive(Debug, Default)]
pub struct Segments {
    full: Vec<Bytes>,
    last: BytesMut,
    bytes: usize,
}

impl Segments {
    /// Returns the number of bytes.
    pub(super) const fn len(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes by which the memory grows if so many bytes are added.
    pub(super) fn growth(&self, added: usize) -> usize {
        let room = self.last.capacity() - self.last.len();
        let beyond = added.saturating_sub(room);
        if beyond == 0 { 0 } else { self.next(beyond) }
    }

    /// Adds bytes at the end.
    pub(super) fn push(&mut self, piece: &[u8]) {
        let room = self.last.capacity() - self.last.len();
        let (next, rest) = piece.split_at(room.min(piece.len()));
        self.last.extend_from_slice(next);
        if !rest.is_empty() {
            let segment = BytesMut::with_capacity(self.next(rest.len()));
            let full = std::mem::replace(&mut self.last, segment);
            if !full.is_empty() {
                self.full.push(full.freeze());
            }
            self.last.extend_from_slice(rest);
        }
        self.bytes += piece.len();
    }

    /// Returns the length of the next segment, whose first bytes are known.
    fn next(&self, first: usize) -> usize {
        self.bytes
            .clamp(SEGMENT_BYTES.0, SEGMENT_BYTES.1)
            .max(first)
    }

    /// Returns the bytes in order.
    pub(super) fn into_pieces(self) -> impl Iterator<Item = Bytes> {
        let last = Some(self.last.freeze()).filter(|last| !last.is_empty());
        self.full.into_iter().chain(last)
    }

    /// Returns the bytes in order, without taking them.
    pub(super) fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let full = self.full.iter().map(Bytes::as_ref);
        full.chain(std::iter::once(self.last.as_ref()))
    }
}
