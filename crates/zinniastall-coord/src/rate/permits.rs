//! What an instance knows of the permits that it may get.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{MAX_PATIENCE, Verdict};

/// Time after which a permit that was not used is void. A process that was suspended in between
/// would otherwise send all its requests at once.
pub const PERMIT_TTL: Duration = Duration::from_millis(50);
/// Time for which a coordinator that did not answer isn't asked again.
const SILENT_BACKOFF: Duration = Duration::from_millis(100);
/// Patience beyond the expected wait: other instances may have been given permits meanwhile.
const EXTRA_PATIENCE: Duration = Duration::from_millis(30);

/// Time of the next permit of each server, as last heard from its coordinator.
#[derive(Debug, Default)]
pub struct Permits {
    next: IndexMap<String, Instant>,
}

impl Permits {
    /// Returns the time until a permit is expected to be available.
    pub fn wait(&self, server: &str, now: Instant) -> Duration {
        let next = self.next.get(server);
        next.map_or(Duration::ZERO, |next| next.saturating_duration_since(now))
    }

    /// Returns the longest time that a request should wait for a permit that is expected after
    /// `wait`. One that is expected at once is not waited for: another server may be free.
    pub fn patience(wait: Duration) -> Duration {
        if wait.is_zero() {
            return Duration::ZERO;
        }
        (wait + wait / 2 + EXTRA_PATIENCE).min(MAX_PATIENCE)
    }

    /// Records the answer of a server's coordinator; `None` if there was none.
    pub fn record(&mut self, server: &str, verdict: Option<Verdict>, now: Instant) {
        let next = match verdict {
            Some(Verdict::Granted { next, .. } | Verdict::Denied { next }) => next,
            None => SILENT_BACKOFF,
        };
        if next.is_zero() {
            self.next.swap_remove(server);
        } else {
            self.next.insert(server.to_owned(), now + next);
        }
    }

    /// Forgets the times that have passed.
    pub fn expire(&mut self, now: Instant) {
        self.next.retain(|_, next| *next > now);
    }
}
