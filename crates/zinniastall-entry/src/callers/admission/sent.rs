//! Requests in progress at another place.

use std::time::Instant;

/// Requests in progress at another place, and how many of them its last digest knew of.
///
/// A digest counts as taken what was sent there before it was made. Taking that off its free slots
/// again would leave a place that is half idle with a third of the requests that it has room for,
/// while callers here are refused for lack of time.
#[derive(Debug, Default)]
pub(super) struct Sent {
    requests: u32,
    known: u32,
    made: Option<Instant>,
}

impl Sent {
    /// Counts one more.
    pub(super) const fn start(&mut self) {
        self.requests += 1;
    }

    /// Ends the count of one.
    pub(super) const fn end(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Takes note of when the place's digest was made.
    pub(super) fn heard(&mut self, made: Instant) {
        if self.made != Some(made) {
            self.made = Some(made);
            self.known = self.requests;
        }
    }

    /// Returns the slots that are free there now, of those that the digest names.
    pub(super) const fn left(&self, free: u32) -> u32 {
        (free + self.known).saturating_sub(self.requests)
    }
}
