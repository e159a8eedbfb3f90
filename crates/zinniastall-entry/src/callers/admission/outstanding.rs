//! Requests in flight at another place.

use std::time::Instant;

/// Requests in flight at another place, and how many of them its last digest included.
///
/// A digest already counts the requests that were sent before it was made. Subtracting those from
/// its free slots again would leave a half-idle place with a third of the requests that it has room
/// for, while requests here are refused because their deadlines cannot be met.
#[derive(Debug, Default)]
pub(super) struct Outstanding {
    requests: u32,
    included: u32,
    digest_made: Option<Instant>,
}

impl Outstanding {
    /// Counts a request that is sent.
    pub(super) const fn start(&mut self) {
        self.requests += 1;
    }

    /// Ends the count of a request.
    pub(super) const fn end(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Records when the place's latest digest was made.
    pub(super) fn observe_digest(&mut self, digest_made: Instant) {
        if self.digest_made != Some(digest_made) {
            self.digest_made = Some(digest_made);
            self.included = self.requests;
        }
    }

    /// Returns the slots that are still free, given the number stated by the digest.
    pub(super) const fn free_slots(&self, free: u32) -> u32 {
        (free + self.included).saturating_sub(self.requests)
    }
}
