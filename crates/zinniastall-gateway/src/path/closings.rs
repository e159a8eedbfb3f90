//! Connections to a target that end at the same moment, as they do when its process ends.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::id;

/// Time within which ends of connections count as one moment.
const MOMENT: Duration = Duration::from_millis(5);

/// Ends of connections in the last moment, by target.
#[derive(Debug, Default)]
pub(super) struct Closings(RefCell<IndexMap<id::Target, Closing>>);

#[derive(Debug)]
struct Closing {
    at: Instant,
    count: usize,
}

impl Closings {
    /// Records the end of a connection with a request on it; returns whether another one ended in the
    /// same moment.
    pub(super) fn note(&self, target: &str) -> bool {
        let now = Instant::now();
        let mut closings = self.0.borrow_mut();
        closings.retain(|_, closing| closing.at + MOMENT > now);
        let closing = closings
            .entry(target.to_owned())
            .or_insert(Closing { at: now, count: 0 });
        closing.at = now;
        closing.count += 1;
        closing.count > 1
    }

    /// Returns whether several connections to a target ended in the last moment.
    pub(super) fn is_crowded(&self, target: &str) -> bool {
        let closings = self.0.borrow();
        closings
            .get(target)
            .is_some_and(|closing| closing.count > 1 && closing.at.elapsed() < MOMENT)
    }
}
