//! Fencing tokens, which order the writers of one resource.
//!
//! A leader that was paused and resumed may still send an order that it prepared before. The
//! receiver can't detect that by time, but it can by the token, because a newer leader has sent a
//! higher one since. A [`Fence`] grows with the leader's term first and with the leader's own
//! sequence second, and a [`Gate`] refuses any token lower than the highest that it has admitted.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::replica::Term;

const SEQUENCE_BITS: u32 = 32;

/// A fencing token: the term in the upper half, the sequence in the lower half.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(u64);

/// The term doesn't fit into a token beside the sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("term {term} does not fit into a fencing number")]
pub struct Overflow {
    /// Term that doesn't fit.
    pub term: Term,
}

/// A token lower than one that was admitted before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("fencing number {} is lower than {}", offered.to_u64(), held.to_u64())]
pub struct Stale {
    /// Highest token admitted so far.
    pub held: Fence,
    /// Token that was refused.
    pub offered: Fence,
}

impl Fence {
    /// Creates the token of one order under a leader's term.
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

    /// Restores a token from the number that [`to_u64`](Self::to_u64) returned.
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that targets receive.
    pub const fn to_u64(self) -> u64 {
        self.0
    }

    /// Returns the term of the leader that issued the token.
    pub const fn term(self) -> Term {
        self.0 >> SEQUENCE_BITS
    }
}

/// Remembers the highest token admitted and refuses lower ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gate {
    held: Fence,
}

impl Gate {
    /// Returns the highest token admitted so far.
    pub const fn held(&self) -> Fence {
        self.held
    }

    /// Admits a token that is no lower than the highest one admitted.
    ///
    /// An equal token is admitted again, because a resend of an order isn't a newer order.
    ///
    /// # Errors
    ///
    /// [`Stale`] when a higher token has been admitted before.
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
