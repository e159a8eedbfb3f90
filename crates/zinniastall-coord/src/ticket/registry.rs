//! The registry of used tickets.

use std::time::Duration;

use indexmap::IndexMap;

/// The use of a ticket; a second use must be the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Use {
    /// Who uses it.
    pub client: String,
    /// Digest of the request's method, path and body.
    pub digest: [u8; 32],
}

/// A used ticket.
#[derive(Debug)]
pub struct Entry<T> {
    usage: Use,
    until: Duration,
    /// What the owner keeps with the ticket, such as the answer.
    pub record: T,
}

/// Result of redeeming a ticket.
#[derive(Debug, PartialEq, Eq)]
pub enum Redemption<T> {
    /// The first use: the ticket is recorded and the request may run.
    First(T),
    /// The same use again: the request must not run again.
    Repeated(T),
    /// The ticket was used for another request: this one must not run.
    Mismatch,
    /// The registry is full: the request must not run.
    Full,
}

/// The used tickets, limited in number.
///
/// An entry is kept until its ticket has expired, because an expired ticket is refused before the
/// registry is asked. Removing one earlier would let a late resend run a second time, so a full
/// registry refuses new work instead of evicting old entries.
#[derive(Debug)]
pub struct Registry<T> {
    entries: IndexMap<String, Entry<T>>,
    limit: usize,
}

impl<T: Clone> Registry<T> {
    /// Creates a registry that holds at most `limit` tickets.
    pub fn new(limit: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            limit,
        }
    }

    /// Records a ticket as used; `make` creates the record of a first use.
    ///
    /// `until` is when the ticket expires and `now` the current time, both on this instance's
    /// clock.
    pub fn redeem(
        &mut self,
        name: &str,
        usage: Use,
        until: Duration,
        now: Duration,
        make: impl FnOnce() -> T,
    ) -> Redemption<T> {
        if let Some(entry) = self.entries.get(name) {
            return if entry.usage == usage {
                Redemption::Repeated(entry.record.clone())
            } else {
                Redemption::Mismatch
            };
        }
        if self.entries.len() >= self.limit {
            self.expire(now);
        }
        if self.entries.len() >= self.limit {
            return Redemption::Full;
        }
        let record = make();
        let entry = Entry {
            usage,
            until,
            record: record.clone(),
        };
        self.entries.insert(name.to_owned(), entry);
        Redemption::First(record)
    }

    /// Returns whether a ticket is recorded.
    pub fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// Removes expired tickets.
    pub fn expire(&mut self, now: Duration) {
        self.entries.retain(|_, entry| entry.until > now);
    }

    /// Returns the records, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &T> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the number of tickets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
