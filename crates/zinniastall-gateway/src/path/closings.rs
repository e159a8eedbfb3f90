//! Connections to a target that end at the same moment, as they do when its process ends.

use std::{
    cell::RefCell,
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::id;

/// Time within which ends of connections count as one moment.
const MOMENT: Duration = Duration::from_millis(5);

/// When connections with a request on them ended, within the last moment, by target.
#[derive(Debug, Default)]
pub(super) struct Closings(RefCell<IndexMap<id::Target, VecDeque<Instant>>>);

impl Closings {
    /// Records the end of a connection to a target.
    pub(super) fn note(&self, target: &str) {
        let now = Instant::now();
        let mut closings = self.0.borrow_mut();
        closings.retain(|_, ends| {
            while ends.pop_front_if(|end| *end + MOMENT <= now).is_some() {}
            !ends.is_empty()
        });
        closings
            .entry(target.to_owned())
            .or_default()
            .push_back(now);
    }

    /// Returns how many connections to a target ended within the last moment.
    pub(super) fn recent(&self, target: &str) -> usize {
        let closings = self.0.borrow();
        let ends = closings.get(target).into_iter().flatten();
        ends.filter(|end| end.elapsed() < MOMENT).count()
    }
}
