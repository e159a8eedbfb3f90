//! Fencing numbers, which order the writers of one resource.
//!
//! A leader that was frozen and thawed may still send an order that it composed before. The
//! receiver can't see that by time; it sees it by the number, because a newer leader has sent a
//! higher one since. A [`Fence`] grows with the leader's term first and with the leader's own
//! sequence second, and a [`Gate`] refuses any number lower than the highest that it has seen.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::replica::Term;

const SEQUENCE_BITS: u32 = 32;

/// A number that only grows: the term in the upper half, the sequence in the lower half.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(u64);

/// The term no longer fits beside a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("term {term} does not fit into a fencing number")]
pub struct Overflow {
    /// Term that was given.
    pub term: Term,
}

/// A number lower than one that was seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("fencing number {} is lower than {}", offered.to_u64(), held.to_u64())]
pub struct Stale {
    /// Highest number seen so far.
    pub held: Fence,
    /// Number that was refused.
    pub offered: Fence,
}

impl Fence {
    /// Creates the number of one order under a leader's term.
    ///
    /// # Errors
    ///
    /// [`Overflow`] when the term needs more than 32 bits.
    pub const fn new(term: Term, sequence: u32) -> Result<Self, Overflow> {
        if term >> SEQUENCE_BITS != 0 {
            return Err(Overflow { term });
        }
        Ok(Self(term << SEQUENCE_BITS | sequence as u64))
    }

    /// Reads a number that was written with [`to_u64`](Self::to_u64).
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number in the form in which targets receive it.
    pub const fn to_u64(self) -> u64 {
        self.0
    }

    /// Returns the term of the leader that gave the number.
    pub const fn term(self) -> Term {
        self.0 >> SEQUENCE_BITS
    }
}

/// Remembers the highest number seen and refuses lower ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gate {
    held: Fence,
}

impl Gate {
    /// Returns the highest number admitted so far.
    pub const fn held(&self) -> Fence {
        self.held
    }

    /// Admits a number that is no lower than the highest one seen.
    ///
    /// The same number passes again, because a resend of one order is no newer order.
    ///
    /// # Errors
    ///
    /// [`Stale`] when a higher number has been admitted before.
    pub fn admit(&mut self, offered: Fence) -> Result<(), Stale> {
        if offered < self.held {
            return Err(Stale {
                held: self.held,
                offered,
            });
        }
        self.held = offered;
        Ok(())
    }
}
