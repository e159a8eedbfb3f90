//! Servers that ask one instance to stay away for a time.
//!
//! A server that turns a request away may name a time for which it wants nothing more from the instance
//! that sent it; others may go on. [`Pauses`] is what an instance knows of these times, and where it is
//! decided whether a request may be sent. Nothing but time ends a pause: an answer that was under way can
//! neither shorten it nor lift it, and a shorter one changes nothing.
//!
//! After its end the server gets one request at a time, until it answers one of them with something else
//! than another pause. It is tried again and again, and a server that still wants nothing turns away one
//! request instead of all that came meanwhile.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use zinniastall_coord::pause::{Pauses, State};
//!
//! let (mut pauses, now) = (Pauses::default(), Instant::now());
//! pauses.ask("engine-1", 1, Duration::from_secs(3), now);
//! assert!(matches!(pauses.state("engine-1", 1, now), State::Paused(_)));
//! let end = now + Duration::from_secs(3);
//! assert_eq!(pauses.enter("engine-1", 1, end), State::Open);
//! assert_eq!(pauses.state("engine-1", 1, end), State::Tried);
//! pauses.answered("engine-1", 1, end);
//! assert_eq!(pauses.state("engine-1", 1, end), State::Open);
//! ```

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time after which another request may try a server whose pause is over, while the last one waits.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of servers. The pauses that end first are forgotten first.
const MAX_SERVERS: usize = 16_384;
/// Time for which a pause is remembered after its end, if nobody tries the server.
const RETENTION: Duration = Duration::from_mins(1);

/// Whether a server may get a request of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may.
    Open,
    /// Not for this time, for which it asked.
    Paused(Duration),
    /// Not until it has answered the request that tries it, or for [`TRIAL_INTERVAL`].
    Tried,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    /// Run of the server's process.
    incarnation: u64,
    until: Instant,
    /// When the last request was sent that tries the server after the pause.
    tried_at: Option<Instant>,
}

impl Pause {
    fn state(&self, now: Instant) -> State {
        let left = self.until.saturating_duration_since(now);
        if !left.is_zero() {
            return State::Paused(left);
        }
        let is_recent = |at: Instant| now < at + TRIAL_INTERVAL;
        if self.tried_at.is_some_and(is_recent) {
            State::Tried
        } else {
            State::Open
        }
    }
}

/// Times for which servers want no request from this instance.
#[derive(Debug, Default)]
pub struct Pauses {
    held: IndexMap<String, Pause>,
}

impl Pauses {
    /// Returns whether all servers are open.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Records that a run of a server wants no request for a time from now; returns whether that is longer
    /// than what was known.
    pub fn ask(&mut self, server: &str, incarnation: u64, time: Duration, now: Instant) -> bool {
        let pause = Pause {
            incarnation,
            until: now + time,
            tried_at: None,
        };
        let order = |pause: &Pause| (pause.incarnation, pause.until);
        let held = self.held.get(server);
        if time.is_zero() || held.is_some_and(|held| order(held) >= order(&pause)) {
            return false;
        }
        if self.held.len() >= MAX_SERVERS && !self.held.contains_key(server) {
            self.evict();
        }
        self.held.insert(server.to_owned(), pause);
        true
    }

    /// Returns whether a run of a server may get a request now.
    pub fn state(&self, server: &str, incarnation: u64, now: Instant) -> State {
        let held = self.held.get(server);
        // A later run than the one that asked is free of it.
        let held = held.filter(|held| held.incarnation >= incarnation);
        held.map_or(State::Open, |held| held.state(now))
    }

    /// Returns the same for a request that is sent at once if the server is open, and counts it as the one
    /// that tries the server if its pause is over.
    pub fn enter(&mut self, server: &str, incarnation: u64, now: Instant) -> State {
        let state = self.state(server, incarnation, now);
        if state == State::Open
            && let Some(held) = self.held.get_mut(server)
        {
            held.tried_at = Some(now);
        }
        state
    }

    /// Records an answer that asks for no pause, to a request that was sent at a time. If that was after
    /// the pause, the server takes requests again.
    pub fn answered(&mut self, server: &str, incarnation: u64, sent_at: Instant) {
        let held = self.held.get(server);
        let is_over = |held: &Pause| {
            held.incarnation < incarnation
                || (held.incarnation == incarnation && sent_at >= held.until)
        };
        if held.is_some_and(is_over) {
            self.held.swap_remove(server);
        }
    }

    /// Returns the servers that want no request now, with the time for which they don't.
    pub fn current(&self, now: Instant) -> impl Iterator<Item = (&str, Duration)> {
        self.held.iter().filter_map(move |(server, held)| {
            let left = held.until.saturating_duration_since(now);
            (!left.is_zero()).then_some((server.as_str(), left))
        })
    }

    /// Forgets pauses that ended long ago.
    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|_, held| held.until + RETENTION > now);
    }

    fn evict(&mut self) {
        let ends = self.held.values().enumerate();
        if let Some((at, _)) = ends.min_by_key(|(_, held)| held.until) {
            self.held.swap_remove_index(at);
        }
    }
}
