//! Servers that say in their answers that they leave.
//!
//! Whoever reads it tells the others. What is known only grows: a run of a server that leaves stays so,
//! whatever later answers say, and only a later run takes requests again. Merging is commutative,
//! associative and idempotent, so messages may be lost, duplicated, delayed and reordered.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{
    news::{News, Scope},
    rendezvous,
};

/// Maximum number of servers. The oldest are forgotten first.
const MAX_SERVERS: usize = 16_384;
/// Time for which a server is remembered that isn't known any more: it may be only cut off, and back
/// before its process ends.
const RETENTION: Duration = Duration::from_mins(10);

/// Value of the field by which a server says that it leaves.
const SAID: &[u8] = b"1";

/// Returns whether the fields of an answer say that its server leaves.
pub fn is_said<'a>(mut fields: impl Iterator<Item = &'a [u8]>) -> bool {
    fields.any(|value| value.trim_ascii() == SAID)
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Run of the server's process.
    incarnation: u64,
    learned_at: Instant,
}

/// Runs of servers that leave.
#[derive(Debug, Default)]
pub struct Departures {
    held: IndexMap<String, Departure>,
    news: News<String>,
}

impl Departures {
    /// Returns whether a run of a server leaves.
    pub fn has(&self, server: &str, incarnation: u64) -> bool {
        let held = self.held.get(server);
        held.is_some_and(|held| held.incarnation >= incarnation)
    }

    /// Records that a run of a server said that it leaves; returns whether that is new.
    pub fn observe(&mut self, server: &str, incarnation: u64, now: Instant) -> bool {
        self.merge(server, incarnation, Some(Scope::All), now)
    }

    /// Merges what another instance knows; returns whether it is new.
    ///
    /// News is passed on to the instances in `scope`.
    pub fn merge(
        &mut self,
        server: &str,
        incarnation: u64,
        scope: Option<Scope>,
        now: Instant,
    ) -> bool {
        if self.has(server, incarnation) {
            return false;
        }
        if self.held.len() >= MAX_SERVERS && !self.held.contains_key(server) {
            self.evict();
        }
        let departure = Departure {
            incarnation,
            learned_at: now,
        };
        self.held.insert(server.to_owned(), departure);
        if let Some(scope) = scope {
            self.news.schedule(server.to_owned(), scope);
        }
        true
    }

    /// Forgets servers that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Instant) {
        self.held.retain(|server, held| {
            let age = now.saturating_duration_since(held.learned_at);
            age < RETENTION || is_known(server)
        });
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the news to send now.
    pub fn news(&mut self) -> Vec<(Scope, String, u64)> {
        let held = &self.held;
        self.news.take(|server| Some(held.get(server)?.incarnation))
    }

    /// Returns all that is known, for an instance that lacks some of it.
    pub fn all(&self) -> Vec<(String, u64)> {
        let held = self.held.iter();
        held.map(|(server, held)| (server.clone(), held.incarnation))
            .collect()
    }

    /// Returns a digest of all that is known, equal on instances that know the same.
    pub fn digest(&self) -> u64 {
        let digest = |(server, held): (&String, &Departure)| {
            rendezvous::weight(server, &held.incarnation.to_string())
        };
        self.held.iter().map(digest).fold(0, u64::wrapping_add)
    }

    fn evict(&mut self) {
        let ages = self.held.values().enumerate();
        if let Some((at, _)) = ages.min_by_key(|(_, held)| held.learned_at) {
            self.held.swap_remove_index(at);
        }
    }
}
