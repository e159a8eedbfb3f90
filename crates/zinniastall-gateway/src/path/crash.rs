//! Targets that end while they have requests.
//!
//! A connection breaks for many reasons: a reset, a cut, an answer that is spoiled, a planned end. The target has
//! crashed where it was expected to stay and refuses the next connection.

use std::time::Instant;

use super::{
    Traffic,
    attempt::{Attempt, Ended, Place},
    job::Job,
    watch::is_refused,
};

impl Traffic {
    /// Tells whether an attempt was cut because its target crashed.
    pub(super) async fn has_crashed(&self, attempt: &Attempt<'_>, ended: &Ended) -> bool {
        let Place::Target {
            target, address, ..
        } = attempt.place
        else {
            return false;
        };
        if !matches!(ended, Ended::Unknown(_) | Ended::Broken(_) | Ended::Torn(_)) {
            return false;
        }
        self.is_to_stay(target) && is_refused(address).await
    }

    /// Tells whether a target is expected to stay: one that drains or was removed ends as planned.
    fn is_to_stay(&self, target: &str) -> bool {
        let view = self.board.view();
        let known = view.targets.by_name().get(target);
        known.is_some_and(|known| known.gone_at.is_none())
    }

    /// Notes that a target crashed while it had a request.
    pub(super) fn note_crash(&self, job: &Job, place: &Place) {
        let now = Instant::now();
        let others = self.neighbours.borrow().at(place.name(), now);
        let mut books = self.books.borrow_mut();
        let own = books.known(place.name());
        let own = own.map_or(0, |account| account.flights);
        // This request has been taken out already.
        let flights = own.saturating_add(others.flights).saturating_add(1);
        self.journal.crashed(job, place.name(), flights);
    }
}
