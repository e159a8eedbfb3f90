//! Memory that bodies take which are held until they are whole, of requests and of answers.

use std::cell::Cell;

/// Bytes of all bodies of one kind that are held, and their limits.
#[derive(Debug)]
pub(super) struct Held {
    bytes: Cell<usize>,
    max: usize,
    small: usize,
    all: usize,
}

/// Bytes of one body, until this is dropped.
#[derive(Debug)]
pub(super) struct Share<'a> {
    held: &'a Held,
    bytes: usize,
}

impl Held {
    /// Creates the count of bodies that together may take `max` bytes.
    ///
    /// A body of up to `small` bytes may be held beyond that, so that long ones don't keep all others
    /// away.
    pub(super) const fn new(max: usize, small: usize) -> Self {
        Self {
            bytes: Cell::new(0),
            max,
            small,
            all: usize::MAX,
        }
    }

    /// Sets the bytes that all bodies may take, including small ones.
    #[must_use]
    pub(super) const fn all(mut self, all: usize) -> Self {
        self.all = all;
        self
    }

    /// Starts to count a body.
    pub(super) const fn start(&self) -> Share<'_> {
        Share {
            held: self,
            bytes: 0,
        }
    }

    /// Returns the bytes of all bodies.
    pub(super) const fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

impl Share<'_> {
    /// Counts more bytes; returns `false` if there is no room for them.
    pub(super) fn add(&mut self, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let all = self.held.bytes.get() + bytes;
        let is_small = self.bytes + bytes <= self.held.small && all <= self.held.all;
        if all > self.held.max && !is_small {
            return false;
        }
        self.held.bytes.set(all);
        self.bytes += bytes;
        true
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.held.bytes.set(self.held.bytes.get() - self.bytes);
    }
}
