//! Grants that a region or an instance holds.

use std::{
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::GRANT_LIFE;

/// Number of a sender's round; it wraps around.
pub type Round = u32;

/// Time after its end for which the round of a grant is remembered. A message that was delayed for
/// longer would be taken for that of a sender which started again.
const ROUND_MEMORY: Duration = Duration::from_secs(3);

/// A message is no later than one that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("round {round} is not later than {known}")]
pub struct Stale {
    /// Round of the message.
    pub round: Round,
    /// Last round that was used.
    pub known: Round,
}

/// Keeps the last grants of each source, until they expire.
#[derive(Debug, Clone)]
pub struct Borrower<S, G> {
    held: IndexMap<S, Held<G>>,
}

#[derive(Debug, Clone)]
struct Held<G> {
    round: Round,
    until: Instant,
    grants: G,
}

impl<S, G> Default for Borrower<S, G> {
    fn default() -> Self {
        Self {
            held: IndexMap::new(),
        }
    }
}

impl<S: Eq + Hash, G> Borrower<S, G> {
    /// Replaces the grants of a source by those of a later round, for `life` from now, which is cut
    /// to [`GRANT_LIFE`].
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] for a repeated or reordered message; it prolongs nothing.
    pub fn receive(
        &mut self,
        source: S,
        round: Round,
        grants: G,
        life: Duration,
        now: Instant,
    ) -> Result<(), Stale> {
        if let Some(held) = self.held.get(&source) {
            let is_remembered = now < held.until + ROUND_MEMORY;
            if is_remembered && !is_later(round, held.round) {
                return Err(Stale {
                    round,
                    known: held.round,
                });
            }
        }
        let until = now + life.min(GRANT_LIFE);
        let held = Held {
            round,
            until,
            grants,
        };
        self.held.insert(source, held);
        self.held.retain(|_, held| now < held.until + ROUND_MEMORY);
        Ok(())
    }

    /// Returns the sources, their grants and when these end, of those that are valid now.
    pub fn grants(&self, now: Instant) -> impl Iterator<Item = (&S, &G, Instant)> {
        let live = self.held.iter().filter(move |(_, held)| now < held.until);
        live.map(|(source, held)| (source, &held.grants, held.until))
    }
}

/// Returns whether a round is later than another, across the wrap of their numbers.
pub(super) const fn is_later(round: Round, other: Round) -> bool {
    let ahead = round.wrapping_sub(other);
    ahead != 0 && ahead < Round::MAX / 2
}
