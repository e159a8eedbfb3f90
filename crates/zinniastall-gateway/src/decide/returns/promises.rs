//! Promises of room that one instance holds for the region.
//!
//! A promise is redeemed at most once. A redeemed promise stays in the table until it expires, so that
//! a repeated datagram doesn't bring it back.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{GRACE, MAX_DELAY, MIN_DELAY, schedule::SLOT};

/// Promises that are held at most; each takes about 130 bytes.
pub const MAX_PROMISES: usize = 20_000;
/// Time before it is due at which a promise may be redeemed: `Retry-After` is rounded to hundredths of
/// a second, and callers' timers and the datagram's transit differ by some milliseconds.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Digest of a request, the same for its repeats.
pub type Key = u64;

/// Random number of a promise, which tells the promises for identical requests apart.
pub type Id = u32;

/// A promise, as it is given to its holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// Request that may return.
    pub key: Key,
    /// Number of the promise.
    pub id: Id,
    /// Time until the request may return.
    pub due: Duration,
    /// Time until the promise expires.
    pub until: Duration,
}

/// Why a promise is impossible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// Nothing is promised for a time that has passed, or for the next moment.
    #[error("due in the past")]
    Past,
    /// Nothing is promised for a later time.
    #[error("due too late")]
    Late,
    /// It expires before it is due, or too long after.
    #[error("expires at an impossible time")]
    Expiry,
}

/// What is known of a promise for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It is due, and is redeemed now.
    Due,
    /// It is due after this time, and stays.
    Early(Duration),
    /// None is known.
    None,
}

impl Promise {
    /// Returns an error if no instance gives such a promise.
    ///
    /// # Errors
    ///
    /// Fails if the promise is due in the past, too late, or expires at an impossible time.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.due < MIN_DELAY {
            return Err(Invalid::Past);
        }
        if self.due > MAX_DELAY {
            return Err(Invalid::Late);
        }
        if self.until < self.due || self.until > self.due + SLOT + GRACE {
            return Err(Invalid::Expiry);
        }
        Ok(())
    }
}

/// A promise in the table.
#[derive(Debug)]
struct Held {
    id: Id,
    due: Instant,
    until: Instant,
    is_redeemed: bool,
}

/// Promises by request.
#[derive(Debug, Default)]
pub struct Promises {
    by_key: IndexMap<Key, Vec<Held>>,
    /// All promises in the order in which they came.
    order: VecDeque<(Key, Id)>,
}

impl Promises {
    /// Returns the number of promises, including redeemed ones that have not expired.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether there are no promises.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a promise, unless it is known; evicts the oldest one if there are too many.
    ///
    /// # Errors
    ///
    /// Fails if the promise is impossible.
    pub fn add(&mut self, promise: &Promise, now: Instant) -> Result<(), Invalid> {
        promise.check()?;
        self.expire(now);
        let held = Held {
            id: promise.id,
            due: now + promise.due,
            until: now + promise.until,
            is_redeemed: false,
        };
        let known = self.by_key.entry(promise.key).or_default();
        if known.iter().any(|held| held.id == promise.id) {
            return Ok(());
        }
        // Nearly all requests have one promise; the default growth would reserve four.
        known.reserve_exact(1);
        known.push(held);
        self.order.push_back((promise.key, promise.id));
        if self.order.len() > MAX_PROMISES {
            self.remove_first();
        }
        Ok(())
    }

    /// Redeems the promise for a request that is due first, if one is due.
    pub fn redeem(&mut self, key: Key, now: Instant) -> State {
        let held = self.by_key.get_mut(&key).into_iter().flatten();
        let open = held.filter(|held| !held.is_redeemed && held.until > now);
        let Some(first) = open.min_by_key(|held| held.due) else {
            return State::None;
        };
        if first.due > now + TOLERANCE {
            return State::Early(first.due - now);
        }
        first.is_redeemed = true;
        State::Due
    }

    /// Forgets the oldest promises as far as they have expired.
    pub fn expire(&mut self, now: Instant) {
        while self.is_first_expired(now) {
            self.remove_first();
        }
    }

    fn is_first_expired(&self, now: Instant) -> bool {
        let first = self.order.front();
        first.is_some_and(|(key, id)| {
            let mut held = self.by_key.get(key).into_iter().flatten();
            held.all(|held| held.id != *id || held.until <= now)
        })
    }

    fn remove_first(&mut self) {
        let Some((key, id)) = self.order.pop_front() else {
            return;
        };
        let Some(held) = self.by_key.get_mut(&key) else {
            return;
        };
        held.retain(|held| held.id != id);
        if held.is_empty() {
            self.by_key.swap_remove(&key);
        }
    }
}
