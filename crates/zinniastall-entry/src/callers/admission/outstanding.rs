//! Requests in progress at another place.

use std::time::Instant;

/// Requests in progress at another place, and how many of them its last digest knew of.
///
/// A digest counts as taken what was sent there before it was made. Taking that off its free slots
/// again would leave a place that is half idle with a third of the requests that it has room for,
/// while callers here are refused for lack of time.
#[derive(Debug, Default)]
pub(super) struct Outstanding {
    requests: u32,
    included: u32,
    digest_made: Option<Instant>,
}

impl Outstanding {
    /// Counts one more.
    pub(super) const fn start(&mut self) {
        self.requests += 1;
    }

    /// Ends the count of one.
    pub(super) const fn end(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Takes note of when the place's digest was made.
    pub(super) fn observe_digest(&mut self, digest_made: Instant) {
        if self.digest_made != Some(digest_made) {
            self.digest_made = Some(digest_made);
            self.included = self.requests;
        }
    }

    /// Returns the slots that are free there now, of those that the digest names.
    pub(super) const fn free_slots(&self, free: u32) -> u32 {
        (free + self.included).saturating_sub(self.requests)
    }
}
